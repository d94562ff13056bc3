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

LARGEST_LATENCY_US = 3_600_000_000  # largest value that a histogram holds, in microseconds: one hour


def histogram() -> HdrHistogram:
    """An empty histogram of microseconds with three significant figures."""
    return HdrHistogram(1, LARGEST_LATENCY_US, 3)


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
    ended: whether its outcome is recorded
    first: whether it is the first request on its connection
    """

    __slots__ = ("rpc", "n", "name", "at", "sent", "wait", "link", "timer", "resent", "ended", "first")

    def __init__(self, rpc: Rpc, n: int, name: str, at: float, wait: float) -> None:
        self.rpc, self.n, self.name, self.at, self.wait = rpc, n, name, at, wait
        self.sent, self.link, self.timer, self.resent, self.ended = None, None, None, False, False
        self.first = False


class ClientLink(asyncio.Protocol):
    """One connection to a sidecar; it carries one request at a time."""

    def __init__(self, origin: "Origin") -> None:
        self.origin, self.transport, self.request = origin, None, None
        self.parser = httptools.HttpResponseParser(self)
        self.used = self.lost = False
        self.lingering: Try | None = None  # try that was given up; a response to it is recorded as late
        self.clear()

    def clear(self) -> None:
        self.body, self.retry_after, self.response_started = [], 0.0, False

    def connection_made(self, transport) -> None:
        self.transport = transport

    def connection_lost(self, failure) -> None:
        self.lost = True
        self.origin.connection_closed(self)

    def data_received(self, data: bytes) -> None:
        self.response_started = True
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
        self.origin.response_received(self, status, body, retry_after, keep)


class Origin:
    """The clients of one sidecar, with their idle connections and the number of all connections."""

    def __init__(self, generator: "Generator", number: int, address: tuple[str, int]) -> None:
        self.generator, self.number, self.address = generator, number, address
        self.idle: list[ClientLink] = []
        self.connection_count = 0

    def send(self, request: Try) -> None:
        while self.idle:
            link = self.idle.pop()
            if not link.lost and not link.transport.is_closing():
                self.write(link, request)
                return
        if self.connection_count >= self.generator.scenario.callers.connections:
            self.generator.finish_try(request, callers.UNREACHABLE, note="no connection left to this client")
            return
        self.connection_count += 1
        self.generator.loop.create_task(self.connect(request))

    async def connect(self, request: Try) -> None:
        try:
            async with asyncio.timeout(request.wait):
                _, link = await (self.tunnel if self.generator.scenario.load.via else self.direct)()
        except (OSError, TimeoutError) as failure:
            self.connection_count -= 1
            if getattr(failure, "errno", None) in (errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL):
                self.generator.report_trouble(
                    f"descriptors or ports ran out in the generator: {failure.strerror}"
                )
            if not request.ended:
                self.generator.finish_try(request, callers.UNREACHABLE)
            return
        if request.ended:
            link.transport.close()
            return
        self.write(link, request)

    async def direct(self):
        return await self.generator.loop.create_connection(lambda: ClientLink(self), *self.address)

    async def tunnel(self):
        """Connects through a new tunnel, which stays open as long as the connection inside it."""
        from shedgrade.sidecar.tunnel import connect, socks
        from shedgrade.sidecar.tunnel.destinations import destination
        from shedgrade.sidecar.tunnel.dialler import Handshake

        target = destination("lab.internal", 80)
        codec = (
            socks.Dialling(target)
            if self.generator.scenario.load.via == "socks5"
            else connect.Dialling(target)
        )
        transport, handshake = await self.generator.loop.create_connection(
            lambda: Handshake(codec), *self.address
        )
        await handshake.ended
        if not codec.done:
            transport.abort()
            raise ConnectionRefusedError(codec.failed)
        link = ClientLink(self)
        transport.set_protocol(link)
        link.connection_made(transport)
        transport.resume_reading()
        return transport, link

    def write(self, link: ClientLink, request: Try) -> None:
        arrival = request.rpc.arrival
        link.request, request.link, request.first = request, link, not link.used
        extra_headers = (
            b"X-Retried: 1\r\n" if request.n and self.generator.scenario.callers.marks_retry else b""
        )
        classes = self.generator.scenario.load.classes
        attrs = classes[arrival.kind].attrs if arrival.kind < len(classes) else ""
        if attrs:
            extra_headers += b"X-Attrs: %s\r\n" % attrs.encode()
        # Retriable methods are sent as GET, all others as POST, as the platform's clients do.
        body = b"" if self.generator.verbs[arrival.method] == b"GET" else b"x" * arrival.body
        link.transport.write(
            b"%s /%s/%d HTTP/1.1\r\nHost: lab\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\nX-Lab-Work: %.4f\r\n"
            b"X-Lab-Body: %d\r\n%s%s\r\n%s"
            % (
                self.generator.verbs[arrival.method],
                arrival.method.encode(),
                arrival.number,
                request.name.encode(),
                max(1, round((request.wait - self.generator.now() + request.at) * 1000)),
                arrival.work,
                arrival.body,
                extra_headers,
                b"Content-Length: %d\r\n" % len(body) if body else b"",
                body,
            )
        )
        request.sent = self.generator.now()
        self.generator.request_written(request)

    def response_received(
        self, link: ClientLink, status: int, body: bytes, retry_after: float, keep: bool
    ) -> None:
        request, link.request = link.request, None
        now = self.generator.now()
        if request is None:
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
        self.generator.finish_try(request, outcome, status, body, retry_after)

    def connection_closed(self, link: ClientLink) -> None:
        self.connection_count -= 1
        if link in self.idle:
            self.idle.remove(link)
        request, link.request = link.request, None
        if link.lingering is not None:
            self.generator.record(
                {"k": "late", "id": link.lingering.name, "status": 0, "at": round(self.generator.now(), 6)}
            )
            link.lingering = None
        if request is None or request.ended:
            return
        # The sidecar closed an idle connection while the request was in transit: resend it once on a new one.
        if link.used and not link.response_started and not request.resent:
            request.resent = True
            self.generator.record(
                {
                    "k": "resent",
                    "id": request.name,
                    "at": round(self.generator.now(), 6),
                    "sidecar": self.number,
                }
            )
            self.connection_count += 1
            self.generator.loop.create_task(self.connect(request))
            return
        self.generator.finish_try(request, callers.LOST)


class Generator:
    """Sends the schedule, or the part of it that belongs to this process."""

    def __init__(
        self,
        loop,
        clock: Callable[[], float],
        scenario: Scenario,
        arrivals: list[Arrival],
        addresses: list[tuple[str, int]],
        record: Callable[[dict], None],
        number: int = 0,
    ) -> None:
        self.loop, self.now, self.scenario, self.record, self.number = loop, clock, scenario, record, number
        self.arrivals, self.next_arrival = arrivals, 0
        self.origins = [Origin(self, index, address) for index, address in enumerate(addresses)]
        self.methods = {method.name: method for method in scenario.methods}
        self.verbs = {
            name: b"GET" if method.repeats == "retriable" else b"POST"
            for name, method in self.methods.items()
        }
        self.rng = Random(f"{scenario.seed}/callers/{number}")
        self.lateness, self.latency, self.served = histogram(), histogram(), histogram()
        self.late = self.unfinished = 0
        self.finished = asyncio.Event()
        self.counts = {"rpcs": 0, "served": 0, "in_time": 0, "tries": 0}
        self.troubles: list[str] = []

    def report_trouble(self, what: str) -> None:
        if what not in self.troubles:
            self.troubles.append(what)
            self.record({"k": "trouble", "what": what})

    def begin(self) -> None:
        self.send_due()

    def send_due(self) -> None:
        """Sends all RPCs that are due, regardless of the outcome of earlier ones."""
        now = self.now()
        while self.next_arrival < len(self.arrivals) and self.arrivals[self.next_arrival].at <= now:
            arrival = self.arrivals[self.next_arrival]
            self.next_arrival += 1
            self.unfinished += 1
            self.counts["rpcs"] += 1
            rpc = Rpc(arrival)
            self.start_try(rpc, now)
            if arrival.recorded:
                for offset in arrival.recorded:
                    rpc.pending += 1
                    self.loop.call_later(max(0.0, arrival.at + offset - now), self.send_recorded_retry, rpc)
        if self.next_arrival < len(self.arrivals):
            self.loop.call_later(max(0.0, self.arrivals[self.next_arrival].at - self.now()), self.send_due)
        elif not self.unfinished:
            self.finished.set()

    def send_recorded_retry(self, rpc: Rpc) -> None:
        """Sends a retry of the trace at its recorded time, unless the RPC has been served since."""
        rpc.pending -= 1
        if not rpc.done:
            self.start_try(rpc, self.now())

    def start_try(self, rpc: Rpc, now: float) -> None:
        arrival = rpc.arrival
        wait = arrival.wait_ms or self.scenario.callers.wait_ms or self.methods[arrival.method].hard_ms
        n = rpc.tries
        rpc.tries += 1
        self.counts["tries"] += 1
        request = Try(rpc, n, f"n{arrival.origin}.{self.number}.{arrival.number}.{n}", now, wait / 1000)
        request.timer = self.loop.call_later(request.wait, self.give_up, request)
        self.origins[arrival.origin].send(request)

    def request_written(self, request: Try) -> None:
        rpc = request.rpc
        if request.n == 0 and rpc.first_sent is None:
            rpc.first_sent = request.sent
            # Time to connect does not count as lateness: the sidecar's host causes it, not the generator.
            late = max(0.0, request.at - rpc.arrival.at)
            self.lateness.record_value(max(1, round(late * 1e6)))
            self.late += late * 1000 > self.scenario.load.late_ms

    def give_up(self, request: Try) -> None:
        if request.ended:
            return
        link = request.link
        if link is not None and link.request is request:
            link.request, link.lingering = None, request
            # Keep reading for the grace time, to tell a late response from a lost one.
            self.loop.call_later(self.scenario.judging.grace_ms / 1000, self.hang_up, link)
        self.finish_try(request, callers.GAVE_UP)

    @staticmethod
    def hang_up(link: ClientLink) -> None:
        if not link.lost:
            link.transport.abort()

    def finish_try(
        self,
        request: Try,
        outcome: str,
        status: int = 0,
        body: bytes = b"",
        retry_after: float = 0.0,
        note: str = "",
    ) -> None:
        """Records the outcome of a try, then retries the RPC or ends it."""
        request.ended = True
        request.timer.cancel()
        rpc, now = request.rpc, self.now()
        arrival, method = rpc.arrival, self.methods[rpc.arrival.method]
        self.record(
            {
                "k": "try",
                "id": request.name,
                "rpc": arrival.number,
                "n": request.n,
                "method": arrival.method,
                "origin": arrival.origin,
                "due": arrival.at,
                "at": round(request.at, 6),
                "sent": request.sent and round(request.sent, 6),
                "wait": request.wait,
                "end": round(now, 6),
                "how": outcome,
                "status": status,
                "work": arrival.work,
                "body": arrival.body,
                "kind": arrival.kind,
                "first": request.first,
                "got": body[:80].rstrip(b" ").decode("latin-1"),
                **({"note": note} if note else {}),
            }
        )
        if rpc.done:
            return
        if outcome == callers.SERVED:
            self.finish_rpc(rpc, outcome, now)
        elif arrival.recorded is not None:
            if not rpc.pending:
                self.finish_rpc(rpc, outcome, now)
        else:
            wait = callers.retry_delay(
                self.scenario.callers, method, outcome, rpc.tries, now - arrival.at, retry_after, self.rng
            )
            if wait is None:
                self.finish_rpc(rpc, outcome, now)
            else:
                self.loop.call_later(wait, lambda: self.start_try(rpc, self.now()))

    def finish_rpc(self, rpc: Rpc, outcome: str, now: float) -> None:
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
        self.unfinished -= 1
        if not self.unfinished and self.next_arrival >= len(self.arrivals):
            self.finished.set()


class ClosedLoop:
    """A closed loop, for comparison only: each worker sends its next RPC after the response to its last one.

    Its latencies hide stalls (coordinated omission), because no worker sends anything during a stall.
    """

    def __init__(self, generator: Generator, workers: int) -> None:
        self.generator, self.workers, self.latency = generator, workers, histogram()

    async def run(self) -> None:
        await asyncio.gather(*(self.run_worker(number) for number in range(self.workers)))

    async def run_worker(self, worker: int) -> None:
        scenario, now = self.generator.scenario, self.generator.now
        method, number, streams = scenario.methods[0], 0, None
        while now() < scenario.length_s:
            started = now()
            head = (
                b"%s /%s/c HTTP/1.1\r\nHost: lab\r\nX-Request-ID: n0.closed%d.%d.0\r\nX-Timeout-Ms: %d\r\n"
                b"X-Lab-Work: 1\r\nContent-Length: 0\r\n\r\n"
                % (self.generator.verbs[method.name], method.name.encode(), worker, number, method.hard_ms)
            )
            number += 1
            try:
                streams = streams or await asyncio.open_connection(*self.generator.origins[0].address)
                streams[1].write(head)
                lines = (await streams[0].readuntil(b"\r\n\r\n")).lower().split(b"\r\n")
                length = next(
                    (int(line.split(b":")[1]) for line in lines if line.startswith(b"content-length")), 0
                )
                await streams[0].readexactly(length)
            except (OSError, asyncio.IncompleteReadError):
                streams = None
            if now() < scenario.length_s:
                self.latency.record_value(max(1, round((now() - started) * 1e6)))
            await asyncio.sleep(0.01)
