"""Explanation of one request of a capture, in words: the decisions about it and their reasons, by replay."""

from types import ModuleType

from shedgrade import load_balancing
from shedgrade.sidecar.capture.older_decisions import METHODS
from shedgrade.sidecar.capture.replay import RPC_OPERATIONS, Replay
from shedgrade.sidecar.capture.rows import (
    ATTEMPT_FINISHED,
    CLIENT_DISCONNECTED,
    DECIDE,
    NO_DECISION,
    RESPONSE_STARTED,
    TAKE,
    calls,
)

OUTCOMES = (
    "unsent",
    "unconnected",
    "turned away",
    "completed",
    "failed",
    "timed out",
    "dropped",
    "stopped",
    "broken",
)


def narrating(base: type) -> type:
    """Returns a subclass of a Balancer that decides alike and adds reasons to `lines`, if that is a list."""

    class NarratingBalancer(base):
        lines: list | None = None
        names: dict = {}

        def say(self, line: str) -> None:
            if self.lines is not None:
                self.lines.append(line)

        def name(self, up: object) -> str:
            return self.names.get(str(up.index), str(up.index))

        def choose_upstream(
            self, now: int, rpc: load_balancing.Rpc, stay: bool
        ) -> load_balancing.Upstream | None:
            if self.lines is not None:
                self.say(
                    "  zones: "
                    + "; ".join(
                        f"{number}{'*' * (number == self.own_zone)} {zone.in_flight} in flight "
                        f"on {len(zone.rotation)}, "
                        f"window {zone.concurrency_limit:.1f}"
                        f"{', at its limit for this draw' if zone.rotation and zone.is_full(rpc) else ''}"
                        for number, zone in enumerate(self.zones)
                    )
                )
                loads = [
                    (zone.in_flight / len(zone.rotation), number)
                    for number, zone in enumerate(self.zones)
                    if zone.rotation
                ]
                if len(loads) > 1 and max(loads)[0] >= load_balancing.DROP_THRESHOLD:
                    self.say(f"  zone {max(loads)[1]} has the highest load, at the threshold: skipped")
                aside = [self.name(up) for up in self.upstreams.values() if up.ejected_until]
                if aside:
                    self.say(f"  ejected: {', '.join(aside[:8])}{' ...' if len(aside) > 8 else ''}")
            found = super().choose_upstream(now, rpc, stay)
            if found is None:
                self.say(
                    "  no upstream has room for it" + (": the own zone may have room soon" if stay else "")
                )
            return found

        def next_in_rotation(
            self, zone: load_balancing.Zone, now: int, rpc: load_balancing.Rpc, left: int
        ) -> load_balancing.Upstream | None:
            found = super().next_in_rotation(zone, now, rpc, left)
            if found is not None:
                bar = (zone.in_flight + zone.background_load) / max(
                    1, len(zone.rotation)
                ) + load_balancing.LOAD_MARGIN
                above = (
                    "" if found.in_flight + found.background_load <= bar else ": none near the mean had room"
                )
                self.say(
                    f"  zone {self.zones.index(zone)}: {self.name(found)} is next with room, "
                    f"{found.in_flight} in flight there{above}"
                )
            return found

        def has_capacity(self, up: load_balancing.Upstream, now: int, left: int, expected: float) -> bool:
            found = super().has_capacity(up, now, left, expected)
            if not found:
                why = (
                    "half-open, with one in flight"
                    if up.half_open and up.in_flight
                    else (
                        "slow start, its share is used up"
                        if self.is_warming_up(up, now)
                        else f"{expected / 10:.0f} ms expected of {left / 10:.0f} left"
                    )
                )
                self.say(f"  {self.name(up)} passed over: {why}")
            return found

        def last_resort(self, now: int, rpc: load_balancing.Rpc) -> load_balancing.Upstream | None:
            found = super().last_resort(now, rpc)
            self.say(f"  last resort: {self.name(found) if found is not None else 'none'}")
            return found

        def enqueue(self, now: int, rpc: load_balancing.Rpc, until: int) -> bool:
            found = super().enqueue(now, rpc, until)
            self.say(
                "  queued: an attempt should finish in time"
                if found
                else "  not queued: no attempt would finish in time"
            )
            return found

    for older, present in METHODS["Balancer"].items():
        if present in vars(NarratingBalancer) and hasattr(base, older):
            # The base calls the method by its older name.
            setattr(NarratingBalancer, older, getattr(NarratingBalancer, present))
    return NarratingBalancer


def explain(
    records: list[dict], number: int, module: ModuleType = load_balancing, until: float = float("inf")
) -> list[str]:
    """Returns lines that say what was decided about one request, and why.

    `module`: the decisions to replay with. `until`: time at which the replay stops, tenths of a ms.
    """
    replay = Replay(records, module, narrating(module.Balancer), until)
    lines: list[str] = []
    begun = [0]

    def watch(now: int, row: list, got: object) -> None:
        balancer = replay.balancer
        op, told = row[0], row[2:]
        heard, balancer.lines = balancer.lines or [], None
        if op not in RPC_OPERATIONS or told[0] != number:
            return
        at = f"{(now - begun[0]) / 10:.1f} ms"
        if op == TAKE:
            begun[0] = now
            lines.append(
                f"RPC {number}: method {told[1]}, gives up after {told[2] / 10:.0f} ms"
                f"{', a marked retry' if told[3] else ''}"
            )
        elif op in (DECIDE, NO_DECISION):
            if got is None:
                lines.extend([f"{at}: nothing yet", *heard] if heard else [])
            elif got[0] >= 0:
                name = replay.names.get(str(got[0]), got[0])
                lines.extend([f"{at}: sent to {name}, for {got[1] / 10:.0f} ms", *heard])
            else:
                said = "exhausted" if got[0] == load_balancing.EXHAUSTED else "errored, as it may have run"
                lines.extend([f"{at}: answered {said}", *heard])
        elif op == ATTEMPT_FINISHED:
            lines.append(
                f"{at}: transmission {told[1]} {OUTCOMES[told[2]]} after {told[3] / 10:.1f} ms"
                f"{', which answers it' if told[4] else ''}"
            )
        elif op == CLIENT_DISCONNECTED:
            lines.append(f"{at}: its client left")
        elif op == RESPONSE_STARTED:
            lines.append(f"{at}: its stream is open")

    replay.watch = watch
    # Reasons given during a call belong to its request, whose number each row holds.
    plain_call = replay.call

    def call(now: int, row: list) -> tuple[object, object]:
        balancer = replay.balancer
        if row[0] in (DECIDE, NO_DECISION) and row[2] == number:
            balancer.names, balancer.lines = replay.names, []
        else:
            balancer.lines = None
        return plain_call(now, row)

    replay.call = call
    lines.extend(
        f"differs here: {difference.call}: recorded {difference.told}, replayed {difference.got}"
        for difference in replay.run()
    )
    return lines or [f"RPC {number} is not in this capture"]


def find(records: list[dict], name: bytes) -> list[int]:
    """Returns the numbers of the requests with this name: an id, or the hash of one."""
    return [row[2] for _, row in calls(records) if row[0] == TAKE and row[6] == name]
