"""Whether a day kept every promise. Each check gives what it found wrong, as text.

The order of all changes is known from the control states that members said were finished, by their position
(epoch, sequence); all else is what operators and edges saw.
"""

from __future__ import annotations

from collections.abc import Iterable

from shedgrade.simulation.system.directory_checkers import check_directory
from shedgrade.simulation.system.history import Attempt, Call, History, Kind

SETTLE = 4.0  # s after trouble until the core counts as stable
APPLY = 9.0  # s within which an edge in touch has what was acknowledged, also beside an unstable core
ACK = 5.0  # s within which an order is acknowledged while the core is stable
ORDERS_OF_ZONES = (Kind.EVACUATE, Kind.RETURN)


def check(world, timely: bool) -> list[str]:
    """All findings. `timely`: times are checked too, for days within what is tolerated."""
    history, states = world.history, [world.finished[position] for position in sorted(world.finished)]
    puts = [call for call in history.calls if call.kind is Kind.PUT]
    wrong = [*history.wrong, *world.faults()]
    wrong += one_chain(states, puts)
    wrong += acknowledged_changes(states, puts)
    wrong += refused_changes(states, history, puts)
    wrong += reads(history)
    wrong += edges(history)
    wrong += edges_in_time(history)
    wrong += zones(states, history)
    wrong += without_majority(history)
    wrong += at_the_end(world, states)
    wrong += check_directory(world)
    if timely:
        wrong += in_time(history)
    return wrong


def one_chain(states: list, puts: list[Call]) -> list[str]:
    """Versions only grow from state to state, and each change was made on top of the one before it."""
    wrong, version, key = [], 0, ""
    bases: dict[tuple[int, str], set[int]] = {}
    for call in puts:
        bases.setdefault((call.version, call.key), set()).add(call.base)
    for state in states:
        if (state.version, state.key) == (version, key):
            continue
        if state.version <= version:
            wrong.append(f"version {version} {key} is followed by {state.version} {state.key}")
        elif version not in bases.get((state.version, state.key), ()):
            # Positions that nobody saw may lie between; then the base is one that was acknowledged or sent.
            known = bases.get((state.version, state.key))
            if known is None:
                wrong.append(f"nobody sent {state.version} {state.key}")
            elif max(known) < version:
                wrong.append(f"{state.version} {state.key}, made on top of {known}, follows {version}")
        version, key = state.version, state.key
    return wrong


def acknowledged_changes(states: list, puts: list[Call]) -> list[str]:
    """What was acknowledged was finished; one change for each base and each number."""
    wrong: list[str] = []
    finished = {(state.version, state.key) for state in states}
    bases: dict[int, str] = {}
    numbers: dict[int, str] = {}
    for call in puts:
        if not call.acknowledged:
            continue
        if (call.version, call.key) not in finished:
            wrong.append(f"acknowledged and never in place: {call.version} {call.key}")
        if bases.setdefault(call.base, call.key) != call.key:
            wrong.append(f"two acknowledged on top of {call.base}: {bases[call.base]} and {call.key}")
        if numbers.setdefault(call.version, call.key) != call.key:
            wrong.append(f"two acknowledged as {call.version}: {numbers[call.version]} and {call.key}")
    return wrong


def refused_changes(states: list, history: History, puts: list[Call]) -> list[str]:
    """A refused change is never in place, and one that was taken never refused; a valid one gets no 400."""
    wrong = []
    in_place = {state.key for state in states} | {view.key for view in history.views}
    for call in puts:
        if call.status is None or call.acknowledged:
            continue
        if call.status != 412:
            wrong.append(f"{call.version} {call.key} on top of {call.base} is valid and got {call.status}")
        if call.key in in_place:
            again = "sent again, " if call.repeat_of is not None else ""
            wrong.append(f"taken and refused: {again}{call.version} {call.key}, {len(call.attempts)} tries")
    return wrong


def reads(history: History) -> list[str]:
    """A read tells nothing older than what was acknowledged, or read, before it began."""
    wrong: list[str] = []
    ended = sorted((call for call in history.calls if call.status is not None), key=lambda call: call.ended)
    known, at = 0, 0
    for call in sorted((call for call in ended if call.kind is Kind.GET), key=lambda call: call.began):
        while at < len(ended) and ended[at].ended < call.began:
            before = ended[at]
            at += 1
            if before.kind is Kind.PUT and before.acknowledged and before.repeat_of is None:
                known = max(known, before.version)
            elif before.kind is Kind.GET and before.status == 200:
                known = max(known, before.body_version)
        got = call.body_version if call.status == 200 else 0
        if call.status not in (200, 404):
            wrong.append(f"a read got {call.status}")
        elif got < known:
            wrong.append(f"an old read at {call.began:.3f}: {got} after {known}")
    return wrong


def edges(history: History) -> list[str]:
    """Within one life, an edge's control state only gets newer, and so do its configurations."""
    wrong = []
    last: dict[tuple[str, int], object] = {}
    for view in history.views:
        before = last.get((view.edge, view.life))
        if before is not None and (view.control <= before.control or view.version < before.version):
            wrong.append(
                f"{view.edge} goes back at {view.at:.3f}: {before.control} {before.version}, "
                f"then {view.control} {view.version}"
            )
        last[view.edge, view.life] = view
    return wrong


def edges_in_time(history: History) -> list[str]:
    """An edge that is in touch has what was acknowledged within APPLY."""
    wrong = []
    views: dict[str, list] = {}
    for view in history.views:
        views.setdefault(view.edge, []).append(view)
    acknowledged = [call for call in history.calls if call.kind is Kind.PUT and call.acknowledged]
    for edge, spans in history.out_of_touch.items():
        for call in acknowledged:
            start, stop = call.ended - SETTLE, call.ended + APPLY
            if stop > history.end or any(begun < stop and ended > start for begun, ended in spans):
                continue
            if not any(view.version >= call.version and view.at <= stop for view in views.get(edge, ())):
                wrong.append(
                    f"{edge} has not learnt {call.version}, acknowledged at {call.ended:.3f}, by {stop:.3f}"
                )
    return wrong


def zones(states: list, history: History) -> list[str]:
    """An order about a zone does nothing once its operator has ended it and a newer one was acknowledged.

    A change of a zone must have an order that was under way when it was first seen, or that ended without a
    clear answer and with no newer one acknowledged since.
    """
    wrong: list[str] = []
    orders: dict[str, list[Call]] = {}
    for call in history.calls:
        if call.kind in ORDERS_OF_ZONES:
            orders.setdefault(call.zone, []).append(call)
    evacuated: frozenset[str] = frozenset()
    for state in states:
        for zone in sorted(state.evacuations ^ evacuated):
            kind = Kind.EVACUATE if zone in state.evacuations else Kind.RETURN
            wrong += late_order(zone, kind, state.at, orders.get(zone, []))
        evacuated = state.evacuations
    return wrong


def late_order(zone: str, kind: Kind, at: float, orders: list[Call]) -> list[str]:
    begun = [call for call in orders if call.kind is kind and call.began <= at]
    if any(call.ended >= at for call in begun):
        return []
    newer = [call for call in orders if call.acknowledged and call.ended < at]
    newest = max(newer, key=lambda call: call.began, default=None)
    unclear = [call for call in begun if not call.acknowledged]
    if any(newest is None or call.ended >= newest.began for call in unclear):
        return []
    last = f"{newest.kind} acknowledged at {newest.ended:.3f}" if newest else "nothing acknowledged"
    return [f"a late {kind} of {zone} takes effect at {at:.3f} after {last}"]


def without_majority(history: History) -> list[str]:
    """A member confirms nothing in a call that began and ended while it reached no majority."""
    return [
        f"{attempt.member}, alone, answers {call.kind} with {attempt.status} at {attempt.ended:.3f}"
        for call in history.calls
        for attempt in call.attempts
        if attempt.status is not None and 200 <= attempt.status < 300 and alone(history, attempt)
    ]


def alone(history: History, attempt: Attempt) -> bool:
    spans = history.isolated.get(attempt.member, ())
    return any(start < attempt.began and attempt.ended < stop for start, stop in spans)


def at_the_end(world, states: list) -> list[str]:
    """Nothing that was acknowledged is gone, and every edge has the newest state."""
    history, wrong = world.history, []
    if not states:
        return ["nothing was ever finished"]
    final = states[-1]
    newest = max(
        (call.version for call in history.calls if call.kind is Kind.PUT and call.acknowledged), default=0
    )
    if final.version < newest:
        wrong.append(f"acknowledged and lost: {newest}, the last state has {final.version}")
    wrong.extend(
        f"{call.operator} waits at the end for {call.kind} {call.version}{call.zone} since {call.began:.3f}"
        for call in history.calls
        if call.ended > history.end
    )
    last = {view.edge: view for view in history.views}
    for edge in world.edges:
        view = last.get(edge.name)
        if view is None or (view.version, frozenset(view.evacuations)) != (final.version, final.evacuations):
            wrong.append(f"{edge.name} never learns {final.position} {final.version}, it has {view}")
    wrong += final_zones(history, final)
    return wrong


def final_zones(history: History, final) -> list[str]:
    """The newest acknowledged order of a zone holds, unless one of the other kind was unclear after it."""
    wrong = []
    for zone in sorted({call.zone for call in history.calls if call.zone}):
        orders = [call for call in history.calls if call.zone == zone]
        taken = [call for call in orders if call.acknowledged]
        newest = max(taken, key=lambda call: call.began, default=None)
        if newest is None or any(
            call.kind is not newest.kind and call.ended >= newest.began for call in orders
        ):
            continue
        if (zone in final.evacuations) != (newest.kind is Kind.EVACUATE):
            wrong.append(f"{newest.kind} of {zone} was acknowledged at {newest.ended:.3f} and is lost")
    return wrong


def stretches(history: History) -> Iterable[tuple[float, float]]:
    """Spans throughout which the core was stable: no trouble, and none within SETTLE before."""
    at = 0.0
    for start, stop in sorted(history.trouble):
        if start > at:
            yield at, start
        at = max(at, stop + SETTLE)
    if history.end > at:
        yield at, history.end


def in_time(history: History) -> list[str]:
    """No order waits for longer than ACK within a stretch in which the core was stable."""
    wrong = []
    for start, stop in stretches(history):
        for call in history.calls:
            span = min(call.ended, stop) - max(call.began, start)
            if span > ACK and call.kind is not Kind.GET:
                since = max(call.began, start)
                wrong.append(
                    f"{call.operator}'s {call.kind} {call.version}{call.zone} waits {span:.2f} s "
                    f"from {since:.3f}"
                )
    return wrong
