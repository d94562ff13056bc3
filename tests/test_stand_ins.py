"""A stand-in that is stopped while a long request waits unread leaves no error in the event loop."""

import asyncio

import helpers
import uvloop

FIRST = b"POST /m/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
LONG = b"POST /m/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n" + bytes(4_000_000)


async def slow(head, body):
    await asyncio.sleep(0.2)
    return b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def test_a_stand_in_that_is_stopped_before_it_reads_on_leaves_no_error():
    """The reader of the stand-in is paused by then, and uvloop raises if a closed transport is resumed."""

    async def scenario():
        errors = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: errors.append(context))
        server = await helpers.Server(slow).start()
        host, port = server.address.split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(FIRST + LONG)
        await asyncio.sleep(0.1)
        server.stop()
        await asyncio.sleep(0.3)
        writer.transport.abort()
        return errors

    assert uvloop.run(scenario()) == []
