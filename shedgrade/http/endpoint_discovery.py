"""Discovery: the list of upstreams, first as it was last known, then by one watch after another."""

import asyncio
from collections.abc import Callable
from math import inf

import httptools
import orjson

from shedgrade import load_balancing
from shedgrade.http.connection import Connection
from shedgrade.http.message_grammar import ResponseError
from shedgrade.load_balancing.upstream_indices import Addresses, Indices, tenths
from shedgrade.runtime.log import logger

WATCH_PATH = b"/discovery/hosts"
WATCH_WAIT_MS = 3_000  # ms a watch may wait: what a silent one misses counts as told 6 s after it fell
# silent; before that it is noticed here, opened anew and answered, or once more
FIRST_WATCH_WAIT_MS = 100  # ms that the first call after a failure waits: its answer shows who answers
SILENCE_TIMEOUT_S = 1.0  # s beyond that wait, or behind some bytes, after which discovery counts as silent
ON_REQUEST_TIMEOUT_S = (
    3.0  # the same for the first call where lists are asked for and calls wait in turn: one
)
# that is given up sooner was served for nobody (60 sidecars, a probe: nobody was)
COMPLETE_TIMEOUT_S = 4.0  # s from its first byte within which an answer must be whole, however it drips
FIRST_BACKOFF_S, LONGEST_BACKOFF_S = 0.05, 0.25  # s before the next try: it is an agent on this machine, and
# what it gets when an outage ends counts at once, so a call should be open by then
INVALID_LISTS_BEFORE_PARTIAL = (
    3  # answers running that are no sound list, until what is sound in the last is taken
)
REJECTED_BACKOFF_S = (
    2.0  # s at the longest where calls wait in turn and it has no list: it has too much to do
)
MAX_ENTRY_LOGGED = 200  # characters
MAX_LIST_BYTES = 8 * 1024 * 1024  # bytes: tens of thousands of upstreams
STATE_BY_LIFECYCLE = {
    "in_service": load_balancing.READY,
    "terminating": load_balancing.DRAINING,
    "terminated": load_balancing.REMOVED,
}


class ListError(Exception):
    """An answer that is no list of upstreams."""


class ListReader:
    """Turns what discovery says into rows for the decisions and addresses for the connections."""

    def __init__(self, settings: dict) -> None:
        self.zones = {name: number for number, name in enumerate(settings["zones"])}
        self.kinds = {name: number for number, name in enumerate(settings.get("shapes", []))}
        self.indices, self.addresses = Indices(), Addresses()
        self.told: dict[str, dict] = {}  # by id: what was last said of an upstream
        self.version: int | None = None
        self.taken: list[dict] = []  # the entries of the last answer that were of use
        self.weights_only = False  # the last change moved weights and nothing else

    def read(self, message: object, part: bool = False) -> tuple[list, bool, list[int]]:
        """Rows, whether the list is whole, and the upstreams that are elsewhere now. All or nothing; or, with
        `part`, the entries that are sound."""
        try:
            version, whole = message["generation"], message["reset"]
            if type(version) is not int or type(whole) is not bool:
                raise ListError("generation or reset has the wrong type")
            # A change says what changed; one that an upstream is gone may say no more than that.
            # Guards against a list that stands still: that an upstream drains or is gone which was never
            # known here, or was forgotten, is nothing new; lacking all else, it would be refused each time.
            found = [
                self.sound(instance) if part else self.filled(instance, whole)
                for instance in message["instances"]
            ]
            told = [instance for instance in found if instance is not None]
            if part and found and not told:
                raise ListError("no entry is sound")
            entries = [self.entry(instance) for instance in told]
        except (KeyError, OverflowError, TypeError, ValueError, AttributeError) as wrong:
            raise ListError(f"{type(wrong).__name__}: {wrong}") from wrong
        self.weights_only = (
            not whole
            and bool(told)
            and all(
                {**instance, "weight": 0} == {**self.told.get(instance["instanceId"], {}), "weight": 0}
                for instance in told
            )
        )
        rows, moved = [], []
        for instance, (row, address) in zip(told, entries, strict=True):
            self.told[row[0]] = instance
            row = self.indices.row(*row)
            rows.append(row)
            if self.addresses.move(row[0], address):
                moved.append(row[0])
        self.version, self.taken = version, told
        return rows, whole, moved

    def filled(self, instance: dict, whole: bool) -> dict | None:
        """An entry with what was said before; None if it is of no use to anybody."""
        if whole:
            return instance
        name = instance["instanceId"]
        if (
            name in self.told
            or "hostPort" in instance
            or STATE_BY_LIFECYCLE[instance["lifecycle"]] == load_balancing.READY
        ):
            return {**self.told.get(name, {}), **instance}
        return None

    def sound(self, instance: object) -> dict | None:
        """The entry as far as it can be used. That a known upstream drains or is gone counts whatever else is
        wrong with its entry; apart from that it stays as it was."""
        try:
            before = self.told.get(instance["instanceId"], {})
            ends = (
                {**before, "lifecycle": instance["lifecycle"]}
                if STATE_BY_LIFECYCLE.get(instance.get("lifecycle"), load_balancing.READY)
                != load_balancing.READY
                else before
            )
        except (KeyError, TypeError, AttributeError):
            instance, before, ends = {}, {}, {}
        for made in ({**before, **instance}, ends):
            try:
                self.entry(made)
                return made
            except (ListError, KeyError, OverflowError, TypeError, ValueError, AttributeError):
                logger.warning("endpoint list entry rejected", entry=repr(instance)[:MAX_ENTRY_LOGGED])
        return None

    def forget(self, upstream: int) -> None:
        """An upstream is gone, with nothing in flight: its index is free."""
        self.told.pop(self.indices.release(upstream), None)
        self.addresses.known.pop(upstream, None)

    def entry(self, instance: dict) -> tuple[tuple, tuple]:
        """The row and the address of one entry. ListError, KeyError, TypeError or ValueError if it is not
        valid.
        """
        name, state, started = (
            instance["instanceId"],
            STATE_BY_LIFECYCLE[instance["lifecycle"]],
            instance["startedAtMs"],
        )
        cell, weight = instance.get("cell", 0), instance.get("weight", 1.0)
        if type(name) is not str or type(cell) is not int or not 0 <= float(weight) < inf:
            raise ListError("instanceId, cell or weight has the wrong form")
        host, colon, port = instance["hostPort"].rpartition(":")
        if not host or not 0 < int(port) < 65536:
            raise ListError(f"hostPort {instance['hostPort']!r}")
        host = host.strip("[]")
        return (
            (
                name,
                self.zones[instance["zone"]],
                state,
                tenths(started),
                cell,
                float(weight),
                self.kinds.get(instance.get("machineType"), 0),
            ),
            (host, int(port)),
        )


class DiscoveryConnection(Connection):
    """One connection to discovery; one call at a time."""

    def __init__(self) -> None:
        super().__init__()
        self.response: asyncio.Future | None = None
        self.heard: float | None = None  # when bytes of this answer last came, on the loop's clock

    def call(self, target: bytes, host: bytes, answered: asyncio.Future) -> None:
        """Sends a GET; `answered` gets (status, body), or an exception."""
        self.response, self.body, self.length, self.heard = answered, [], 0, None
        self.parser = httptools.HttpResponseParser(self)
        self.write(b"GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n" % (target, host))

    def read(self) -> None:
        """Bytes have come."""
        self.heard = asyncio.get_running_loop().time()
        for part in self.incoming.parts():
            try:
                if self.response is None:
                    raise ResponseError("bytes that nobody asked for")
                self.parser.feed_data(part)
            except (httptools.HttpParserError, ResponseError) as failure:
                self.fail(ListError(f"broken answer: {failure}"))
                self.transport.abort()
                break
        self.incoming.consume(len(self.incoming))

    def on_body(self, body: bytes) -> None:
        """A part of the body has come. ResponseError if the list is too long."""
        self.body.append(body)
        self.length += len(body)
        if self.length > MAX_LIST_BYTES:
            raise ResponseError("list too long")

    def on_message_complete(self) -> None:
        """The response is complete."""
        answered, self.response = self.response, None
        if not self.parser.should_keep_alive():
            self.transport.close()
        if answered is not None and not answered.done():
            answered.set_result((self.parser.get_status_code(), b"".join(self.body)))

    def fail(self, failure: Exception) -> None:
        """The call that is pending has failed."""
        answered, self.response = self.response, None
        if answered is not None and not answered.done():
            answered.set_exception(failure)

    def connection_lost(self, failure: Exception | None) -> None:
        """The connection is closed."""
        self.fail(ConnectionError("connection lost"))


class DiscoveryWatch:
    """Keeps the list up to date for as long as the sidecar runs."""

    def __init__(
        self,
        loop,
        address: tuple[str, int],
        reader: ListReader,
        tell: Callable,
        failed: Callable,
        span: Callable[[float, float], float],
        in_turn: bool = False,
    ) -> None:
        """`in_turn`: lists are asked for, and calls wait in turn."""
        self.loop, self.address, self.reader = loop, address, reader
        self.list_received, self.discovery_failed, self.span = tell, failed, span
        self.host = f"{address[0]}:{address[1]}".encode()
        self.link: DiscoveryConnection | None = None
        self.invalid_in_a_row = 0  # answers running that were no sound list
        self.first_timeout_s = ON_REQUEST_TIMEOUT_S if in_turn else SILENCE_TIMEOUT_S
        self.rejected_backoff_s = (
            REJECTED_BACKOFF_S if in_turn else LONGEST_BACKOFF_S
        )  # the longest pause after a "no"
        self.has_answered = False  # whoever is called here has answered since something last failed

    async def run(self) -> None:
        """Watches until it is cancelled, with a backoff after failures."""
        pause, down = FIRST_BACKOFF_S, False
        while True:
            try:
                await self.once()
            except Exception as failure:
                if self.link is not None:
                    self.link.transport.abort()
                    self.link = None
                self.has_answered = False
                if not isinstance(failure, (OSError, TimeoutError, ListError)):
                    # Guards against a fault of our own: a list that nobody follows is never heard of again.
                    # What was half taken is asked for as a whole.
                    logger.error("endpoint discovery watch failed internally", error=repr(failure))
                    self.reader.version = None
                elif not down:
                    logger.warning("endpoint discovery failed", error=repr(failure))
                down = True
                self.discovery_failed()
                await asyncio.sleep(pause * self.span(0.5, 1.0))
                pause = min(
                    2 * pause,
                    self.rejected_backoff_s if isinstance(failure, ListError) else LONGEST_BACKOFF_S,
                )
                continue
            if down:
                logger.info("endpoint discovery recovered", generation=self.reader.version)
            pause, down = FIRST_BACKOFF_S, False

    async def once(self) -> None:
        """One call; the next follows at once, so that what changes in between is told with it."""
        if self.link is None or self.link.transport.is_closing():
            self.link = None
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                _, self.link = await self.loop.create_connection(DiscoveryConnection, *self.address)
        target, wait = WATCH_PATH, 0
        if self.reader.version is not None:
            # Guards against an agent that takes calls and says nothing: it is not waited for until it has
            # answered one.
            wait = WATCH_WAIT_MS if self.has_answered else FIRST_WATCH_WAIT_MS
            target += b"?after=%d&wait_ms=%d" % (self.reader.version, wait)
        answered = self.loop.create_future()
        self.link.call(target, self.host, answered)
        status, body = await self.whole(
            answered, wait / 1000 + (SILENCE_TIMEOUT_S if self.has_answered else self.first_timeout_s)
        )
        if status != 200:
            raise ListError(f"status {status}")
        try:
            message = orjson.loads(body)
        except orjson.JSONDecodeError as wrong:
            raise ListError(f"not JSON ({wrong})") from wrong
        try:
            self.list_received(message)
        except ListError:
            # Guards against one entry that is never sound: others behind it drain, and would not be heard of.
            # What is spoilt on its way is sound when it is asked for again.
            self.invalid_in_a_row += 1
            if self.invalid_in_a_row < INVALID_LISTS_BEFORE_PARTIAL:
                raise
            self.list_received(message, part=True)
        self.invalid_in_a_row = 0
        self.has_answered = True

    async def whole(self, answered: asyncio.Future, first: float) -> tuple[int, bytes]:
        """The answer. TimeoutError if it does not begin within `first` s, falls silent, or never ends."""
        until, begun = self.loop.time() + first, None
        try:
            while not answered.done():
                heard = self.link.heard
                if heard is not None:
                    begun = heard if begun is None else begun
                    until = min(heard + SILENCE_TIMEOUT_S, begun + COMPLETE_TIMEOUT_S)
                left = until - self.loop.time()
                if left <= 0:
                    raise TimeoutError
                await asyncio.wait((answered,), timeout=left)
            return answered.result()
        finally:
            answered.cancel()

    def close(self) -> None:
        """Closes the connection."""
        if self.link is not None:
            self.link.transport.abort()
