"""Feature of the sidecar that compares the balancer's decisions with those under other settings.

The other decisions are those of a second balancer, the follower; the numbers of differences are logged.
"""

from collections.abc import Callable

from loguru import logger

from shedgrade import load_balancing
from shedgrade.sidecar.lifecycle.feature import Feature
from shedgrade.sidecar.lifecycle.settings_checks import deployment_problem
from shedgrade.sidecar.shadow_policy.config import merge_settings
from shedgrade.sidecar.shadow_policy.follower import Follower
from shedgrade.sidecar.shadow_policy.shadow import ShadowedBalancer
from shedgrade.upstream_pool.errors import ConfigError

SECOND = 10_000  # tenths of a ms


class ShadowPolicyPart(Feature):
    """The shadow policy as a feature, created before the sidecar, whose balancer `decisions` creates."""

    def __init__(self, config, path: str, make_balancer: Callable | None = None) -> None:
        """Keeps the configuration.

        config: settings of the shadow policy.
        path: file that they were read from, for errors.
        make_balancer: creates the balancer to wrap: the recorder if capture is on, None for a plain Balancer.
        """
        self.config = config
        self.path = path
        self.make_balancer = make_balancer or load_balancing.Balancer
        self.balancer: ShadowedBalancer | None = None
        self.log_at = 0

    def decisions(self, settings: dict, seed: int, now: int) -> ShadowedBalancer:
        """Creates a balancer with a follower, in place of a Balancer. Only the platform's own pool has one.

        ConfigError if the settings of the follower are not valid.
        """
        follower_settings = merge_settings(settings, self.config.settings)
        problem = deployment_problem(follower_settings)
        if problem is None:
            try:
                Follower(follower_settings, seed, now)
            except KeyError as missing:
                problem = f"settings: {missing} is missing"
            except (ArithmeticError, AttributeError, IndexError, TypeError, ValueError) as failure:
                problem = f"settings: a value has the wrong form ({failure})"
        if problem is not None:
            raise ConfigError(f"{self.path}: watch.{problem}")
        self.log_at = now + int(self.config.every_s * SECOND)
        self.balancer = ShadowedBalancer(
            self.make_balancer(settings, seed, now),
            lambda: Follower(follower_settings, seed, now),
            lambda fresh: merge_settings(fresh, self.config.settings),
        )
        return self.balancer

    def join(self, sidecar) -> None:
        """Registers as a feature of the sidecar and as an observer of dispatch passes."""
        sidecar.pool.dispatcher.observers = (*sidecar.pool.dispatcher.observers, self)
        sidecar.features.append(self)

    def after_pass(self, now: int, lag: int) -> None:
        """Logs the differences between the balancer and the follower so far, at most once in `every_s`."""
        if now >= self.log_at:
            self.log_at = now + int(self.config.every_s * SECOND)
            logger.info("shadow policy compared", differences=self.balancer.summary())

    # --- lifecycle of the sidecar

    def start(self) -> None:
        """Logs that the comparison has started."""
        logger.info("shadow policy started", settings=len(self.config.settings))

    def close(self) -> None:
        """Logs the differences between the balancer and the follower in the whole run."""
        logger.info("shadow policy compared", differences=self.balancer.summary())
