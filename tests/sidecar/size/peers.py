"""Clients and upstreams that send and read long messages, in any framing of HTTP/1.1 and at any rate."""

import asyncio
from hashlib import sha256

from helpers import World


def pattern(count, start=0):
    """Bytes of which every 64 KiB block is different."""
    block = bytes(range(256)) * 256
    blocks = range((start + count) // 65536 + 1)
    made = b"".join(sha256(b"%d" % number).digest() + block[32:] for number in blocks)
    return made[start : start + count]


def chunked(body, size, extension=b"", trailers=b""):
    pieces = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x%s\r\n%s\r\n" % (len(one), extension, one) for one in pieces) + (
        b"0" + extension + b"\r\n" + trailers + b"\r\n"
    )


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")[:-2]
    return head, {name.lower(): value for name, _, value in (line.partition(": ") for line in head[1:])}


async def read_body(reader, headers, bytes_per_s=None):
    """Reads a body by its framing. `bytes_per_s`: the rate, in bytes a second; None for no limit."""

    async def read_exactly(count):
        found, delay_s = bytearray(), 0.0  # a bytes object would be copied for each 4 KB
        while len(found) < count:
            if bytes_per_s:
                delay_s += 4096 / bytes_per_s
            # Timers are late by a ms or more, so many short sleeps would give a rate far below `bytes_per_s`.
            if delay_s > 0.02:
                await asyncio.sleep(delay_s)
                delay_s = 0.0
            found += await reader.readexactly(min(count - len(found), 4096 if bytes_per_s else count))
        return bytes(found)

    if "transfer-encoding" in headers:
        body = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if not size:
                while await reader.readuntil(b"\r\n") != b"\r\n":
                    pass
                return b"".join(body)
            body.append(await read_exactly(size))
            assert await reader.readexactly(2) == b"\r\n"
    if "content-length" in headers:
        return await read_exactly(int(headers["content-length"]))
    return await reader.read()


class Upstream:
    """Reads each request completely, then sends what `answer(head, body)` yields: bytes, or seconds to wait;
    CLOSE closes the connection gracefully, RESET aborts it."""

    CLOSE, RESET = object(), object()

    def __init__(self, answer, bytes_per_s=None):
        self.answer, self.bytes_per_s, self.seen, self.open = answer, bytes_per_s, [], 0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def serve(self, reader, writer):
        self.open += 1
        self.writers.add(writer)
        try:
            while True:
                head, headers = await read_head(reader)
                framed = {"content-length", "transfer-encoding"} & set(headers)
                body = await read_body(reader, headers, self.bytes_per_s) if framed else b""
                self.seen.append((head, body))
                for piece in self.answer(head, body):
                    if piece is self.CLOSE:
                        return
                    if piece is self.RESET:
                        writer.transport.abort()
                        return
                    if isinstance(piece, bytes):
                        writer.write(piece)
                        await writer.drain()
                    else:
                        await asyncio.sleep(piece)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        except RuntimeError:  # raised by uvloop for a read from a transport that was closed meanwhile
            if not writer.transport.is_closing():
                raise
        finally:
            self.open -= 1
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.close()


class LongMessageWorld(World):
    """A sidecar with upstreams that read and send long messages."""

    def __init__(self, *answers, bytes_per_s=None, **more):
        super().__init__(*answers, **more)
        self.bytes_per_s = bytes_per_s

    async def __aenter__(self):
        import helpers

        original_server = helpers.Server
        helpers.Server = lambda script: (
            original_server(script) if script == self.discover else Upstream(script, self.bytes_per_s)
        )
        try:
            return await super().__aenter__()
        finally:
            helpers.Server = original_server

    def bytes_held(self):
        return self.sidecar.budget.bytes


def post(framing, target="/m/1", name="a1", timeout_ms=15000, version="1.1", verb="POST", *extra_headers):
    lines = [
        f"{verb} {target} HTTP/{version}",
        "Host: api",
        f"X-Request-ID: {name}",
        f"X-Timeout-Ms: {timeout_ms}",
        *extra_headers,
        *([framing] if framing else []),
        "",
        "",
    ]
    return "\r\n".join(lines).encode()


async def exchange(world, raw, bytes_per_s=None, verb="POST"):
    """Sends a request while reading its answer. Returns (status, headers, body)."""
    reader, writer = await world.connect()

    async def send():
        for at in range(0, len(raw), 65536):
            writer.write(raw[at : at + 65536])
            await writer.drain()

    async with asyncio.timeout(50):
        sending = asyncio.ensure_future(send())
        head, headers = await read_head(reader)
        while head[0].split()[1] == "100":
            head, headers = await read_head(reader)
        bodiless = verb == "HEAD" or head[0].split()[1] in ("204", "304")
        body = b"" if bodiless else await read_body(reader, headers, bytes_per_s)
        sending.cancel()
    writer.close()
    return int(head[0].split()[1]), headers, body
