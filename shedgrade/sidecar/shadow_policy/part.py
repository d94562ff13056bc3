"""Feature of the sidecar that compares its decisions with those under other settings, and logs the counts."""

from collections.abc import Callable

from loguru import logger

from shedgrade import load_balancing
from shedgrade.sidecar.lifecycle.feature import Feature
from shedgrade.sidecar.lifecycle.settings_checks import shape_problem
from shedgrade.sidecar.shadow_policy.config import overlaid
from shedgrade.sidecar.shadow_policy.follower import Follower
from shedgrade.sidecar.shadow_policy.shadow import ShadowedBalancer
from shedgrade.upstream_pool.errors import ConfigError

SECOND = 10_000  # tenths of a ms


class ShadowPolicyPart(Feature):
    """The shadow policy as a feature. It is created before the sidecar, whose balancer `decisions` makes."""

    def __init__(self, config, path: str, inner: Callable | None = None) -> None:
        """Keeps the configuration.

        config: settings of the shadow policy.
        path: file that they were read from, for errors.
        inner: creates the balancer, where another feature (capture) does; None for a plain Balancer.
        """
        self.config = config
        self.path = path
        self.inner = inner or load_balancing.Balancer
        self.watched: ShadowedBalancer | None = None
        self.tell_at = 0

    def decisions(self, settings: dict, seed: int, now: int) -> ShadowedBalancer:
        """Creates the balancer with its follower, in place of a Balancer, for the platform's own pool only.

        ConfigError if the settings of the follower are not valid.
        """
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
        """Registers as a feature of the sidecar and as an observer of dispatch passes."""
        sidecar.pool.dispatcher.observers = (*sidecar.pool.dispatcher.observers, self)
        sidecar.features.append(self)

    def after_turn(self, now: int, lag: int) -> None:
        """Logs the differences so far, at most once in `every_s`."""
        if now >= self.tell_at:
            self.tell_at = now + int(self.config.every_s * SECOND)
            logger.info("shadow policy compared", differences=self.watched.line())

    # --- lifecycle of the sidecar

    def start(self) -> None:
        """Logs that the comparison has started."""
        logger.info("shadow policy started", settings=len(self.config.settings))

    def close(self) -> None:
        """Logs the differences of the whole run."""
        logger.info("shadow policy compared", differences=self.watched.line())
