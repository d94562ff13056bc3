"""The configuration file of one sidecar in a lab run, built from the scenario."""

import random

from shedgrade.lab import faults
from shedgrade.lab.prepared import entry
from shedgrade.lab.scenario import Scenario


def sidecar_config(
    scenario: Scenario, number: int, port: int, listen: tuple, agents: list, machines: list[faults.Machine]
) -> dict:
    """The configuration that the platform would give this sidecar, with the initial list if it is known."""
    zones = scenario.fleet.zones
    zone = zones.index(scenario.zone_of(number))
    platform_settings = scenario.settings
    kinds = list(dict.fromkeys(group.kind for group in scenario.fleet.groups))
    repeats = {"retriable": "repeatable", "deduped": "by_key", "non-retriable": "once"}
    # The rules for cold upstreams state the weakest values of any group, as they must hold for all of them.
    cold_from = min(group.cold_from for group in scenario.fleet.groups)
    cold = max(group.cold_ms for group in scenario.fleet.groups)
    known = None
    if scenario.sidecars.known == "first":
        instances = [
            entry(scenario, machine.name, machine.group, machine.slot, port, zone) for machine in machines
        ]
        known = {"generation": 1, "reset": True, "instances": instances}
    return {
        "name": f"n{number}",
        "listen": "{}:{}".format(*listen),
        "discovery": "{}:{}".format(*agents[0]),
        "seed": f"{random.Random(f'{scenario.seed}/sidecar/{number}').getrandbits(64):x}",
        "limits": {"memory_mb": scenario.sidecars.memory_mb, "sockets": scenario.sidecars.sockets},
        "known": known,
        "settings": {
            "az": zone,
            "balancers": scenario.sidecars.count,
            "tick": 1.0,
            "membership_mode": "pushed",
            "my_number": number,
            "zones": zones,
            "shapes": kinds,
            "prices": {"cross_zone": platform_settings.cross_price},
            "customers": [],
            "report": {"fields": [], "via": "off"},
            "methods": [
                {
                    "name": method.name,
                    "idempotency": repeats[method.repeats],
                    "group": method.group,
                    "payoff": method.payoff,
                    "soft_deadline": method.soft_ms,
                    "hard_deadline": method.hard_ms,
                    "overdue_payoff": method.late_payoff,
                    "repeat_window": method.window_ms,
                    "stream": False,
                }
                for method in scenario.methods
            ],
            "limits": {
                "most_transmissions": platform_settings.most_transmissions,
                "parallel_tries": platform_settings.parallel_tries,
                "cancelling": platform_settings.cancelling,
                "retry_after": platform_settings.retry_after,
                "max_retry_after": platform_settings.max_retry_after_ms,
                "probes": False,
                "may_tell": False,
                "dial_timeout": platform_settings.dial_timeout_ms,
                "idle_close": min(group.idle_close_ms for group in scenario.fleet.groups),
            },
            "rules": {
                "ask_every": 10_000.0,
                "cold": cold,
                "cold_from": cold_from,
                "fall_multiple": min(group.fall_multiple for group in scenario.fleet.groups),
                "overload_for": min(group.overload_ms for group in scenario.fleet.groups),
                "stop_sending_within": platform_settings.stop_sending_ms,
            },
        },
    }
