"""Stand-in clients: they resolve addresses, keep or open connections and retry as PROTOCOL says."""

import asyncio
import json
from random import Random

from shedgrade.engines import content
from shedgrade.lab.system import history
from shedgrade.lab.system.calls import FAILURES, call
from shedgrade.lab.system.history import ClientRequest, History, Kind, Try
from shedgrade.lab.system.link import ClientConnection

MAX_REGISTRIES_ASKED = 3
STALE_TTL_FACTOR = 3  # some clients keep a resolution for this multiple of its time to live
CONNECT_TIMEOUT_S = 1.0
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))  # promise that the request did not run
FINAL_STATUSES = frozenset((400, 401, 404, 413, 431))  # forbid a retry
FAILED_ADDRESS_SKIP_S = 5.0
RETRY_PAUSE_S = 0.02  # s before a retry without Retry-After
MIN_STREAM_SILENCE_S = 2.0  # least s without data after which a stream is given up
KEPT_CONNECTION_SHARE = 0.7  # share of the first tries that use a kept connection, if there is one


class Clients:
    """The clients of one zone.

    registries: addresses of the directory, nearest first
    observed: the history to which requests and tries are added
    clock: returns the time, s
    ttl_max: longest time to live that is accepted for a resolution, s
    """

    def __init__(
        self,
        zone: str,
        region: str,
        registries: list[str],
        observed: History,
        random: Random,
        clock,
        ttl_max: float,
    ) -> None:
        self.zone, self.region, self.registries = zone, region, registries
        self.history, self.random, self.clock, self.ttl_max = observed, random, clock, ttl_max
        self.addresses: list[str] = []
        self.addresses_valid_until = 0.0
        self.resolving: asyncio.Task | None = None
        self.skipped_until: dict[str, float] = {}
        self.kept_connections: dict[str, list[ClientConnection]] = {}
        self.keeps_stale = random.random() < 0.2

    # --- address resolution

    async def resolve(self, host: str) -> None:
        """Refreshes expired addresses, with one call for all requests that wait for it.

        Waits for the call only if there are no addresses; old ones stay in use until a registry answers.
        """
        if self.clock() < self.addresses_valid_until:
            return
        if self.resolving is None or self.resolving.done():
            self.resolving = asyncio.get_running_loop().create_task(self.query_registries(host))
        if not self.addresses:
            await asyncio.shield(self.resolving)

    async def query_registries(self, host: str) -> None:
        path = f"/resolution?name={host}&region={self.region}&zone={self.zone}"
        for registry in self.registries[:MAX_REGISTRIES_ASKED]:
            try:
                answer = await call(registry, "GET", path, timeout=1.0)
                resolution = json.loads(answer.body) if answer.status == 200 else {}
                addresses, ttl = list(resolution["addressList"]), float(resolution["ttlS"])
            except (*FAILURES, ValueError, KeyError, TypeError):
                continue
            self.addresses = addresses
            lifetime = min(ttl, self.ttl_max) * (STALE_TTL_FACTOR if self.keeps_stale else 1)
            self.addresses_valid_until = self.clock() + lifetime
            for address in [known for known in self.kept_connections if known not in addresses]:
                for link in self.kept_connections.pop(address):
                    link.close()
            return

    def choose(self) -> str | None:
        now = self.clock()
        usable = [address for address in self.addresses if self.skipped_until.get(address, 0.0) <= now]
        return self.random.choice(usable or self.addresses) if self.addresses else None

    # --- one request

    async def send_with_retries(self, number: int, kind: Kind) -> ClientRequest:
        """Sends a request and its retries until it is served or refused for good, or its deadline passes."""
        now = self.clock()
        request = ClientRequest(number, kind, self.zone, now)
        self.history.requests.append(request)
        deadline, last_event = now + kind.deadline_ms / 1000, 0
        for try_number in range(1 + kind.retries):
            if deadline - self.clock() < 0.01:
                break
            await self.resolve(kind.host)
            client_try = await self.try_once(request, try_number, deadline, last_event)
            if client_try is None:
                await asyncio.sleep(min(RETRY_PAUSE_S * 5, max(0.0, deadline - self.clock())))
                continue
            if client_try.events:
                last_event = client_try.events[-1][0]
                request.first_at = request.first_at or client_try.first_at
            if client_try.success:
                request.outcome, request.first_at = "served", request.first_at or client_try.first_at
                break
            if not self.may_retry(client_try):
                break
            wait = (
                RETRY_PAUSE_S
                if client_try.retry_after is None
                else min(client_try.retry_after, (deadline - self.clock()) / 3)
            )
            await asyncio.sleep(max(0.0, min(wait, deadline - self.clock())))
        request.ended_at = self.clock()
        if not request.outcome:
            request.outcome = (
                "refused" if request.tries and request.tries[-1].status in NOT_EXECUTED_STATUSES else "failed"
            )
        return request

    def may_retry(self, client_try: Try) -> bool:
        """Returns whether another try may follow this one."""
        if client_try.status in FINAL_STATUSES and client_try.whole:
            return False
        return (
            client_try.kind.idempotent
            or (client_try.whole and client_try.status in NOT_EXECUTED_STATUSES)
            or (client_try.failure == history.UNCONNECTED)
        )

    async def try_once(
        self, request: ClientRequest, try_number: int, deadline: float, last_event: int
    ) -> Try | None:
        """Makes one try; returns None if there is no address to send it to."""
        kind, random = request.kind, self.random
        address = self.choose()
        if address is None:
            return None
        target, body = f"{kind.prefix}{request.number:x}", f"prompt {request.number}".encode()
        client_try = Try(
            f"{random.getrandbits(64):016x}",
            request.number,
            kind,
            target,
            content.digest(b"POST", target.encode(), body),
            self.zone,
            self.region,
            address,
            self.clock(),
            last_event_before=last_event,
        )
        request.tries.append(client_try)
        self.history.tries[client_try.attempt] = client_try
        connection = (
            self.take_kept(address) if try_number == 0 and random.random() < KEPT_CONNECTION_SHARE else None
        )
        if connection is None:
            connection = await self.connect(address)
        if connection is None:
            client_try.failure, client_try.ended_at = history.UNCONNECTED, self.clock()
            self.skipped_until[address] = self.clock() + FAILED_ADDRESS_SKIP_S
            return client_try
        silence = (
            max(MIN_STREAM_SILENCE_S, 4 * kind.target_ms / 1000, 8 * kind.gap_ms / 1000)
            if kind.streams
            else (float("inf"))
        )
        time_left = deadline - self.clock()
        await connection.exchange(client_try, self.request(client_try, body, time_left), deadline, silence)
        client_try.ended_at = self.clock()
        if client_try.failure:
            self.skipped_until[address] = self.clock() + FAILED_ADDRESS_SKIP_S
        self.keep_or_close(address, connection)
        return client_try

    def request(self, client_try: Try, body: bytes, time_left: float) -> bytes:
        kind = client_try.kind
        lines = [
            f"POST {client_try.target} HTTP/1.1",
            f"Host: {kind.host}",
            f"Attempt-Id: {client_try.attempt}",
            f"Time-Remaining: {max(1, int(time_left * 1000))}",
            f"Content-Length: {len(body)}",
        ]
        if kind.streams:
            tokens = sum(count for _, count in kind.shared_prompt) + kind.own_tokens
            parts = [*kind.shared_prompt, (f"{client_try.request:08x}", kind.own_tokens)]
            lines += [
                "Model-Name: m",
                f"Token-Usage: {tokens},{kind.answer_tokens}",
                "Prompt-Prefix: " + ",".join(f"{name}:{count}" for name, count in parts),
            ]
        if client_try.last_event_before:
            lines.append(f"Last-Event-Id: {client_try.last_event_before}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    # --- connections

    def take_kept(self, address: str) -> ClientConnection | None:
        connections = self.kept_connections.get(address, [])
        while connections:
            connection = connections.pop()
            if connection.usable(self.clock()):
                return connection
            connection.close()
        return None

    async def connect(self, address: str) -> ClientConnection | None:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                loop = asyncio.get_running_loop()
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self.clock, self.history.stray), host, int(port)
                )
        except OSError:
            return None
        return connection

    def keep_or_close(self, address: str, connection: ClientConnection) -> None:
        if connection.usable(self.clock()) and address in self.addresses:
            self.kept_connections.setdefault(address, []).append(connection)
        else:
            connection.close()

    def close(self) -> None:
        if self.resolving is not None:
            self.resolving.cancel()
        for connections in self.kept_connections.values():
            for connection in connections:
                connection.close()
