"""Whether a history kept every promise. Each check returns what it found wrong, as text."""

from __future__ import annotations

from shedgrade.simulation.register import CONFLICT, OK, Put, chain, line

SETTLE, ACK, RESTART = 4.0, 5.0, 8.0


def check(history, timely: bool = True) -> list[str]:
    wrong = list(history.wrong)
    wrong += one_chain(history)
    wrong += acknowledged(history)
    wrong += reads(history)
    if timely:
        wrong += in_time(history)
        wrong += after_restarts(history)
    return wrong


def one_chain(history) -> list[str]:
    """All finished states, by mark, are prefixes of one chain; each change is built on the one before."""
    wrong, last, counter = [], b"", 0
    for mark in sorted(history.states):
        taken, count = history.states[mark]
        if not taken.startswith(last):
            wrong.append(f"the chain breaks at {mark}: {last[-60:]!r} and {taken[-60:]!r}")
        if count < counter:
            wrong.append(f"the counter goes back at {mark}")
        last, counter = taken, count
    version = 0
    for each in last.decode().split("\n")[:-1]:
        base, after, _ = each.split()
        if int(base) != version or int(after) <= version:
            wrong.append(f"change {each!r} on top of {version}")
        version = int(after)
    return wrong


def acknowledged(history) -> list[str]:
    """What was acknowledged is in the chain, what was refused is not; each place was given once."""
    taken = {each for states in history.states.values() for each in states[0].decode().split("\n")[:-1]}
    final = set(history.states[max(history.states)][0].decode().split("\n")[:-1]) if history.states else set()
    wrong, bases = [], {}
    for call in history.calls:
        if type(call.request) is not Put:
            continue
        mine = line(call.request)
        if call.outcome == OK:
            if mine not in final:
                wrong.append(f"acknowledged and lost: {mine!r}")
            if bases.setdefault(call.request.base, mine) != mine:
                wrong.append(f"two acknowledged on {call.request.base}")
        elif call.outcome == CONFLICT and mine in taken:
            wrong.append(f"refused and in force: {mine!r}")
    return wrong


def reads(history) -> list[str]:
    """A read tells of everything that was acknowledged, or read, before it began; so does a conflict."""
    wrong: list[str] = []
    ended = sorted((call for call in history.calls if call.outcome is not None), key=lambda c: c.ended)
    done, low, count, most = 0, None, 0, 0
    for call in sorted((call for call in ended if call.request is None), key=lambda c: c.began):
        while done < len(ended) and ended[done].ended < call.began:
            before = ended[done]
            done += 1
            if before.request is None:
                most = max(most, len(chain(before.outcome.state)))
                count = max(count, int(before.outcome.state.get("counter", b"0")))
            elif before.outcome == OK:
                if type(before.request) is Put:
                    low = max(low or 0, before.request.version)
                else:
                    count = max(count, before.request.number)
        state = call.outcome.state
        if (low is not None and int(state.get("version", b"0")) < low) or len(chain(state)) < most:
            wrong.append(f"an old read at {call.began:.3f}: {state.get('version')} after {low}")
        if int(state.get("counter", b"0")) < count:
            wrong.append(f"an old counter read at {call.began:.3f}")
    return wrong


def stretches(history, end: float) -> list[tuple[float, float]]:
    """Spans throughout which the core was stable: no trouble, and none within SETTLE before."""
    spans, at = [], 0.0
    for start, stop in sorted(history.trouble):
        if start > at:
            spans.append((at, start))
        at = max(at, stop + SETTLE)
    if end > at:
        spans.append((at, end))
    return spans


def in_time(history) -> list[str]:
    """No order waits for longer than ACK within a stretch in which the core was stable."""
    wrong = []
    for start, stop in stretches(history, history.end):
        for call in history.calls:
            span = min(call.ended, stop) - max(call.began, start)
            if span > ACK:
                since = max(call.began, start)
                wrong.append(f"{call.request} of {call.began:.3f} waits {span:.2f} s from {since:.3f}")
    return wrong


def after_restarts(history) -> list[str]:
    """An order is acknowledged within RESTART of the moment when all machines are up again."""
    wrong = []
    for at in history.restarts:
        until = at + RESTART
        if until > history.end or any(start < until and stop > at for start, stop in history.trouble):
            continue
        if not any(at <= call.ended <= at + RESTART and call.outcome == OK for call in history.calls):
            wrong.append(f"nothing acknowledged within {RESTART} s of the restart at {at:.3f}")
    return wrong
