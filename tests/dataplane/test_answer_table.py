"""Each cell of the table in `docs/design/worst-days.md`: what was sent, what was received, and the outcome.

A request is sent to one of two stand-in upstreams on loopback, which reacts as the cell says; the other one
answers normally. The sidecar's clock is moved manually.
"""

import asyncio
import socket
import struct

import pytest
from ingress_rig import (
    LAST,
    Client,
    Upstream,
    chunk,
    configuration,
    events,
    head,
    request,
    route,
    sidecar,
    streaming,
    whole,
)

from shedgrade.configuration import Limits

KINDS = {
    "safe": {"route_class": "safe"},
    "unsafe": {"route_class": "unsafe"},
    "stream": {"resumable": False},
    "resumable": {"resumable": True},
}
TIMEOUT_MS = 4000
LONG_BODY = 12 * 1024 * 1024  # bytes, more than the kernel accepts while the upstream reads none
EARLIER = {"attempt-id": "warm-0"}
REFUSAL = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
FAILURE = b"HTTP/1.1 500 Wrong\r\nServer-Seal: seal\r\nContent-Length: 5\r\n\r\nwrong"


def good(came, streams):
    if not streams:
        return whole(came, b"good")
    after = int(came.get("last-event-id", 0))
    return streaming(came) + chunk(events(*range(after + 1, 4))) + LAST


class Cell:
    """The reaction to the request under test; of the two upstreams, the first one to receive it reacts."""

    def __init__(self, reaction, streams):
        self.reaction, self.streams = reaction, streams
        self.reached, self.go_on = asyncio.Event(), asyncio.Event()
        self.first = None  # the upstream that received the request first
        self.sent = 0  # upstreams that received it
        self.begins = reaction in (
            IN_PART["a head, then a reset"][0],
            IN_PART["a head, then a close"][0],
            IN_PART["a head, then nothing"][0],
        )

    def script(self, name):
        async def answer(came, writer):
            if came["attempt-id"] != "id-1":
                writer.write(whole(came, b"warm") if not self.streams else good(came, True))
                return None
            self.sent += 1
            if self.first is not None:
                writer.write(good(came, self.streams))
                return None
            self.first = name
            self.reached.set()
            return await self.reaction(self, came, writer)

        return answer


# --- reactions


async def silence(cell, came, writer):
    await asyncio.Event().wait()


async def late(cell, came, writer):
    await cell.go_on.wait()
    writer.write(good(came, cell.streams))


async def reset(cell, came, writer):
    await writer.drain()
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    return False


async def close(cell, came, writer):
    await writer.drain()
    writer.write_eof()
    await asyncio.Event().wait()


def sends(make, then=None):
    """Writes `make(came, streams)` and then reacts with `then`."""

    async def reaction(cell, came, writer):
        writer.write(make(came, cell.streams))
        await writer.drain()
        return await then(cell, came, writer) if then is not None else None

    return reaction


def once_read(then):
    """Reacts with `then` once the sidecar has read what was written."""

    async def reaction(cell, came, writer):
        await cell.go_on.wait()
        return await then(cell, came, writer)

    return reaction


def begun(came, streams):
    return streaming(came) + chunk(events(1)) if streams else head(came, Content_Length=10) + b"goo"


def surplus(came, streams):
    return whole(EARLIER, b"x")


def surplus_and_own(came, streams):
    return surplus(came, streams) + good(came, streams)


def surplus_refusal_and_own(came, streams):
    return whole(EARLIER, b"", 503, None, Not_Executed=1) + good(came, streams)


def refusal(came, streams):
    return whole(came, b"", 503, None, Not_Executed=1)


def failure(came, streams):
    return whole(came, b"wrong", 500)


def interim_and_own(came, streams):
    return b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + good(came, streams)


def own_and_more(came, streams):
    return good(came, streams) + b"more"


def without_id(answer):
    return lambda came, streams: answer


def own_without_id(came, streams):
    return good(came, streams).replace(b"Attempt-Id: id-1\r\n", b"")


# The received bytes: the reaction, the outcome for each of KINDS, and whether the connection is kept.
#   again: the other upstream's answer; own: this one's, complete; cut: its head, and a visible end;
#   a number: that status, with the upstream's body for 500 and without a body otherwise.
LOST = ("again", 502, 502, "again")
WHOLE = {
    "nothing until the deadline": (silence, (503, 502, 502, 503), False),
    "a reset": (reset, LOST, False),
    "a close": (close, LOST, False),
    "garbage": (sends(without_id(b"noise\r\n\r\n")), LOST, False),
    "half a head, then a close": (sends(without_id(b"HTTP/1.1 503 Bu"), close), LOST, False),
    "a surplus answer, then the own": (sends(surplus_and_own), ("own",) * 4, True),
    "a surplus refusal, then the own": (sends(surplus_refusal_and_own), ("own",) * 4, True),
    "a surplus answer, then nothing": (sends(surplus, silence), (503, 502, 502, 503), False),
    "a surplus answer, then a close": (sends(surplus, close), LOST, False),
    "a success without an id": (sends(own_without_id), LOST, False),
    "a refusal": (sends(refusal), ("again",) * 4, True),
    "a failure": (sends(failure), ("again", 500, 500, "again"), True),
    "a head, then a reset": (sends(begun, reset), ("again", 502, "cut", "again"), False),
    "a body shorter than said": (sends(begun, close), ("again", 502, "cut", "again"), False),
    "an interim answer, then the own": (sends(interim_and_own), ("own",) * 4, True),
    "a body longer than said": (sends(own_and_more), ("own",) * 4, False),
}
ON_A_KEPT_CONNECTION = WHOLE | {
    "an answer after the deadline": (late, (503, 502, 502, 503), False),
    "a refusal without an id": (sends(without_id(REFUSAL)), LOST, False),
    "a failure without an id": (sends(without_id(FAILURE)), LOST, False),
}
# On a new connection an answer without an id can't belong to another request. The first answer is awaited
# beyond the deadline, since the connection was costly to open; no client gets it.
ON_A_NEW_CONNECTION = WHOLE | {
    "an answer after the deadline": (late, (503, 502, 502, 503), True),
    "a refusal without an id": (sends(without_id(REFUSAL)), ("again",) * 4, True),
    "a failure without an id": (sends(without_id(FAILURE)), ("again", 500, 500, "again"), True),
}
# A long body that the upstream does not read: its last byte was never sent, so nothing was run; and its first
# bytes are no longer held here, so it can't be sent again.
IN_PART = {
    "nothing until the deadline": (silence, (503,) * 4, False),
    "a reset": (reset, (503,) * 4, False),
    "a close": (close, (503,) * 4, False),
    "garbage": (sends(without_id(b"noise\r\n\r\n")), (503, 502, 502, 503), False),
    "a refusal": (sends(refusal), (503,) * 4, False),
    "a failure": (sends(failure), (503, 500, 500, 503), False),
    "a success": (sends(good), (503, 502, 502, 503), False),
    "a head, then a reset": (sends(begun, once_read(reset)), (503, 502, 502, 503), False),
    "a head, then a close": (sends(begun, once_read(close)), (503, 502, 502, 503), False),
    "a head, then nothing": (sends(begun, silence), (503, 502, 502, 503), False),
}


def cells(table):
    return [
        pytest.param(kind, reaction, follows[number], kept, id=f"{kind}: {came}")
        for came, (reaction, follows, kept) in table.items()
        for number, kind in enumerate(KINDS)
    ]


async def told(client):
    """The status and the body of an answer; the body is None if it ends before it is complete."""
    status = await client.head()
    try:
        return status, await client.body()
    except (asyncio.IncompleteReadError, ConnectionError):
        return status, None


async def warm(plane, upstreams):
    """Opens a kept connection to each upstream by one request."""
    for number, _ in enumerate(upstreams):
        client = await Client().open(plane)
        client.send(request(name=f"warm-{number}"))
        assert (await told(client))[0] == 200
        client.writer.transport.abort()
    assert [upstream.connections for upstream in upstreams] == [1, 1]


async def head_came(plane, cell):
    """Waits until the sidecar has read the head with which the reaction began an answer."""
    await asyncio.wait_for(cell.reached.wait(), 5)
    while not any(link.status for link in plane.services["lm"].connections.open):
        await asyncio.sleep(0)


async def outcome_of(plane, cell, data, waits):
    """The answer that the client of `id-1` gets. `waits`: the deadline passes before anything is received."""
    client = await Client().open(plane)
    client.send(data)
    if cell.begins:
        await head_came(plane, cell)
        cell.go_on.set()
    if waits:
        await asyncio.wait_for(cell.reached.wait(), 5)
        plane.clock.advance(TIMEOUT_MS + 200, plane.services["lm"])
        assert not plane.services["lm"].dispatcher.active_requests
    answer = await told(client)
    cell.go_on.set()
    return answer


async def check(plane, cell, answer, follows, kept):
    """Checks the client's answer, the number of upstreams that got the request, and whether the connection is
    kept."""
    done = b"good" if not cell.streams else events(1, 2, 3)
    expected = {"again": (200, done), "own": (200, done), "cut": (200, None), 500: (500, b"wrong")}
    assert answer == expected.get(follows, (follows, b""))
    assert cell.sent == (2 if follows == "again" else 1)
    pool = plane.services["lm"]
    index = pool.indices.by_id[cell.first]
    while kept and not pool.connections.idle.by_upstream.get(index):
        await asyncio.sleep(0)  # an answer without a client is still in transit
    assert kept or not pool.connections.idle.by_upstream.get(index)


def play(kind, reaction, follows, kept, data, warmed):
    async def story():
        cell = Cell(reaction, kind in ("stream", "resumable"))
        upstreams = [Upstream(name, cell.script(name)) for name in ("i-1", "i-2")]
        routes = configuration(route(timeout_ms=TIMEOUT_MS, max_attempts=2, **KINDS[kind]))
        async with sidecar(routes, *upstreams, manual=True) as plane:
            plane.services["lm"].connections.idle.settle_time = 0
            if warmed:
                await warm(plane, upstreams)
            answer = await outcome_of(plane, cell, data, follows in (502, 503) and waits_for(reaction))
            await check(plane, cell, answer, follows, kept)

    asyncio.run(story())


def waits_for(reaction):
    return reaction in (
        silence,
        late,
        WHOLE["a surplus answer, then nothing"][0],
        IN_PART["a head, then nothing"][0],
    )


@pytest.mark.parametrize("body", [b"", b"prompt"], ids=["head", "body"])
@pytest.mark.parametrize(("kind", "reaction", "follows", "kept"), cells(ON_A_KEPT_CONNECTION))
def test_a_whole_request_on_a_kept_connection(kind, reaction, follows, kept, body):
    play(kind, reaction, follows, kept, request(body=body), True)


@pytest.mark.parametrize(("kind", "reaction", "follows", "kept"), cells(ON_A_NEW_CONNECTION))
def test_a_whole_request_on_a_new_connection(kind, reaction, follows, kept):
    play(kind, reaction, follows, kept, request(), False)


class ReadsNoBody(Upstream):
    """Reads the head of a request, reacts, and stops reading."""

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            text = await reader.readuntil(b"\r\n\r\n")
            writer.transport.pause_reading()
            lines = text.decode().strip().split("\r\n")[1:]
            came = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
            if await self.script(came, writer) is not False:
                await writer.drain()
                await asyncio.Event().wait()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.transport.abort()


@pytest.mark.parametrize(("kind", "reaction", "follows", "kept"), cells(IN_PART))
def test_a_partially_sent_request(kind, reaction, follows, kept):
    async def story():
        cell = Cell(reaction, kind in ("stream", "resumable"))
        upstreams = [ReadsNoBody(name, cell.script(name)) for name in ("i-1", "i-2")]
        routes = configuration(
            route(timeout_ms=TIMEOUT_MS, max_attempts=2, **KINDS[kind]),
            limits=Limits(body_bytes=2 * LONG_BODY),
        )
        async with sidecar(routes, *upstreams, manual=True) as plane:
            answer = await outcome_of(plane, cell, request(body=b"x" * LONG_BODY), waits_for(reaction))
            await check(plane, cell, answer, follows, kept)

    asyncio.run(story())


NO_CONNECTION = [
    ConnectionRefusedError(111, "refused"),
    ConnectionResetError(104, "reset"),
    OSError(113, "no route"),
    None,
]


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("failure", NO_CONNECTION, ids=["refused", "reset", "no route", "silence"])
def test_an_unsent_request_is_retried_elsewhere(kind, failure):
    async def story():
        cell = Cell(None, kind in ("stream", "resumable"))
        cell.first = "another"  # both upstreams answer normally
        upstreams = [Upstream(name, cell.script(name)) for name in ("i-1", "i-2")]
        routes = configuration(route(max_attempts=2, **KINDS[kind]))
        async with sidecar(routes, *upstreams, manual=True) as plane:
            pool, dialled = plane.services["lm"], asyncio.Event()

            async def connect(factory, address):
                pool.connections.connect = pool.connections.direct
                dialled.set()
                if failure is not None:
                    raise failure
                await asyncio.Event().wait()

            pool.connections.connect = connect
            client = await Client().open(plane)
            client.send(request())
            await asyncio.wait_for(dialled.wait(), 5)
            if failure is None:
                plane.clock.advance(500, pool)
            assert await told(client) == (200, events(1, 2, 3) if cell.streams else b"good")
            assert cell.sent == 1

    asyncio.run(story())
