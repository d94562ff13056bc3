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
    told: the history to which requests and tries are added
    clock: returns the time, s
    ttl_max: longest time to live that is accepted for a resolution, s
    """

    def __init__(
        self,
        zone: str,
        region: str,
        registries: list[str],
        told: History,
        random: Random,
        clock,
        ttl_max: float,
    ) -> None:
        self.zone, self.region, self.registries = zone, region, registries
        self.history, self.random, self.clock, self.ttl_max = told, random, clock, ttl_max
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
                told = json.loads(answer.body) if answer.status == 200 else {}
                addresses, ttl = list(told["addressList"]), float(told["ttlS"])
            except (*FAILURES, ValueError, KeyError, TypeError):
                continue
            self.addresses = addresses
            held = min(ttl, self.ttl_max) * (STALE_TTL_FACTOR if self.keeps_stale else 1)
            self.addresses_valid_until = self.clock() + held
            for address in [one for one in self.kept_connections if one not in addresses]:
                for link in self.kept_connections.pop(address):
                    link.close()
            return

    def choose(self) -> str | None:
        now = self.clock()
        well = [one for one in self.addresses if self.skipped_until.get(one, 0.0) <= now]
        return self.random.choice(well or self.addresses) if self.addresses else None

    # --- one request

    async def play(self, number: int, kind: Kind) -> ClientRequest:
        """Sends a request and its retries until it is served or refused for good, or its deadline passes."""
        now = self.clock()
        asked = ClientRequest(number, kind, self.zone, now)
        self.history.requests.append(asked)
        until, after = now + kind.deadline_ms / 1000, 0
        for turn in range(1 + kind.retries):
            if until - self.clock() < 0.01:
                break
            await self.resolve(kind.host)
            one = await self.try_once(asked, turn, until, after)
            if one is None:
                await asyncio.sleep(min(RETRY_PAUSE_S * 5, max(0.0, until - self.clock())))
                continue
            if one.events:
                after = one.events[-1][0]
                asked.first_at = asked.first_at or one.first_at
            if one.success:
                asked.outcome, asked.first_at = "served", asked.first_at or one.first_at
                break
            if not self.may_retry(one):
                break
            wait = (
                RETRY_PAUSE_S if one.retry_after is None else min(one.retry_after, (until - self.clock()) / 3)
            )
            await asyncio.sleep(max(0.0, min(wait, until - self.clock())))
        asked.ended_at = self.clock()
        if not asked.outcome:
            asked.outcome = (
                "refused" if asked.tries and asked.tries[-1].status in NOT_EXECUTED_STATUSES else "failed"
            )
        return asked

    def may_retry(self, one: Try) -> bool:
        """Returns whether another try may follow this one."""
        if one.status in FINAL_STATUSES and one.whole:
            return False
        return (
            one.kind.idempotent
            or (one.whole and one.status in NOT_EXECUTED_STATUSES)
            or (one.failure == history.UNCONNECTED)
        )

    async def try_once(self, asked: ClientRequest, turn: int, until: float, after: int) -> Try | None:
        """Makes one try; returns None if there is no address to send it to."""
        kind, random = asked.kind, self.random
        address = self.choose()
        if address is None:
            return None
        target, body = f"{kind.prefix}{asked.number:x}", f"prompt {asked.number}".encode()
        one = Try(
            f"{random.getrandbits(64):016x}",
            asked.number,
            kind,
            target,
            content.digest(b"POST", target.encode(), body),
            self.zone,
            self.region,
            address,
            self.clock(),
            last_event_before=after,
        )
        asked.tries.append(one)
        self.history.tries[one.attempt] = one
        link = self.take_kept(address) if turn == 0 and random.random() < KEPT_CONNECTION_SHARE else None
        if link is None:
            link = await self.connect(address)
        if link is None:
            one.failure, one.ended_at = history.UNCONNECTED, self.clock()
            self.skipped_until[address] = self.clock() + FAILED_ADDRESS_SKIP_S
            return one
        silence = (
            max(MIN_STREAM_SILENCE_S, 4 * kind.target_ms / 1000, 8 * kind.gap_ms / 1000)
            if kind.streams
            else (float("inf"))
        )
        left = until - self.clock()
        await link.exchange(one, self.request(one, body, left), until, silence)
        one.ended_at = self.clock()
        if one.failure:
            self.skipped_until[address] = self.clock() + FAILED_ADDRESS_SKIP_S
        self.keep_or_close(address, link)
        return one

    def request(self, one: Try, body: bytes, left: float) -> bytes:
        kind = one.kind
        lines = [
            f"POST {one.target} HTTP/1.1",
            f"Host: {kind.host}",
            f"Attempt-Id: {one.attempt}",
            f"Time-Remaining: {max(1, int(left * 1000))}",
            f"Content-Length: {len(body)}",
        ]
        if kind.streams:
            tokens = sum(count for _, count in kind.shared_prompt) + kind.own_tokens
            parts = [*kind.shared_prompt, (f"{one.request:08x}", kind.own_tokens)]
            lines += [
                "Model-Name: m",
                f"Token-Usage: {tokens},{kind.answer_tokens}",
                "Prompt-Prefix: " + ",".join(f"{name}:{count}" for name, count in parts),
            ]
        if one.last_event_before:
            lines.append(f"Last-Event-Id: {one.last_event_before}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    # --- connections

    def take_kept(self, address: str) -> ClientConnection | None:
        links = self.kept_connections.get(address, [])
        while links:
            link = links.pop()
            if link.usable(self.clock()):
                return link
            link.close()
        return None

    async def connect(self, address: str) -> ClientConnection | None:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                loop = asyncio.get_running_loop()
                _, link = await loop.create_connection(
                    lambda: ClientConnection(self.clock, self.history.stray), host, int(port)
                )
        except OSError:
            return None
        return link

    def keep_or_close(self, address: str, link: ClientConnection) -> None:
        if link.usable(self.clock()) and address in self.addresses:
            self.kept_connections.setdefault(address, []).append(link)
        else:
            link.close()

    def close(self) -> None:
        if self.resolving is not None:
            self.resolving.cancel()
        for links in self.kept_connections.values():
            for link in links:
                link.close()
