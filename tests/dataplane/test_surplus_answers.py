"""A late answer to an earlier request on a kept connection reaches no client and makes no promise."""

import asyncio

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

EARLIER = {"attempt-id": "id-1"}
REFUSAL = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
FAILURE = b"HTTP/1.1 500 Wrong\r\nServer-Seal: seal-1\r\nContent-Length: 5\r\n\r\nwrong"


async def second_on_a_kept_connection(reaction, verb="POST", **options):
    """Sends `id-1`, answered normally, and then `id-2`, which `reaction` answers on the same connection.

    Returns the client of `id-2` with its answer, the upstream, and the number of kept connections.
    """

    async def script(received, writer):
        if received["attempt-id"] == "id-1":
            writer.write(whole(received, b"first"))
            return True
        return await reaction(received, writer)

    upstream = Upstream("i-1", script)
    routes = configuration(
        route(**{"route_class": "unsafe", "max_attempts": 3, "timeout_ms": 1000} | options)
    )
    async with sidecar(routes, upstream) as plane:
        pool = plane.services["lm"]
        pool.connections.idle.settle_time = 0
        first = await Client().open(plane)
        first.send(request(name="id-1"))
        assert await first.head() == 200 and await first.body() == b"first"
        client = await Client().open(plane)
        client.send(request(name="id-2").replace(b"POST", verb.encode(), 1))
        await client.head()
        client.text = b"" if verb == "HEAD" else await body_or_cut(client)
        assert upstream.connections == 1
        return client, upstream, len(pool.connections.idle)


async def body_or_cut(client):
    """The body, or None if the connection ends before it is complete."""
    try:
        return await client.body()
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


@pytest.mark.parametrize(
    "surplus_answer",
    [
        REFUSAL,
        FAILURE,
        REFUSAL.replace(b"503 Busy", b"421 Misdirected"),
        REFUSAL.replace(b"503", b"429"),
        REFUSAL.replace(b"503", b"400"),
    ],
)
def test_a_failure_without_an_id_on_a_kept_connection_is_not_returned(surplus_answer):
    async def reaction(received, writer):
        writer.write(surplus_answer)

    client, upstream, kept = asyncio.run(second_on_a_kept_connection(reaction))
    assert (client.status, client.text) == (502, b"") and "server-seal" not in client.headers
    assert len(upstream.requests) == 2 and kept == 0


@pytest.mark.parametrize("ids", [(b"id-2", b"id-1"), (b"id-1", b"id-2")])
def test_an_answer_with_two_ids_is_treated_like_one_without(ids):
    async def reaction(received, writer):
        both = b"".join(b"Attempt-Id: %s\r\n" % one for one in ids)
        writer.write(b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n" + both + b"Content-Length: 0\r\n\r\n")

    client, _, _ = asyncio.run(second_on_a_kept_connection(reaction))
    assert client.status == 502


def test_a_failure_without_an_id_is_accepted_on_a_new_connection():
    async def scenario():
        async def refuses(received, writer):
            writer.write(REFUSAL)

        async with sidecar(configuration(route(route_class="unsafe")), Upstream("i-1", refuses)) as plane:
            client = await Client().open(plane)
            client.send(request())
            assert await client.head() == 503 and float(client.headers["retry-after"]) > 0

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "surplus_answer",
    [
        head(EARLIER, Connection="close") + b"first",
        head(EARLIER, 503, None, Not_Executed=1, Connection="close"),
        head(EARLIER, 500, Connection="close") + b"wrong",
    ],
)
def test_a_surplus_answer_that_ends_with_the_connection_is_not_returned(surplus_answer):
    async def reaction(received, writer):
        writer.write(surplus_answer)
        await writer.drain()
        writer.write_eof()
        return False

    client, upstream, _ = asyncio.run(second_on_a_kept_connection(reaction))
    assert (client.status, client.text) == (502, b"") and len(upstream.requests) == 2


def test_a_surplus_answer_that_is_incomplete_at_the_deadline_is_not_returned():
    async def reaction(received, writer):
        writer.write(streaming(EARLIER) + chunk(events(1)))
        await writer.drain()
        await asyncio.Event().wait()

    client, _, _ = asyncio.run(second_on_a_kept_connection(reaction, timeout_ms=300))
    assert (client.status, client.text) == (502, b"")


@pytest.mark.parametrize(
    "surplus_answer", [whole(EARLIER, b"x" * 200_000), streaming(EARLIER) + chunk(b"x" * 200_000) + LAST]
)
def test_after_a_long_surplus_answer_the_requested_one_is_returned(surplus_answer):
    async def reaction(received, writer):
        writer.write(surplus_answer + whole(received, b"second"))

    client, _, kept = asyncio.run(second_on_a_kept_connection(reaction))
    assert (client.status, client.text) == (200, b"second") and kept == 1


def test_after_a_surplus_answer_a_response_to_head_has_no_body():
    async def reaction(received, writer):
        writer.write(whole(EARLIER, b"first") + head(received, Content_Length=1000))

    client, _, _ = asyncio.run(second_on_a_kept_connection(reaction, verb="HEAD"))
    assert client.status == 200 and client.headers["content-length"] == "1000"


def test_not_modified_without_an_id_on_a_kept_connection_is_not_returned():
    async def reaction(received, writer):
        writer.write(b"HTTP/1.1 304 Not Modified\r\n\r\n")

    client, _, _ = asyncio.run(second_on_a_kept_connection(reaction))
    assert client.status == 502


@pytest.mark.parametrize("status", [500, 502, 504])
def test_not_executed_is_ignored_with_other_failure_statuses(status):
    async def reaction(received, writer):
        writer.write(whole(received, b"wrong", status, Not_Executed=1))

    client, upstream, _ = asyncio.run(second_on_a_kept_connection(reaction))
    assert client.status == status and len(upstream.requests) == 2
