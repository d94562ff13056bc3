"""Watching as a part of the sidecar: what stands in the decisions' place, and the counts in the log."""

from collections.abc import Callable

from loguru import logger

from shedgrade import load_balancing
from shedgrade.sidecar.lifecycle.feature import Feature
from shedgrade.sidecar.lifecycle.settings_checks import shape_problem
from shedgrade.sidecar.shadow_policy.config import overlaid
from shedgrade.sidecar.shadow_policy.follower import Follower
from shedgrade.sidecar.shadow_policy.shadow import ShadowedBalancer
from shedgrade.upstream_pool.errors import ConfigError

SECOND = 10_000


class ShadowPolicyPart(Feature):
    """Made before the sidecar, as it makes what stands in the decisions' place (`decisions`)."""

    def __init__(self, config, path: str, inner: Callable | None = None) -> None:
        """`inner`: makes the decisions, where another part (capture) does."""
        self.config = config
        self.path = path
        self.inner = inner or load_balancing.Balancer
        self.watched: ShadowedBalancer | None = None
        self.tell_at = 0

    def decisions(self, settings: dict, seed: int, now: int) -> ShadowedBalancer:
        """As a Balancer is made. Only the platform's own pool is watched."""
        other = overlaid(settings, self.config.settings)
        wrong = shape_problem(other)
        if wrong is None:
            try:
                Follower(other, seed, now)
            except KeyError as missing:
                wrong = f"settings: {missing} is missing"
            except (ArithmeticError, AttributeError, IndexError, TypeError, ValueError) as failure:
                wrong = f"settings: a value has the wrong form ({failure})"
        if wrong is not None:
            raise ConfigError(f"{self.path}: watch.{wrong}")
        self.tell_at = now + int(self.config.every_s * SECOND)
        self.watched = ShadowedBalancer(
            self.inner(settings, seed, now),
            lambda: Follower(other, seed, now),
            lambda fresh: overlaid(fresh, self.config.settings),
        )
        return self.watched

    def join(self, sidecar) -> None:
        """Takes its place in the sidecar, as an observer of dispatch passes."""
        sidecar.pool.dispatcher.observers = (*sidecar.pool.dispatcher.observers, self)
        sidecar.features.append(self)

    def after_turn(self, now: int, late: int) -> None:
        """Tells the differences so far, at most each `every_s`."""
        if now >= self.tell_at:
            self.tell_at = now + int(self.config.every_s * SECOND)
            logger.info("shadow policy compared", differences=self.watched.line())

    # --- the sidecar's life

    def start(self) -> None:
        """Tells that the comparison is on."""
        logger.info("shadow policy started", settings=len(self.config.settings))

    def close(self) -> None:
        """Tells the differences of the whole run."""
        logger.info("shadow policy compared", differences=self.watched.line())
