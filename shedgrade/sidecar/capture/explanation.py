"""Explanation of one request of a capture, in words: the decisions about it and their reasons, by replay."""

from types import ModuleType

from shedgrade import load_balancing
from shedgrade.sidecar.capture.older_decisions import METHODS
from shedgrade.sidecar.capture.replay import RPC_OPERATIONS, Replay
from shedgrade.sidecar.capture.rows import (
    ADMIT,
    ATTEMPT_FINISHED,
    CLIENT_DISCONNECTED,
    DECIDE,
    NO_DECISION,
    RESPONSE_STARTED,
    calls,
)

OUTCOMES = (
    "unsent",
    "unconnected",
    "rejected",
    "completed",
    "failed",
    "timed out",
    "dropped",
    "stopped",
    "broken",
)


def explaining_class(base: type) -> type:
    """Returns a subclass of a Balancer that decides the same and adds its reasons to `lines`, unless None."""

    class ExplainingBalancer(base):
        lines: list | None = None
        upstream_ids: dict = {}

        def add_reason(self, line: str) -> None:
            if self.lines is not None:
                self.lines.append(line)

        def name_of(self, upstream: object) -> str:
            return self.upstream_ids.get(str(upstream.index), str(upstream.index))

        def choose_upstream(
            self, now: int, rpc: load_balancing.Rpc, prefer_own_zone: bool
        ) -> load_balancing.Upstream | None:
            if self.lines is not None:
                self.add_reason(
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
                    self.add_reason(f"  zone {max(loads)[1]} has the highest load, at the threshold: skipped")
                ejected = [
                    self.name_of(upstream) for upstream in self.upstreams.values() if upstream.ejected_until
                ]
                if ejected:
                    self.add_reason(
                        f"  ejected: {', '.join(ejected[:8])}{' ...' if len(ejected) > 8 else ''}"
                    )
            found = super().choose_upstream(now, rpc, prefer_own_zone)
            if found is None:
                self.add_reason(
                    "  no upstream has room for it"
                    + (": the own zone may have room soon" if prefer_own_zone else "")
                )
            return found

        def next_in_rotation(
            self, zone: load_balancing.Zone, now: int, rpc: load_balancing.Rpc, remaining: int
        ) -> load_balancing.Upstream | None:
            found = super().next_in_rotation(zone, now, rpc, remaining)
            if found is not None:
                load_limit = (zone.in_flight + zone.background_load) / max(
                    1, len(zone.rotation)
                ) + load_balancing.LOAD_MARGIN
                suffix = (
                    ""
                    if found.in_flight + found.background_load <= load_limit
                    else ": none near the mean had room"
                )
                self.add_reason(
                    f"  zone {self.zones.index(zone)}: {self.name_of(found)} is next with room, "
                    f"{found.in_flight} in flight there{suffix}"
                )
            return found

        def has_capacity(
            self, upstream: load_balancing.Upstream, now: int, remaining: int, expected: float
        ) -> bool:
            found = super().has_capacity(upstream, now, remaining, expected)
            if not found:
                reason = (
                    "half-open, with one in flight"
                    if upstream.half_open and upstream.in_flight
                    else (
                        "slow start, its share is used up"
                        if self.is_warming_up(upstream, now)
                        else f"{expected / 10:.0f} ms expected of {remaining / 10:.0f} left"
                    )
                )
                self.add_reason(f"  {self.name_of(upstream)} skipped: {reason}")
            return found

        def last_resort(self, now: int, rpc: load_balancing.Rpc) -> load_balancing.Upstream | None:
            found = super().last_resort(now, rpc)
            self.add_reason(f"  last resort: {self.name_of(found) if found is not None else 'none'}")
            return found

        def enqueue(self, now: int, rpc: load_balancing.Rpc, until: int) -> bool:
            found = super().enqueue(now, rpc, until)
            self.add_reason(
                "  queued: an attempt should finish in time"
                if found
                else "  not queued: no attempt would finish in time"
            )
            return found

    for older, present in METHODS["Balancer"].items():
        if present in vars(ExplainingBalancer) and hasattr(base, older):
            # The base calls the method by its older name.
            setattr(ExplainingBalancer, older, getattr(ExplainingBalancer, present))
    return ExplainingBalancer


def explain(
    records: list[dict], number: int, module: ModuleType = load_balancing, until: float = float("inf")
) -> list[str]:
    """Returns lines that say what was decided about one request, and why.

    `module`: the load balancing module to use. `until`: time at which the replay stops, tenths of a ms.
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
        if op == ADMIT:
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
            lines.append(f"{at}: the client disconnected")
        elif op == RESPONSE_STARTED:
            lines.append(f"{at}: the response stream is open")

    replay.on_call = on_call
    # Reasons are collected only in calls on this request, whose number is in the row.
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
    return [row[2] for _, row in calls(records) if row[0] == ADMIT and row[6] == name]
