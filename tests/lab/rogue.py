"""A sidecar that breaks one rule after the other, so that the judge can be tested on real sockets."""

import asyncio
import itertools
import json
import os

VIOLATIONS = ("none", "lose", "twice", "invent", "mute", "after", "refuse")


async def head_and_body(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    length = [
        int(line.split(b":")[1]) for line in head.lower().split(b"\r\n") if line.startswith(b"content-length")
    ]
    return head, await reader.readexactly(length[0] if length else 0)


async def forward(address, raw):
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(raw)
    try:
        head, body = await head_and_body(reader)
        return body
    finally:
        writer.close()


async def main():
    with open(os.environ["GW_CONFIG"]) as file:
        config = json.load(file)
    upstreams = [instance["hostPort"] for instance in config["known"]["instances"]]
    turn = itertools.count()

    async def serve(reader, writer):
        try:
            while True:
                head, body = await head_and_body(reader)
                if head.startswith(b"GET /up"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                raw, number = head + body, next(turn)
                violation = VIOLATIONS[number % len(VIOLATIONS)]
                answer, status = b"", b"200 OK"
                if violation == "invent":
                    answer = b"all is well"
                elif violation != "mute":
                    answer = await forward(upstreams[number % len(upstreams)], raw)
                if violation == "lose":
                    break
                if violation == "twice":
                    answer = await forward(upstreams[(number + 1) % len(upstreams)], raw)
                if violation == "refuse":
                    status, answer = b"503 Busy", b""
                if violation != "mute":
                    writer.write(
                        b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(answer), answer)
                    )
                if violation == "after":
                    await asyncio.sleep(0.4)
                    await forward(upstreams[number % len(upstreams)], raw)
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()

    host, port = config["listen"].split(":")
    async with await asyncio.start_server(serve, host, int(port)) as server:
        await server.serve_forever()


asyncio.run(main())
