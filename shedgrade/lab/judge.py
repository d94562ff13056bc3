"""Checks the records of a run against the four rules, without I/O.

The records (docs/operate/lab.md lists them) say what clients sent and received and what upstreams saw; what
a sidecar reports about itself is not used. Each breach names its rule, what happened, and the ids and times
that prove it. Times are in seconds of the run.
"""

from bisect import bisect_right
from collections import defaultdict

from msgspec import Struct

from shedgrade.lab.scenario import Scenario

NEVER_RAN = ("away",)  # ends of a transmission that prove to the sidecar that the request did not run
END_UNSEEN = ("cut", "open")  # ends that don't show when the sidecar gave the transmission up

# A crash of a cold upstream is a breach if at least this share of the work that was offered to it came from
# sidecars that had been told of its start.
TOLD_SHARE = 2 / 3


class Breach(Struct):
    rule: int
    what: str
    evidence: dict


class Evidence:
    """The records of a run, grouped by kind."""

    def __init__(self, records) -> None:
        self.tries: dict[str, dict] = {}
        self.sent: dict[str, list[dict]] = defaultdict(list)
        self.told, self.whole, self.fell = [], [], []
        self.sidecars: dict[int, list[dict]] = defaultdict(list)
        self.late: dict[str, dict] = {}
        self.extra, self.bad, self.resent = [], [], set()
        for entry in records:
            kind = entry["k"]
            if kind == "try":
                self.tries[entry["id"]] = entry
            elif kind == "tx":
                self.sent[entry["id"]].append(entry)
            elif kind == "sidecar":
                self.sidecars[entry["sidecar"]].append(entry)
            elif kind == "late":
                self.late[entry["id"]] = entry
            elif kind == "resent":
                self.resent.add(entry["id"])
            elif kind in ("told", "whole", "fell", "extra", "bad"):
                getattr(self, kind).append(entry)
        for found in self.sent.values():
            found.sort(key=lambda tx: tx["begun"])

    def spans(self, sidecar: int, begin: str, ends: tuple[str, ...]) -> list[tuple[float, float]]:
        """Returns the time spans of a sidecar from each event `begin` to the next event in `ends`.

        A span that never ends reaches to infinity.
        """
        found, since = [], None
        for event in sorted(self.sidecars[sidecar], key=lambda event: event["at"]):
            if event["what"] == begin and since is None:
                since = event["at"]
            elif event["what"] in ends and since is not None:
                found.append((since, event["at"]))
                since = None
        return found + ([(since, float("inf"))] if since is not None else [])


def origin_of(name: str) -> int | None:
    """Returns the number of the sidecar that an id belongs to; None for an id that no client uses."""
    head = name.split(".", 1)[0]
    return int(head[1:]) if head[:1] == "n" and head[1:].isdigit() else None


class Judge:
    """Checks all records in one call; `breaches` collects what it finds."""

    def __init__(self, scenario: Scenario, evidence: Evidence) -> None:
        self.scenario, self.evidence = scenario, evidence
        self.grace = scenario.judging.grace_ms / 1000
        self.methods = {method.name: method for method in scenario.methods}
        self.breaches: list[Breach] = []
        count = scenario.sidecars.count
        self.stopped = [
            evidence.spans(number, "stop", ("continue", "kill", "end")) for number in range(count)
        ]
        self.dead = [evidence.spans(number, "kill", ("start",)) for number in range(count)]
        self.leaving = [
            evidence.spans(number, "term", ("start",)) + evidence.spans(number, "end", ("start",))
            for number in range(count)
        ]

    def found(self, rule: int, what: str, **evidence) -> None:
        self.breaches.append(Breach(rule, what, evidence))

    @staticmethod
    def within(spans: list[tuple[float, float]], begin: float, end: float) -> bool:
        return any(begin <= until and end >= since for since, until in spans)

    def excused(self, origin: int, begin: float, end: float) -> bool:
        """Returns whether the sidecar was stopped, killed or leaving, so that its client bears the loss."""
        return any(
            self.within(spans[origin], begin - self.grace, end + self.grace)
            for spans in (self.stopped, self.dead)
        ) or self.within([(since + 0.7, until) for since, until in self.leaving[origin]], begin, end)

    def __call__(self) -> list[Breach]:
        for one in self.evidence.tries.values():
            self.answered(one)
            self.refused(one)
        for name, found in self.evidence.sent.items():
            self.repeated(name, found)
        self.clients()
        self.chains()
        self.drains()
        self.falls()
        for number, events in self.evidence.sidecars.items():
            for event in events:
                if event["what"] == "crash":
                    self.found(1, "a sidecar crashed", sidecar=number, code=event["code"], at=event["at"])
        return self.breaches

    # --- rule 1: each try gets one final answer in time, and nothing is sent after it

    def answered(self, one: dict) -> None:
        name, sent = one["id"], self.evidence.sent.get(one["id"], [])
        if one["sent"] is None:
            return  # the request was never accepted: its last byte was not written
        if not self.excused(one["origin"], one["sent"], one["end"]):
            if one["how"] == "lost" and (sent or not one["first"]):
                self.found(
                    1,
                    "lost: its connection ended without an answer",
                    id=name,
                    sent=one["sent"],
                    ended=one["end"],
                    transmissions=len(sent),
                )
            elif one["how"] == "gave_up":
                late = self.evidence.late.get(name)
                if late is None or not late["status"] or late["at"] > one["end"] + self.grace:
                    self.found(
                        1,
                        "no final answer in time",
                        id=name,
                        sent=one["sent"],
                        wait=one["wait"],
                        given_up=one["end"],
                        transmissions=len(sent),
                    )
        if one["how"] == "served":
            self.made(one, sent)
        for tx in sent:
            # After a stop, a sidecar reads the request first and only then sees that its client has left.
            if one["how"] == "gave_up" and self.within(self.stopped[one["origin"]], one["sent"], one["end"]):
                continue
            if tx["begun"] > one["end"] + self.grace and name not in self.evidence.resent:
                self.found(
                    1,
                    "sent after the final answer",
                    id=name,
                    answered=one["end"],
                    begun=tx["begun"],
                    upstream=tx["up"],
                )

    def made(self, one: dict, sent: list[dict]) -> None:
        """Requires that an upstream made this answer for this request."""
        words = one["got"].split(" ")
        makers = [tx["up"] for tx in sent if tx["how"] == "done" and tx["begun"] <= one["end"]]
        if len(words) != 3 or words[0] != one["id"] or words[1] not in makers:
            self.found(
                1,
                "an answer that no upstream made",
                id=one["id"],
                got=one["got"],
                at=one["end"],
                upstreams=makers,
            )

    def clients(self) -> None:
        for extra in self.evidence.extra:
            self.found(
                1,
                "a second answer on a connection",
                **{key: extra[key] for key in ("sidecar", "at", "status", "body")},
            )
        for bad in self.evidence.bad:
            if bad["how"] == "200":
                self.found(1, "a bad client was served", id=bad["id"], kind=bad["kind"], at=bad["at"])
            elif bad["id"] in self.evidence.sent:
                self.found(
                    2, "a bad client's request was passed on", id=bad["id"], kind=bad["kind"], at=bad["at"]
                )

    # --- rule 2: no effect happens twice

    def repeated(self, name: str, sent: list[dict]) -> None:
        one = self.evidence.tries.get(name)
        if one is None or len(sent) < 2:
            return
        if name in self.evidence.resent and self.within(self.dead[one["origin"]], one["at"], one["end"]):
            return  # the client sent it again to a restarted sidecar, which does not know the first one
        method = self.methods[one["method"]]
        first = None  # the first transmission that may have run
        for before, tx in zip(sent, sent[1:], strict=False):
            if first is None and before["how"] not in NEVER_RAN:
                first = before
            if first is not None and not self.allowed(method, first, tx):
                self.found(
                    2,
                    f"{method.repeats}, sent again after it may have run",
                    id=name,
                    first=first["begun"],
                    first_end=first["how"],
                    first_upstream=first["up"],
                    again=tx["begun"],
                    again_upstream=tx["up"],
                )
            if (
                not self.scenario.settings.parallel_tries
                and before["how"] not in END_UNSEEN
                and (tx["begun"] < before["end"] - self.grace)
            ):
                self.found(
                    2,
                    "two transmissions out at once",
                    id=name,
                    first=before["begun"],
                    first_ended=before["end"],
                    second=tx["begun"],
                )

    def allowed(self, method, first: dict, again: dict) -> bool:
        if method.repeats == "retriable":
            return True
        if method.repeats == "non-retriable":
            return False
        inside = again["begun"] <= first["begun"] + method.window_ms / 1000 + self.grace
        return inside and (method.group != "zone" or first["zone"] == again["zone"])

    def refused(self, one: dict) -> None:
        """Requires that a refused request did not run, as a refusal says that a retry is harmless."""
        method = self.methods[one["method"]]
        if (
            one["how"] != "refused"
            or method.repeats == "retriable"
            or (method.repeats == "deduped" and method.group == "all")
        ):
            return
        for tx in self.evidence.sent.get(one["id"], []):
            if tx["how"] not in NEVER_RAN and tx["whole"] <= one["end"]:
                self.found(
                    2,
                    "refused although it may have run",
                    id=one["id"],
                    sent=tx["begun"],
                    how=tx["how"],
                    upstream=tx["up"],
                    refused=one["end"],
                )

    def chains(self) -> None:
        """Finds requests that ran more than once over a client's tries, where a refusal had called a retry
        harmless."""
        ran: dict[tuple, list] = defaultdict(list)
        for name, sent in self.evidence.sent.items():
            one = self.evidence.tries.get(name)
            if one is not None and self.methods[one["method"]].repeats == "non-retriable":
                ran[one["origin"], one["rpc"]] += [(tx, one) for tx in sent if tx["ran"]]
        for found in ran.values():
            refused = [one for _, one in found if one["how"] == "refused"]
            if len(found) > 1 and refused:
                self.found(
                    2,
                    "took effect twice",
                    ids=sorted({one["id"] for _, one in found}),
                    upstreams=[tx["up"] for tx, _ in found],
                    times=[tx["begun"] for tx, _ in found],
                )

    # --- rule 3: no sidecar sends to an upstream that drains

    def drains(self) -> None:
        limit = self.scenario.settings.stop_sending_ms / 1000 + self.grace
        for sidecar, told in self.told_by().items():
            for name, sent in self.evidence.sent.items():
                if origin_of(name) != sidecar:
                    continue
                for tx in sent:
                    times, states = told.get(tx["up"], ((), ()))
                    place = bisect_right(times, tx["begun"]) - 1
                    if place >= 0 and states[place] != "in_service" and tx["begun"] > times[place] + limit:
                        self.found(
                            3,
                            "sent to an upstream that drains or is gone",
                            id=name,
                            upstream=tx["up"],
                            told=times[place],
                            state=states[place],
                            begun=tx["begun"],
                        )

    def told_by(self) -> dict[int, dict[str, tuple[list, list]]]:
        """Returns, by sidecar and upstream, the times and lifecycle states that the sidecar was told.

        A time is listed only where the state changed. After a restart of the sidecar, its upstreams count as
        in service, as it has forgotten what it was told.
        """
        events: dict[int, list] = defaultdict(list)
        for one in self.evidence.told:
            events[one["sidecar"]].append((one["at"], "told", one["up"], one["lifecycle"]))
        for one in self.evidence.whole:
            events[one["sidecar"]].append((one["at"], "whole", one["ups"], None))
        for number, found in self.evidence.sidecars.items():
            events[number] += [(one["at"], "start", None, None) for one in found if one["what"] == "start"]
        by: dict[int, dict] = {}
        for sidecar, found in events.items():
            state: dict[str, tuple[list, list]] = {}

            def say(at: float, up: str, lifecycle: str, state=state) -> None:
                times, states = state.setdefault(up, ([], []))
                if not states or states[-1] != lifecycle:
                    times.append(at)
                    states.append(lifecycle)

            for at, kind, what, lifecycle in sorted(found, key=lambda event: event[0]):
                if kind == "told":
                    say(at, what, lifecycle)
                elif kind == "whole":
                    for up in state:
                        if up not in what:
                            say(at, up, "terminated")
                else:
                    for up in state:
                        say(at, up, "in_service")
            by[sidecar] = state
        return by

    # --- rule 4: no cold upstream is crashed by overload

    def falls(self) -> None:
        first: dict[tuple[int, str], float] = {}
        for one in self.evidence.told:
            if one["lifecycle"] == "in_service":
                key = one["sidecar"], one["up"]
                first[key] = max(first.get(key, 0.0), one["at"])
        for fell in self.evidence.fell:
            knew = {
                f"n{sidecar}" for (sidecar, up), at in first.items() if up == fell["up"] and at <= fell["at"]
            }
            own = sum(work for origin, work in fell["by"].items() if origin in knew)
            whole = sum(fell["by"].values())
            if whole and own >= TOLD_SHARE * whole:
                self.found(
                    4,
                    "a cold upstream was pushed over",
                    upstream=fell["up"],
                    at=fell["at"],
                    started=fell["cold_since"],
                    offered=round(fell["offered"], 1),
                    limit=round(fell["limit"], 1),
                    by=fell["by"],
                )


def judge(scenario: Scenario, records) -> list[Breach]:
    """Returns all breaches of the four rules that these records show."""
    return Judge(scenario, Evidence(records))()
