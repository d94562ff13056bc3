"""Discovery: the list of upstreams, first as it was last known, then by one watch after another."""
import asyncio
from collections.abc import Callable
from math import inf

import httptools
import orjson
from loguru import logger

from shedgrade import decide
from shedgrade.memory.upstreams import Addresses, Indices, tenths
from shedgrade.wire.connection import Connection, MessageError

PATH = b"/discovery/hosts"
WAIT = 20_000           # ms a watch may wait: the longest that the protocol's page shows
SILENCE = 1.0           # s beyond that wait after which discovery counts as silent
FIRST_PAUSE, LONGEST_PAUSE = 0.1, 2.0   # s before the next try: a restart is met soon, an outage not hammered
LONGEST_LIST = 8 * 1024 * 1024      # bytes: tens of thousands of upstreams
STATES = {"in_service": decide.READY, "terminating": decide.DRAINING, "terminated": decide.REMOVED}


class ListError(Exception):
    """An answer that is no list of upstreams."""


class ListReader:
    """Turns what discovery says into rows for the decisions and addresses for the connections."""

    def __init__(self, settings: dict) -> None:
        self.zones = {name: number for number, name in enumerate(settings["zones"])}
        self.kinds = {name: number for number, name in enumerate(settings.get("shapes", []))}
        self.indices, self.addresses = Indices(), Addresses()
        self.told: dict[str, dict] = {}     # by id: what was last said of an upstream
        self.version: int | None = None
        self.weights_only = False           # the last change moved weights and nothing else

    def read(self, message: object) -> tuple[list, bool, list[int]]:
        """Rows, whether the list is whole, and the upstreams that are elsewhere now. All or nothing."""
        try:
            version, whole = message["generation"], message["reset"]
            if type(version) is not int or type(whole) is not bool:
                raise ListError("generation or reset has the wrong type")
            # A change says what changed; one that an upstream is gone may say no more than that.
            # Guards against a list that stands still: that an upstream drains or is gone which was never
            # known here, or was forgotten, is nothing new; lacking all else, it would be refused each time.
            told = [instance if whole else {**self.told.get(instance["instanceId"], {}), **instance}
                    for instance in message["instances"]
                    if instance["instanceId"] in self.told or "hostPort" in instance
                    or STATES[instance["lifecycle"]] == decide.READY]
            entries = [self.entry(instance) for instance in told]
        except (KeyError, OverflowError, TypeError, ValueError, AttributeError) as wrong:
            raise ListError(f"{type(wrong).__name__}: {wrong}") from wrong
        self.weights_only = not whole and bool(told) and all(
            {**instance, "weight": 0} == {**self.told.get(instance["instanceId"], {}), "weight": 0}
            for instance in told)
        rows, moved = [], []
        for instance, (row, address) in zip(told, entries, strict=True):
            self.told[row[0]] = instance
            row = self.indices.row(*row)
            rows.append(row)
            if self.addresses.move(row[0], address):
                moved.append(row[0])
        self.version = version
        return rows, whole, moved

    def forget(self, upstream: int) -> None:
        self.told.pop(self.indices.release(upstream), None)
        self.addresses.known.pop(upstream, None)

    def entry(self, instance: dict) -> tuple[tuple, tuple]:
        name, state, started = instance["instanceId"], STATES[instance["lifecycle"]], instance["startedAtMs"]
        cell, weight = instance.get("cell", 0), instance.get("weight", 1.0)
        if type(name) is not str or type(cell) is not int or not 0 <= float(weight) < inf:
            raise ListError("instanceId, cell or weight has the wrong form")
        host, colon, port = instance["hostPort"].rpartition(":")
        if not host or not 0 < int(port) < 65536:
            raise ListError(f"hostPort {instance['hostPort']!r}")
        host = host.strip("[]")
        return ((name, self.zones[instance["zone"]], state, tenths(started), cell, float(weight),
                 self.kinds.get(instance.get("machineType"), 0)), (host, int(port)))


class DiscoveryConnection(Connection):
    """One connection to discovery; one call at a time."""

    def __init__(self) -> None:
        super().__init__()
        self.answered: asyncio.Future | None = None

    def call(self, target: bytes, host: bytes, answered: asyncio.Future) -> None:
        self.answered, self.body, self.length = answered, [], 0
        self.parser = httptools.HttpResponseParser(self)
        self.write(b"GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n" % (target, host))

    def read(self) -> None:
        for part in self.incoming.parts():
            try:
                if self.answered is None:
                    raise MessageError("bytes that nobody asked for")
                self.parser.feed_data(part)
            except (httptools.HttpParserError, MessageError) as failure:
                self.fail(ListError(f"broken answer: {failure}"))
                self.transport.abort()
                break
        self.incoming.consume(len(self.incoming))

    def on_body(self, body: bytes) -> None:
        self.body.append(body)
        self.length += len(body)
        if self.length > LONGEST_LIST:
            raise MessageError("list too long")

    def on_message_complete(self) -> None:
        answered, self.answered = self.answered, None
        if not self.parser.should_keep_alive():
            self.transport.close()
        if answered is not None and not answered.done():
            answered.set_result((self.parser.get_status_code(), b"".join(self.body)))

    def fail(self, failure: Exception) -> None:
        answered, self.answered = self.answered, None
        if answered is not None and not answered.done():
            answered.set_exception(failure)

    def connection_lost(self, failure: Exception | None) -> None:
        self.fail(ConnectionError("connection lost"))


class DiscoveryWatch:
    """Keeps the list up to date for as long as the sidecar runs."""

    def __init__(self, loop, address: tuple[str, int], reader: ListReader, tell: Callable, failed: Callable,
                 span: Callable[[float, float], float]) -> None:
        self.loop, self.address, self.reader = loop, address, reader
        self.tell, self.failed, self.span = tell, failed, span
        self.host = f"{address[0]}:{address[1]}".encode()
        self.link: DiscoveryConnection | None = None

    async def run(self) -> None:
        pause, down = FIRST_PAUSE, False
        while True:
            try:
                await self.once()
            except (OSError, TimeoutError, ListError) as failure:
                if self.link is not None:
                    self.link.transport.abort()
                    self.link = None
                if not down:
                    logger.warning("discovery failed, the old list stays: {!r}", failure)
                down = True
                self.failed()
                await asyncio.sleep(pause * self.span(0.5, 1.0))
                pause = min(2 * pause, LONGEST_PAUSE)
                continue
            if down:
                logger.info("discovery answers again, generation {}", self.reader.version)
            pause, down = FIRST_PAUSE, False

    async def once(self) -> None:
        """One call; the next follows at once, so that what changes in between is told with it."""
        async with asyncio.timeout(WAIT / 1000 + SILENCE):
            if self.link is None or self.link.transport.is_closing():
                self.link = None
                _, self.link = await self.loop.create_connection(DiscoveryConnection, *self.address)
            target = PATH
            if self.reader.version is not None:
                target += b"?after=%d&wait_ms=%d" % (self.reader.version, WAIT)
            answered = self.loop.create_future()
            self.link.call(target, self.host, answered)
            status, body = await answered
        if status != 200:
            raise ListError(f"status {status}")
        try:
            message = orjson.loads(body)
        except orjson.JSONDecodeError as wrong:
            raise ListError(f"not JSON ({wrong})") from wrong
        self.tell(message)

    def close(self) -> None:
        if self.link is not None:
            self.link.transport.abort()
