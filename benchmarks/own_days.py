"""Prints a test day drawn from a seed: hundreds of configuration changes, planned stops, random faults.

Usage: python -m benchmarks.own_days SITE SEED [LENGTH]

SITE is a site file of the operators' bench; its zones are used. LENGTH is the duration of the day's traffic,
in seconds (default 150). The day is a TOML `[[day]]` table for the bench's `run`, which plays no more than
the site file's `length_s`.
"""

import sys
import tomllib
from pathlib import Path
from random import Random

QUIET_START_S = 4.0  # s before the first planned stop
QUIET_END_S = 12.0  # s without new stops at the end, in which the system must recover
# Share of the waves of stops that have a fault beside them; on some days there are planned stops only.
FAULT_SHARES = (0.0, 0.75, 0.75)
ZONE_STOP_GAPS_S = (0.0, 0.3, 1.5)  # s between the planned stops of two zones of one wave
FAULTS = (
    'kind = "srv_crash", share = 0.17, for_s = 4.5',
    'kind = "srv_crash", share = 0.2, for_s = 5.0, how = "dark"',
    'kind = "srv_grey", share = 0.2, for_s = 6.0, how = "errors"',
    'kind = "srv_slow", share = 0.2, for_s = 6.0',
    'kind = "cold_return", for_s = 4.0, how = "dark"',
    'kind = "scale_in", share = 0.14, how = "spot", x = 2.0',
    'kind = "garble", how = "extra late", share = 0.6, x = 0.03, for_s = 5.0',
    'kind = "answer_lost", how = "reset", share = 0.5, x = 0.05, for_s = 4.0',
    'kind = "node_kill", share = 0.3',
    'kind = "node_kill", share = 0.2, how = "power", for_s = 3.0',
    'kind = "node_kill", on = "core", count = 1, for_s = 3.5, how = "power leader"',
    'kind = "node_kill", on = "core", count = 1, how = "leader race drain"',
    'kind = "node_freeze", share = 0.2, for_s = 2.0',
    'kind = "node_slow", share = 0.2, for_s = 4.0, x = 4.0',
    'kind = "herd_kill", on = "core", how = ""',
    'kind = "herd_kill", on = "core", how = "off", for_s = 1.5',
    'kind = "core_cut", count = 1, for_s = 5.5',
    'kind = "core_cut", for_s = 4.0, how = "leader race"',
    'kind = "core_cut", for_s = 5.0, how = "split"',
    'kind = "core_cut", for_s = 5.0, how = "both"',
    'kind = "core_cut", for_s = 5.0, how = "all"',
    'kind = "region_cut", for_s = 5.0',
    'kind = "region_cut", for_s = 4.0, how = "one_way"',
    'kind = "region_cut", for_s = 4.0, how = "pair"',
    'kind = "region_loss", for_s = 5.0',
    'kind = "zone_loss", for_s = 4.0',
    'kind = "zone_cut", for_s = 4.0',
    'kind = "disk_full", count = 1, for_s = 4.5',
    'kind = "disk_stall", count = 1, for_s = 3.5',
    'kind = "disk_slow", count = 1, for_s = 4.0',
    'kind = "after_ack_kill", for_s = 3.0',
    'kind = "after_ack_wipe", for_s = 3.0',
    'kind = "reset_conns", share = 0.3, x = 0.5',
    'kind = "clock_step", x = 2000, for_s = 5.0',
    'kind = "ack_lost", for_s = 5.0',
    'kind = "burst", x = 2.0, for_s = 5.0',
    'kind = "shift", share = 0.5, for_s = 6.0',
    'kind = "retry_abuse", share = 0.2, x = 2, for_s = 5.0',
    'kind = "give_up", share = 0.2, for_s = 5.0',
)
PLANNED_EVENTS = (
    'kind = "evacuate", for_s = 7.0, zone = "{zone}"',
    'kind = "release", share = 0.45, x = 1.0, gap_s = 1.0',
    'kind = "scale_in", share = 0.13',
    'kind = "config_race", count = 3, gap_s = 1.2',
    'kind = "bad_config", count = 3, gap_s = 1.0',
    'kind = "hup", share = 0.4, gap_s = 2.0',
)
CLOSING_EVENTS = (
    "",
    'closing = { kind = "power_off_all", down_s = 1.3 }',
    'closing = { kind = "wipe_after_ack", down_s = 0.7 }',
)


def entry(at: float, text: str) -> str:
    return f"  {{ at = {at:.1f}, {text} }},"


def zone_stop(random: Random, at: float, zone: str) -> str:
    """Returns the planned stop of all edges of a zone, at once or in turn."""
    at_once, gap = random.choice(((2, 1.0), (1, 0.5), (1, 2.0), (9, 1.0)))
    return entry(at, f'kind = "roll_term", zone = "{zone}", share = 1.0, x = {at_once}, gap_s = {gap}')


def planned_stops(random: Random, at: float, zones: list[str]) -> list[str]:
    """Returns one wave of planned stops: of one or several zones, all edges in turn, the core, or a mix."""
    kind = random.choice(("zone", "zones", "zones", "all", "core", "zones and core"))
    if kind == "all":
        gap = random.choice((0.5, 1.0, 1.3, 2.0))
        return [entry(at, f'kind = "roll_term", share = 1.0, x = 1, gap_s = {gap}')]
    found = []
    if kind != "core":
        chosen = random.sample(zones, 1 if kind == "zone" else random.randint(2, max(2, len(zones) - 1)))
        apart = random.choice(ZONE_STOP_GAPS_S)
        found += [zone_stop(random, at + order * apart, zone) for order, zone in enumerate(chosen)]
    if kind in ("core", "zones and core"):
        more = random.uniform(0.0, 1.0)
        found.append(entry(at + more, 'kind = "roll_term", on = "core", count = 1, gap_s = 6.0'))
    return found


def draw_day(zones: list[str], seed: int, length: float) -> str:
    """Returns the day as TOML."""
    random = Random(seed)
    last = length - QUIET_END_S
    gap = random.choice((0.3, 0.5, 0.8))
    plan = [entry(1.0, f'kind = "config_storm", gap_s = {gap}, count = {int((last - 1.0) / gap)}')]
    faults = []
    fault_share = random.choice(FAULT_SHARES)
    at = QUIET_START_S
    while at < last:
        plan += planned_stops(random, at, zones)
        if random.random() < fault_share:
            faults.append(entry(max(1.0, at + random.uniform(-3.0, 4.0)), random.choice(FAULTS)))
        if random.random() < 0.4:
            text = random.choice(PLANNED_EVENTS).format(zone=random.choice(zones))
            plan.append(entry(at + random.uniform(0.0, 6.0), text))
        at += random.choice((7.0, 10.0, 13.0, 18.0))
    head = ["[[day]]", f'name = "own-{seed}"', 'slot = "trouble"', f"seed = {seed}"]
    lines = [*head, "one = 0.9", "zero = 0.2", "goal = { floor = 0.05 }", random.choice(CLOSING_EVENTS)]
    lines += ["plan = [", *plan, "]", "faults = [", *faults, "]"]
    return "\n".join(line for line in lines if line)


def main() -> int:
    if len(sys.argv) not in (3, 4):
        print(__doc__, file=sys.stderr)
        return 2
    site = tomllib.loads(Path(sys.argv[1]).read_text())
    zones = [zone["name"] for zone in site["zones"]]
    print(draw_day(zones, int(sys.argv[2]), float(sys.argv[3]) if len(sys.argv) == 4 else 150.0))
    return 0


if __name__ == "__main__":
    sys.exit(main())
