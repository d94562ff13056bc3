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
INFORMED_WORK_SHARE = 2 / 3


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
        for transmissions in self.sent.values():
            transmissions.sort(key=lambda tx: tx["begun"])

    def spans(self, sidecar: int, begin: str, ends: tuple[str, ...]) -> list[tuple[float, float]]:
        """Returns the time spans of a sidecar from each event `begin` to the next event in `ends`.

        A span that never ends reaches to infinity.
        """
        spans, since = [], None
        for event in sorted(self.sidecars[sidecar], key=lambda event: event["at"]):
            if event["what"] == begin and since is None:
                since = event["at"]
            elif event["what"] in ends and since is not None:
                spans.append((since, event["at"]))
                since = None
        return spans + ([(since, float("inf"))] if since is not None else [])


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

    def add_breach(self, rule: int, what: str, **evidence) -> None:
        self.breaches.append(Breach(rule, what, evidence))

    @staticmethod
    def overlaps(spans: list[tuple[float, float]], begin: float, end: float) -> bool:
        return any(begin <= until and end >= since for since, until in spans)

    def excused(self, origin: int, begin: float, end: float) -> bool:
        """Returns whether the sidecar was stopped, killed or leaving, so that its client bears the loss."""
        return any(
            self.overlaps(spans[origin], begin - self.grace, end + self.grace)
            for spans in (self.stopped, self.dead)
        ) or self.overlaps([(since + 0.7, until) for since, until in self.leaving[origin]], begin, end)

    def __call__(self) -> list[Breach]:
        for attempt in self.evidence.tries.values():
            self.check_answer(attempt)
            self.check_refusal(attempt)
        for name, transmissions in self.evidence.sent.items():
            self.check_repeats(name, transmissions)
        self.check_clients()
        self.check_repeated_effects()
        self.check_drains()
        self.check_overloads()
        for number, events in self.evidence.sidecars.items():
            for event in events:
                if event["what"] == "crash":
                    self.add_breach(
                        1, "a sidecar crashed", sidecar=number, code=event["code"], at=event["at"]
                    )
        return self.breaches

    # --- rule 1: each try gets one final answer in time, and nothing is sent after it

    def check_answer(self, attempt: dict) -> None:
        name, sent = attempt["id"], self.evidence.sent.get(attempt["id"], [])
        if attempt["sent"] is None:
            return  # the request was never accepted: its last byte was not written
        if not self.excused(attempt["origin"], attempt["sent"], attempt["end"]):
            if attempt["how"] == "lost" and (sent or not attempt["first"]):
                self.add_breach(
                    1,
                    "lost: its connection ended without an answer",
                    id=name,
                    sent=attempt["sent"],
                    ended=attempt["end"],
                    transmissions=len(sent),
                )
            elif attempt["how"] == "gave_up":
                late = self.evidence.late.get(name)
                if late is None or not late["status"] or late["at"] > attempt["end"] + self.grace:
                    self.add_breach(
                        1,
                        "no final answer in time",
                        id=name,
                        sent=attempt["sent"],
                        wait=attempt["wait"],
                        given_up=attempt["end"],
                        transmissions=len(sent),
                    )
        if attempt["how"] == "served":
            self.check_answer_source(attempt, sent)
        for tx in sent:
            # After a stop, a sidecar reads the request first and only then sees that its client has left.
            if attempt["how"] == "gave_up" and self.overlaps(
                self.stopped[attempt["origin"]], attempt["sent"], attempt["end"]
            ):
                continue
            if tx["begun"] > attempt["end"] + self.grace and name not in self.evidence.resent:
                self.add_breach(
                    1,
                    "sent after the final answer",
                    id=name,
                    answered=attempt["end"],
                    begun=tx["begun"],
                    upstream=tx["up"],
                )

    def check_answer_source(self, attempt: dict, sent: list[dict]) -> None:
        """Requires that an upstream made this answer for this request."""
        words = attempt["got"].split(" ")
        makers = [tx["up"] for tx in sent if tx["how"] == "done" and tx["begun"] <= attempt["end"]]
        if len(words) != 3 or words[0] != attempt["id"] or words[1] not in makers:
            self.add_breach(
                1,
                "an answer that no upstream made",
                id=attempt["id"],
                got=attempt["got"],
                at=attempt["end"],
                upstreams=makers,
            )

    def check_clients(self) -> None:
        for extra in self.evidence.extra:
            self.add_breach(
                1,
                "a second answer on a connection",
                **{key: extra[key] for key in ("sidecar", "at", "status", "body")},
            )
        for bad in self.evidence.bad:
            if bad["how"] == "200":
                self.add_breach(1, "a bad client was served", id=bad["id"], kind=bad["kind"], at=bad["at"])
            elif bad["id"] in self.evidence.sent:
                self.add_breach(
                    2, "a bad client's request was passed on", id=bad["id"], kind=bad["kind"], at=bad["at"]
                )

    # --- rule 2: no effect happens twice

    def check_repeats(self, name: str, sent: list[dict]) -> None:
        attempt = self.evidence.tries.get(name)
        if attempt is None or len(sent) < 2:
            return
        if name in self.evidence.resent and self.overlaps(
            self.dead[attempt["origin"]], attempt["at"], attempt["end"]
        ):
            return  # the client sent it again to a restarted sidecar, which does not know the first one
        method = self.methods[attempt["method"]]
        first = None  # the first transmission that may have run
        for before, tx in zip(sent, sent[1:], strict=False):
            if first is None and before["how"] not in NEVER_RAN:
                first = before
            if first is not None and not self.may_repeat(method, first, tx):
                self.add_breach(
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
                self.add_breach(
                    2,
                    "two transmissions out at once",
                    id=name,
                    first=before["begun"],
                    first_ended=before["end"],
                    second=tx["begun"],
                )

    def may_repeat(self, method, first: dict, again: dict) -> bool:
        if method.repeats == "retriable":
            return True
        if method.repeats == "non-retriable":
            return False
        inside = again["begun"] <= first["begun"] + method.window_ms / 1000 + self.grace
        return inside and (method.group != "zone" or first["zone"] == again["zone"])

    def check_refusal(self, attempt: dict) -> None:
        """Requires that a refused request did not run, as a refusal says that a retry is harmless."""
        method = self.methods[attempt["method"]]
        if (
            attempt["how"] != "refused"
            or method.repeats == "retriable"
            or (method.repeats == "deduped" and method.group == "all")
        ):
            return
        for tx in self.evidence.sent.get(attempt["id"], []):
            if tx["how"] not in NEVER_RAN and tx["whole"] <= attempt["end"]:
                self.add_breach(
                    2,
                    "refused although it may have run",
                    id=attempt["id"],
                    sent=tx["begun"],
                    how=tx["how"],
                    upstream=tx["up"],
                    refused=attempt["end"],
                )

    def check_repeated_effects(self) -> None:
        """Finds requests that ran more than once over a client's tries, where a refusal had called a retry
        harmless."""
        runs_by_rpc: dict[tuple, list] = defaultdict(list)
        for name, sent in self.evidence.sent.items():
            attempt = self.evidence.tries.get(name)
            if attempt is not None and self.methods[attempt["method"]].repeats == "non-retriable":
                runs_by_rpc[attempt["origin"], attempt["rpc"]] += [(tx, attempt) for tx in sent if tx["ran"]]
        for runs in runs_by_rpc.values():
            refused = [attempt for _, attempt in runs if attempt["how"] == "refused"]
            if len(runs) > 1 and refused:
                self.add_breach(
                    2,
                    "took effect twice",
                    ids=sorted({attempt["id"] for _, attempt in runs}),
                    upstreams=[tx["up"] for tx, _ in runs],
                    times=[tx["begun"] for tx, _ in runs],
                )

    # --- rule 3: no sidecar sends to an upstream that drains

    def check_drains(self) -> None:
        limit = self.scenario.settings.stop_sending_ms / 1000 + self.grace
        for sidecar, lifecycles in self.lifecycles_by_sidecar().items():
            for name, sent in self.evidence.sent.items():
                if origin_of(name) != sidecar:
                    continue
                for tx in sent:
                    times, states = lifecycles.get(tx["up"], ((), ()))
                    index = bisect_right(times, tx["begun"]) - 1
                    if index >= 0 and states[index] != "in_service" and tx["begun"] > times[index] + limit:
                        self.add_breach(
                            3,
                            "sent to an upstream that drains or is gone",
                            id=name,
                            upstream=tx["up"],
                            told=times[index],
                            state=states[index],
                            begun=tx["begun"],
                        )

    def lifecycles_by_sidecar(self) -> dict[int, dict[str, tuple[list, list]]]:
        """Returns, by sidecar and upstream, the times and lifecycle states that the sidecar was told.

        A time is listed only where the state changed. After a restart of the sidecar, its upstreams count as
        in service, as it has forgotten what it was told.
        """
        events: dict[int, list] = defaultdict(list)
        for record in self.evidence.told:
            events[record["sidecar"]].append((record["at"], "told", record["up"], record["lifecycle"]))
        for record in self.evidence.whole:
            events[record["sidecar"]].append((record["at"], "whole", record["ups"], None))
        for number, sidecar_events in self.evidence.sidecars.items():
            events[number] += [
                (record["at"], "start", None, None) for record in sidecar_events if record["what"] == "start"
            ]
        lifecycles: dict[int, dict] = {}
        for sidecar, sidecar_events in events.items():
            by_upstream: dict[str, tuple[list, list]] = {}

            def set_lifecycle(at: float, up: str, lifecycle: str, by_upstream=by_upstream) -> None:
                times, states = by_upstream.setdefault(up, ([], []))
                if not states or states[-1] != lifecycle:
                    times.append(at)
                    states.append(lifecycle)

            for at, kind, what, lifecycle in sorted(sidecar_events, key=lambda event: event[0]):
                if kind == "told":
                    set_lifecycle(at, what, lifecycle)
                elif kind == "whole":
                    for up in by_upstream:
                        if up not in what:
                            set_lifecycle(at, up, "terminated")
                else:
                    for up in by_upstream:
                        set_lifecycle(at, up, "in_service")
            lifecycles[sidecar] = by_upstream
        return lifecycles

    # --- rule 4: no cold upstream is crashed by overload

    def check_overloads(self) -> None:
        told_at: dict[tuple[int, str], float] = {}
        for record in self.evidence.told:
            if record["lifecycle"] == "in_service":
                key = record["sidecar"], record["up"]
                told_at[key] = max(told_at.get(key, 0.0), record["at"])
        for fell in self.evidence.fell:
            informed = {
                f"n{sidecar}"
                for (sidecar, up), at in told_at.items()
                if up == fell["up"] and at <= fell["at"]
            }
            informed_work = sum(work for origin, work in fell["by"].items() if origin in informed)
            total_work = sum(fell["by"].values())
            if total_work and informed_work >= INFORMED_WORK_SHARE * total_work:
                self.add_breach(
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
