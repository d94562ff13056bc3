"""The open-loop load generator: sends each RPC at its scheduled time and measures latency from that time.

The histogram `lateness` shows how well the schedule was kept: for each first try, the time from its scheduled
moment until the generator began it. Clients reuse connections, give a try up after its own timeout, and retry
by the callers' rule.
"""

import asyncio
import contextlib
import errno
from collections.abc import Callable
from random import Random

import httptools
from hdrh.histogram import HdrHistogram

from shedgrade.lab import callers
from shedgrade.lab.arrival import Arrival
from shedgrade.lab.scenario import Scenario

TOP = 3_600_000_000  # largest value that a histogram holds, in microseconds: one hour


def histogram() -> HdrHistogram:
    """An empty histogram of microseconds with three significant figures."""
    return HdrHistogram(1, TOP, 3)


class Rpc:
    """One RPC with all its tries.

    done: whether the final outcome is recorded
    pending: recorded retries that are not yet due
    first_sent: when the first try was written, s; None before
    """

    __slots__ = ("arrival", "tries", "done", "status", "end", "pending", "first_sent")

    def __init__(self, arrival: Arrival) -> None:
        self.arrival, self.tries, self.done = arrival, 0, False
        self.status, self.end, self.pending, self.first_sent = "", 0.0, 0, None


class Try:
    """One request as one client sends it.

    n: number of tries of the RPC before this one
    name: request ID
    at, sent: when the try began and when its request was written, s; `sent` is None before
    wait: time until the client gives up, s
    resent: whether it was sent a second time because its connection had closed
    over: whether its outcome is recorded
    first: whether it is the first request on its connection
    """

    __slots__ = ("rpc", "n", "name", "at", "sent", "wait", "link", "timer", "resent", "over", "first")

    def __init__(self, rpc: Rpc, n: int, name: str, at: float, wait: float) -> None:
        self.rpc, self.n, self.name, self.at, self.wait = rpc, n, name, at, wait
        self.sent, self.link, self.timer, self.resent, self.over = None, None, None, False, False
        self.first = False


class ClientLink(asyncio.Protocol):
    """One connection to a sidecar; it carries one request at a time."""

    def __init__(self, origin: "Origin") -> None:
        self.origin, self.transport, self.one = origin, None, None
        self.parser = httptools.HttpResponseParser(self)
        self.used = self.lost = False
        self.lingering: Try | None = None  # try that was given up; a response to it is recorded as late
        self.clear()

    def clear(self) -> None:
        self.body, self.retry_after, self.begun = [], 0.0, False

    def connection_made(self, transport) -> None:
        self.transport = transport

    def connection_lost(self, failure) -> None:
        self.lost = True
        self.origin.closed(self)

    def data_received(self, data: bytes) -> None:
        self.begun = True
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            with contextlib.suppress(ValueError):
                self.retry_after = float(value)

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        status, keep = self.parser.get_status_code(), self.parser.should_keep_alive()
        body, retry_after = b"".join(self.body), self.retry_after
        self.used = True
        self.clear()
        self.origin.answered(self, status, body, retry_after, keep)


class Origin:
    """The clients of one sidecar, with their idle connections and the number of all connections."""

    def __init__(self, generator: "Generator", number: int, place: tuple[str, int]) -> None:
        self.generator, self.number, self.place = generator, number, place
        self.idle: list[ClientLink] = []
        self.count = 0

    def send(self, one: Try) -> None:
        while self.idle:
            link = self.idle.pop()
            if not link.lost and not link.transport.is_closing():
                self.write(link, one)
                return
        if self.count >= self.generator.scenario.callers.connections:
            self.generator.over(one, callers.UNREACHABLE, note="no connection left to this client")
            return
        self.count += 1
        self.generator.loop.create_task(self.connect(one))

    async def connect(self, one: Try) -> None:
        try:
            async with asyncio.timeout(one.wait):
                _, link = await (self.tunnel if self.generator.scenario.load.via else self.direct)()
        except (OSError, TimeoutError) as failure:
            self.count -= 1
            if getattr(failure, "errno", None) in (errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL):
                self.generator.trouble(f"descriptors or ports ran out in the generator: {failure.strerror}")
            if not one.over:
                self.generator.over(one, callers.UNREACHABLE)
            return
        if one.over:
            link.transport.close()
            return
        self.write(link, one)

    async def direct(self):
        return await self.generator.loop.create_connection(lambda: ClientLink(self), *self.place)

    async def tunnel(self):
        """Connects through a new tunnel, which stays open as long as the connection inside it."""
        from shedgrade.sidecar.tunnel import connect, socks
        from shedgrade.sidecar.tunnel.destinations import destination
        from shedgrade.sidecar.tunnel.dialler import Handshake

        where = destination("lab.internal", 80)
        codec = (
            socks.Dialling(where) if self.generator.scenario.load.via == "socks5" else connect.Dialling(where)
        )
        transport, talk = await self.generator.loop.create_connection(lambda: Handshake(codec), *self.place)
        await talk.ended
        if not codec.done:
            transport.abort()
            raise ConnectionRefusedError(codec.failed)
        link = ClientLink(self)
        transport.set_protocol(link)
        link.connection_made(transport)
        transport.resume_reading()
        return transport, link

    def write(self, link: ClientLink, one: Try) -> None:
        arrival = one.rpc.arrival
        link.one, one.link, one.first = one, link, not link.used
        marks = b"X-Retried: 1\r\n" if one.n and self.generator.scenario.callers.marks_retry else b""
        kinds = self.generator.scenario.load.classes
        attrs = kinds[arrival.kind].attrs if arrival.kind < len(kinds) else ""
        if attrs:
            marks += b"X-Attrs: %s\r\n" % attrs.encode()
        # Retriable methods are sent as GET, all others as POST, as the platform's clients do.
        body = b"" if self.generator.verbs[arrival.method] == b"GET" else b"x" * arrival.body
        link.transport.write(
            b"%s /%s/%d HTTP/1.1\r\nHost: lab\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\nX-Lab-Work: %.4f\r\n"
            b"X-Lab-Body: %d\r\n%s%s\r\n%s"
            % (
                self.generator.verbs[arrival.method],
                arrival.method.encode(),
                arrival.number,
                one.name.encode(),
                max(1, round((one.wait - self.generator.now() + one.at) * 1000)),
                arrival.work,
                arrival.body,
                marks,
                b"Content-Length: %d\r\n" % len(body) if body else b"",
                body,
            )
        )
        one.sent = self.generator.now()
        self.generator.sent(one)

    def answered(self, link: ClientLink, status: int, body: bytes, retry_after: float, keep: bool) -> None:
        one, link.one = link.one, None
        now = self.generator.now()
        if one is None:
            late, link.lingering = link.lingering, None
            if late is not None:
                self.generator.record({"k": "late", "id": late.name, "at": round(now, 6), "status": status})
            else:
                self.generator.record(
                    {
                        "k": "extra",
                        "sidecar": self.number,
                        "at": round(now, 6),
                        "status": status,
                        "body": body[:80].decode("latin-1"),
                    }
                )
            link.transport.close()
            return
        if keep:
            self.idle.append(link)
        else:
            link.transport.close()
        outcome = (
            callers.SERVED if status == 200 else (callers.REFUSED if status in (429, 503) else callers.FAILED)
        )
        self.generator.over(one, outcome, status, body, retry_after)

    def closed(self, link: ClientLink) -> None:
        self.count -= 1
        if link in self.idle:
            self.idle.remove(link)
        one, link.one = link.one, None
        if link.lingering is not None:
            self.generator.record(
                {"k": "late", "id": link.lingering.name, "status": 0, "at": round(self.generator.now(), 6)}
            )
            link.lingering = None
        if one is None or one.over:
            return
        # The sidecar closed an idle connection while the request was in transit: resend it once on a new one.
        if link.used and not link.begun and not one.resent:
            one.resent = True
            self.generator.record(
                {"k": "resent", "id": one.name, "at": round(self.generator.now(), 6), "sidecar": self.number}
            )
            self.count += 1
            self.generator.loop.create_task(self.connect(one))
            return
        self.generator.over(one, callers.LOST)


class Generator:
    """Sends the schedule, or the part of it that belongs to this process."""

    def __init__(
        self,
        loop,
        clock: Callable[[], float],
        scenario: Scenario,
        arrivals: list[Arrival],
        places: list[tuple[str, int]],
        record: Callable[[dict], None],
        number: int = 0,
    ) -> None:
        self.loop, self.now, self.scenario, self.record, self.number = loop, clock, scenario, record, number
        self.arrivals, self.next = arrivals, 0
        self.origins = [Origin(self, index, place) for index, place in enumerate(places)]
        self.methods = {method.name: method for method in scenario.methods}
        self.verbs = {
            name: b"GET" if method.repeats == "retriable" else b"POST"
            for name, method in self.methods.items()
        }
        self.chance = Random(f"{scenario.seed}/callers/{number}")
        self.lateness, self.latency, self.served = histogram(), histogram(), histogram()
        self.late = self.out = 0
        self.finished = asyncio.Event()
        self.counts = {"rpcs": 0, "served": 0, "in_time": 0, "tries": 0}
        self.troubles: list[str] = []

    def trouble(self, what: str) -> None:
        if what not in self.troubles:
            self.troubles.append(what)
            self.record({"k": "trouble", "what": what})

    def begin(self) -> None:
        self.step()

    def step(self) -> None:
        """Sends all RPCs that are due, regardless of the outcome of earlier ones."""
        now = self.now()
        while self.next < len(self.arrivals) and self.arrivals[self.next].at <= now:
            arrival = self.arrivals[self.next]
            self.next += 1
            self.out += 1
            self.counts["rpcs"] += 1
            rpc = Rpc(arrival)
            self.attempt(rpc, now)
            if arrival.recorded:
                for offset in arrival.recorded:
                    rpc.pending += 1
                    self.loop.call_later(max(0.0, arrival.at + offset - now), self.recorded, rpc)
        if self.next < len(self.arrivals):
            self.loop.call_later(max(0.0, self.arrivals[self.next].at - self.now()), self.step)
        elif not self.out:
            self.finished.set()

    def recorded(self, rpc: Rpc) -> None:
        """Sends a retry of the trace at its recorded time, unless the RPC has been served since."""
        rpc.pending -= 1
        if not rpc.done:
            self.attempt(rpc, self.now())

    def attempt(self, rpc: Rpc, now: float) -> None:
        arrival = rpc.arrival
        wait = arrival.wait_ms or self.scenario.callers.wait_ms or self.methods[arrival.method].hard_ms
        n = rpc.tries
        rpc.tries += 1
        self.counts["tries"] += 1
        one = Try(rpc, n, f"n{arrival.origin}.{self.number}.{arrival.number}.{n}", now, wait / 1000)
        one.timer = self.loop.call_later(one.wait, self.give_up, one)
        self.origins[arrival.origin].send(one)

    def sent(self, one: Try) -> None:
        rpc = one.rpc
        if one.n == 0 and rpc.first_sent is None:
            rpc.first_sent = one.sent
            # Time to connect does not count as lateness: the sidecar's host causes it, not the generator.
            late = max(0.0, one.at - rpc.arrival.at)
            self.lateness.record_value(max(1, round(late * 1e6)))
            self.late += late * 1000 > self.scenario.load.late_ms

    def give_up(self, one: Try) -> None:
        if one.over:
            return
        link = one.link
        if link is not None and link.one is one:
            link.one, link.lingering = None, one
            # Keep reading for the grace time, to tell a late response from a lost one.
            self.loop.call_later(self.scenario.judging.grace_ms / 1000, self.hang_up, link)
        self.over(one, callers.GAVE_UP)

    @staticmethod
    def hang_up(link: ClientLink) -> None:
        if not link.lost:
            link.transport.abort()

    def over(
        self,
        one: Try,
        outcome: str,
        status: int = 0,
        body: bytes = b"",
        retry_after: float = 0.0,
        note: str = "",
    ) -> None:
        """Records the outcome of a try, then retries the RPC or ends it."""
        one.over = True
        one.timer.cancel()
        rpc, now = one.rpc, self.now()
        arrival, method = rpc.arrival, self.methods[rpc.arrival.method]
        self.record(
            {
                "k": "try",
                "id": one.name,
                "rpc": arrival.number,
                "n": one.n,
                "method": arrival.method,
                "origin": arrival.origin,
                "due": arrival.at,
                "at": round(one.at, 6),
                "sent": one.sent and round(one.sent, 6),
                "wait": one.wait,
                "end": round(now, 6),
                "how": outcome,
                "status": status,
                "work": arrival.work,
                "body": arrival.body,
                "kind": arrival.kind,
                "first": one.first,
                "got": body[:80].rstrip(b" ").decode("latin-1"),
                **({"note": note} if note else {}),
            }
        )
        if rpc.done:
            return
        if outcome == callers.SERVED:
            self.end(rpc, outcome, now)
        elif arrival.recorded is not None:
            if not rpc.pending:
                self.end(rpc, outcome, now)
        else:
            wait = callers.next_try(
                self.scenario.callers, method, outcome, rpc.tries, now - arrival.at, retry_after, self.chance
            )
            if wait is None:
                self.end(rpc, outcome, now)
            else:
                self.loop.call_later(wait, lambda: self.attempt(rpc, self.now()))

    def end(self, rpc: Rpc, outcome: str, now: float) -> None:
        rpc.done = True
        arrival, method = rpc.arrival, self.methods[rpc.arrival.method]
        took = now - arrival.at
        if arrival.at >= self.scenario.warmup_s:
            self.latency.record_value(max(1, round(took * 1e6)))
            if outcome == callers.SERVED:
                self.served.record_value(max(1, round(took * 1e6)))
        self.counts["served"] += outcome == callers.SERVED
        self.counts["in_time"] += outcome == callers.SERVED and took <= method.soft_ms / 1000
        self.record(
            {
                "k": "rpc",
                "rpc": arrival.number,
                "method": arrival.method,
                "origin": arrival.origin,
                "due": arrival.at,
                "end": round(now, 6),
                "how": outcome,
                "tries": rpc.tries,
            }
        )
        self.out -= 1
        if not self.out and self.next >= len(self.arrivals):
            self.finished.set()


class Closed:
    """A closed loop, for comparison only: each worker sends its next RPC after the response to its last one.

    Its latencies hide stalls (coordinated omission), because no worker sends anything during a stall.
    """

    def __init__(self, generator: Generator, workers: int) -> None:
        self.generator, self.workers, self.latency = generator, workers, histogram()

    async def run(self) -> None:
        await asyncio.gather(*(self.work(number) for number in range(self.workers)))

    async def work(self, worker: int) -> None:
        scenario, now = self.generator.scenario, self.generator.now
        method, number, streams = scenario.methods[0], 0, None
        while now() < scenario.length_s:
            begun = now()
            head = (
                b"%s /%s/c HTTP/1.1\r\nHost: lab\r\nX-Request-ID: n0.closed%d.%d.0\r\nX-Timeout-Ms: %d\r\n"
                b"X-Lab-Work: 1\r\nContent-Length: 0\r\n\r\n"
                % (self.generator.verbs[method.name], method.name.encode(), worker, number, method.hard_ms)
            )
            number += 1
            try:
                streams = streams or await asyncio.open_connection(*self.generator.origins[0].place)
                streams[1].write(head)
                lines = (await streams[0].readuntil(b"\r\n\r\n")).lower().split(b"\r\n")
                length = next(
                    (int(line.split(b":")[1]) for line in lines if line.startswith(b"content-length")), 0
                )
                await streams[0].readexactly(length)
            except (OSError, asyncio.IncompleteReadError):
                streams = None
            if now() < scenario.length_s:
                self.latency.record_value(max(1, round((now() - begun) * 1e6)))
            await asyncio.sleep(0.01)
