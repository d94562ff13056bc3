"""Long uploads that an upstream ran and answered with a 500 of its own are answered with 503 by the system.

One of seven upstreams is unhealthy for five seconds: it fails 0.4 of its requests with a 500 of its own,
before it has read the whole body, and closes the connection.
"""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

from stand_ins import HOST, ZONES, Record, System, Upstream, configuration, read_body, read_message, run_case

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
UPSTREAMS = 7
REQUESTS_PER_S = 24  # the sheet's rate is 27.6
BODY_BYTES, CHUNK_BYTES = 400_000, 16_000  # `bodyBytes` allows 4,194,304
DEADLINE_MS = 5000
TRAFFIC_S = 15.0
GREY_FROM_S, GREY_FOR_S, GREY_SHARE = 5.0, 5.0, 0.4
PROMISES = (408, 421, 429, 503)  # the request has not run and never will


class GreyUpstream(Upstream):
    """An upstream that can be unhealthy while its health check is good.

    grey: it now fails GREY_SHARE of its requests.
    """

    grey = False

    async def handle(self, method: str, target: str, headers: dict, reader, writer) -> bool:
        attempt = headers.get("attempt-id", "")
        is_own = headers.get("target-instance", self.name) == self.name
        if not (self.grey and attempt and is_own and random.random() < GREY_SHARE):
            return await super().handle(method, target, headers, reader, writer)
        self.run(attempt, method, target)
        self.record.line(f"upstream {self.name} answers {attempt} with a 500 of its own, and closes")
        writer.write(
            f"HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: {attempt}\r\nConnection: close\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        await writer.drain()
        return False


async def upload(system: System, record: Record, answers: dict[str, int]) -> None:
    """One unsafe request with a long body in chunks, on a connection of its own."""
    edge = random.choice(system.edges())
    ip, _, port = system.front_address(edge).rpartition(":")
    attempt = f"{random.getrandbits(64):016x}"
    chunk = b"%x\r\n" % CHUNK_BYTES + random.randbytes(CHUNK_BYTES) + b"\r\n"
    writer = sender = None
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            reader, writer = await asyncio.open_connection(ip, int(port))
            record.line(f"client sends {attempt} to {edge}")

            async def send() -> None:
                writer.write(
                    f"POST /book/a HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
                    f"Time-Remaining: {DEADLINE_MS}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
                )
                for _ in range(BODY_BYTES // CHUNK_BYTES):
                    writer.write(chunk)
                    await writer.drain()
                writer.write(b"0\r\n\r\n")

            sender = asyncio.create_task(send())
            message = await read_message(reader)
            if message is None:
                raise EOFError
            status = int(message[0].split()[1])
            await read_body(reader, message[1], True)
            answers[attempt] = status
            record.line(f"client gets {status} for {attempt}")
    except (OSError, EOFError) as error:
        record.line(f"client gets no answer for {attempt}: {type(error).__name__}")
    finally:
        if sender is not None:
            sender.cancel()
            await asyncio.gather(sender, return_exceptions=True)
        if writer is not None:
            writer.transport.abort()


async def play(record: Record) -> int:
    """Plays the case. Returns 1 if the rule REFUSED was broken, else 0."""
    system = System(record)
    upstreams = [
        GreyUpstream(
            f"i-{n}", "booking", list(ZONES)[n % 3], (f"{system.prefix}.{100 + n}", system.engine), record
        )
        for n in range(UPSTREAMS)
    ]
    answers: dict[str, int] = {}
    try:
        for upstream in upstreams:
            await upstream.start()
        system.platform.publish([upstream.entry() for upstream in upstreams])
        await system.start_all()
        route = {
            "pathPrefix": "/book/",
            "routeClass": "unsafe",
            "service": "booking",
            "timeoutMs": DEADLINE_MS,
        }
        await system.put(configuration(1, [route], ["booking"]), 0)
        await system.wait_ready()
        tasks: set[asyncio.Task] = set()
        started_at = time.monotonic()
        while (elapsed := time.monotonic() - started_at) < TRAFFIC_S:
            grey = TROUBLE and GREY_FROM_S <= elapsed < GREY_FROM_S + GREY_FOR_S
            if grey != upstreams[0].grey:
                upstreams[0].grey = grey
                record.line(f"upstream {upstreams[0].name} is {'unhealthy' if grey else 'well again'}")
            tasks.add(asyncio.create_task(upload(system, record, answers)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)
    finally:
        await system.close()
    run = {attempt for upstream in upstreams for _, attempt in upstream.runs}
    broken = sorted(attempt for attempt, status in answers.items() if status in PROMISES and attempt in run)
    by_status = {status: list(answers.values()).count(status) for status in sorted(set(answers.values()))}
    record.line(f"{len(tasks)} requests, answers by status {by_status}")
    for attempt in broken:
        record.line(f"REFUSED: {attempt} has run and is answered with {answers[attempt]}")
    record.line(
        f"result: {len(broken)} requests that have run were answered with a promise that they have not"
    )
    if not answers.keys() & run:
        raise RuntimeError("no request was run and answered")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
