"""The table `[watch]` of the features file."""

from collections.abc import Iterator
from typing import Annotated

from msgspec import Meta, Struct, field

from shedgrade.sidecar.lifecycle.settings_checks import deployment_problem

# Settings that must be the same for the balancer and the follower: they give names and indices their meaning.
SHARED_KEYS = ("methods", "zones", "az", "tick")


def merge_settings(base: dict, over: dict) -> dict:
    """Returns `base` with its values replaced by those of `over`, key by key, also in nested tables."""
    merged = dict(base)
    for key, value in over.items():
        base_value = base.get(key)
        merged[key] = (
            merge_settings(base_value, value)
            if isinstance(value, dict) and isinstance(base_value, dict)
            else value
        )
    return merged


class ShadowPolicyConfig(Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of the shadow policy.

    settings: values that differ from the platform's settings, under the same keys.
    every_s: interval between two lines in the log, seconds.
    """

    settings: dict = field(default_factory=dict)
    every_s: Annotated[float, Meta(ge=1, le=86_400)] = 60.0

    def find_problems(self) -> Iterator[tuple[str, str]]:
        """Yields (key, reason) for values that the types allow and the shadow policy does not."""
        for key in SHARED_KEYS:
            if key in self.settings:
                yield f"settings.{key}", "can't differ from the platform's: remove it"
        # The platform's settings are not known yet: values that depend on them are checked at the start.
        problem = deployment_problem({"balancers": 2**31, **self.settings})
        if problem is not None:
            key, _, reason = problem.partition(": ")
            yield key, reason
