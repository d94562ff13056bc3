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


def explaining_class(base: type) -> type:
    """Returns a subclass of a Balancer that decides alike and adds reasons to `lines`, if that is a list."""

    class NarratingBalancer(base):
        lines: list | None = None
        upstream_ids: dict = {}

        def say(self, line: str) -> None:
            if self.lines is not None:
                self.lines.append(line)

        def name(self, up: object) -> str:
            return self.upstream_ids.get(str(up.index), str(up.index))

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
                ejected = [self.name(up) for up in self.upstreams.values() if up.ejected_until]
                if ejected:
                    self.say(f"  ejected: {', '.join(ejected[:8])}{' ...' if len(ejected) > 8 else ''}")
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
                load_limit = (zone.in_flight + zone.background_load) / max(
                    1, len(zone.rotation)
                ) + load_balancing.LOAD_MARGIN
                above = (
                    ""
                    if found.in_flight + found.background_load <= load_limit
                    else ": none near the mean had room"
                )
                self.say(
                    f"  zone {self.zones.index(zone)}: {self.name(found)} is next with room, "
                    f"{found.in_flight} in flight there{above}"
                )
            return found

        def has_capacity(self, up: load_balancing.Upstream, now: int, left: int, expected: float) -> bool:
            found = super().has_capacity(up, now, left, expected)
            if not found:
                reason = (
                    "half-open, with one in flight"
                    if up.half_open and up.in_flight
                    else (
                        "slow start, its share is used up"
                        if self.is_warming_up(up, now)
                        else f"{expected / 10:.0f} ms expected of {left / 10:.0f} left"
                    )
                )
                self.say(f"  {self.name(up)} skipped: {reason}")
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
    replay = Replay(records, module, explaining_class(module.Balancer), until)
    lines: list[str] = []
    admitted_at = [0]

    def on_call(now: int, row: list, replayed: object) -> None:
        balancer = replay.balancer
        op, values = row[0], row[2:]
        reasons, balancer.lines = balancer.lines or [], None
        if op not in RPC_OPERATIONS or values[0] != number:
            return
        at = f"{(now - admitted_at[0]) / 10:.1f} ms"
        if op == TAKE:
            admitted_at[0] = now
            lines.append(
                f"RPC {number}: method {values[1]}, gives up after {values[2] / 10:.0f} ms"
                f"{', a marked retry' if values[3] else ''}"
            )
        elif op in (DECIDE, NO_DECISION):
            if replayed is None:
                lines.extend([f"{at}: nothing yet", *reasons] if reasons else [])
            elif replayed[0] >= 0:
                name = replay.upstream_ids.get(str(replayed[0]), replayed[0])
                lines.extend([f"{at}: sent to {name}, for {replayed[1] / 10:.0f} ms", *reasons])
            else:
                answer = (
                    "exhausted" if replayed[0] == load_balancing.EXHAUSTED else "errored, as it may have run"
                )
                lines.extend([f"{at}: answered {answer}", *reasons])
        elif op == ATTEMPT_FINISHED:
            lines.append(
                f"{at}: transmission {values[1]} {OUTCOMES[values[2]]} after {values[3] / 10:.1f} ms"
                f"{', which answers it' if values[4] else ''}"
            )
        elif op == CLIENT_DISCONNECTED:
            lines.append(f"{at}: its client left")
        elif op == RESPONSE_STARTED:
            lines.append(f"{at}: its stream is open")

    replay.on_call = on_call
    # Reasons given during a call belong to its request, whose number each row holds.
    replay_call = replay.make_call

    def make_call(now: int, row: list) -> tuple[object, object]:
        balancer = replay.balancer
        if row[0] in (DECIDE, NO_DECISION) and row[2] == number:
            balancer.upstream_ids, balancer.lines = replay.upstream_ids, []
        else:
            balancer.lines = None
        return replay_call(now, row)

    replay.make_call = make_call
    lines.extend(
        f"differs here: {difference.call}: recorded {difference.recorded}, replayed {difference.replayed}"
        for difference in replay.run()
    )
    return lines or [f"RPC {number} is not in this capture"]


def find_rpcs(records: list[dict], name: bytes) -> list[int]:
    """Returns the numbers of the requests with this name: an id, or the hash of one."""
    return [row[2] for _, row in calls(records) if row[0] == TAKE and row[6] == name]
