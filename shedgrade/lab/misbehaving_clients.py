"""Clients that send invalid requests, which a sidecar must answer with an error or a close within 3 s."""

import asyncio
from collections.abc import Callable
from random import Random

RESPONSE_LIMIT_S = 3.0  # from connecting, the limit that the platform states


def valid_request(name: str, method: str, *headers: str, length: object = 0, target: str = "") -> bytes:
    """A well-formed request, apart from the parts that the caller replaces."""
    lines = [
        f"POST {target or '/' + method} HTTP/1.1",
        "Host: lab",
        f"X-Request-ID: {name}",
        "X-Timeout-Ms: 900",
        *headers,
        f"Content-Length: {length}",
        "",
        "",
    ]
    return "\r\n".join(lines).encode()


KINDS: dict[str, Callable[[str, str], bytes]] = {
    "noise": lambda name, method: b"\x00\xff\x13nonsense\r\n\r\n",
    "endless head": lambda name, method: valid_request(
        name, method, *(f"X-{n}: {'h' * 900}" for n in range(100))
    ),
    "negative length": lambda name, method: valid_request(name, method, length=-5),
    "huge length": lambda name, method: valid_request(name, method, length=60_000_000),
    "two lengths": lambda name, method: valid_request(name, method, "Content-Length: 4"),
    "both framings": lambda name, method: (
        valid_request(name, method, "Transfer-Encoding: chunked") + b"0\r\n\r\n"
    ),
    "no such method": lambda name, method: valid_request(name, method, target="/no-such-method-here"),
    "senseless deadline": lambda name, method: valid_request(name, method).replace(b"900", b"soon"),
    "no id": lambda name, method: valid_request(name, method).replace(
        b"X-Request-ID: " + name.encode() + b"\r\n", b""
    ),
    "half a request": lambda name, method: valid_request(name, method, length=10) + b"half",
    "silence": lambda name, method: b"",
}


class MisbehavingClients:
    """Runs misbehaving clients at a mean rate per second, each of a random kind, with one record for each."""

    def __init__(
        self,
        clock: Callable[[], float],
        address: tuple[str, int],
        method: str,
        rate: float,
        length: float,
        seed: int,
        record: Callable[[dict], None],
    ) -> None:
        self.now, self.address, self.method, self.rate, self.length = clock, address, method, rate, length
        self.rng, self.record = Random(f"{seed}/rude"), record
        self.tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        number, kinds = 0, list(KINDS)
        while self.now() < self.length:
            task = asyncio.create_task(self.run_client(self.rng.choice(kinds), f"bad{number}"))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            number += 1
            await asyncio.sleep(self.rng.expovariate(self.rate))
        await asyncio.gather(*self.tasks)

    async def run_client(self, kind: str, name: str) -> None:
        started, how, writer = self.now(), "neither", None
        try:
            async with asyncio.timeout(RESPONSE_LIMIT_S + 1):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(KINDS[kind](name, self.method))
                line = await reader.readline()
                how = line.split(b" ")[1].decode() if line.startswith(b"HTTP/1.1 ") else "closed"
        except (OSError, IndexError):
            how = "closed"
        except TimeoutError:
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
        self.record(
            {
                "k": "bad",
                "kind": kind,
                "how": how,
                "at": round(started, 6),
                "took": round(self.now() - started, 6),
                "id": name,
            }
        )
