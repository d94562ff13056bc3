"""Polls the platform for its list of endpoints, for the one core member that holds this role.

Source: the operators' PROTOCOL, "Service discovery": the list comes in pages over HTTP, at a rate that all
processes share; a call beyond it is answered 429.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any
from urllib.parse import quote

import orjson

from shedgrade.controlplane.endpoint_list import EndpointList, PlatformEntry
from shedgrade.http.endpoint_discovery import DiscoveryConnection, ListError
from shedgrade.process_settings import CloudApi
from shedgrade.runtime.log import logger

PERIOD_S = 0.4  # from the start of one list to the next
IDLE_TIMEOUT_S = 1.0  # without a byte, or a connection, after which the platform counts as silent
ANSWER_TIMEOUT_S = 4.0  # within which an answer must be complete, however slowly it comes
RATE_SHARE = 0.8  # of the platform's rate that is used at the most: others may call it too
MAX_PAGES = 1000  # that one list may have
MAX_SKIPPED_NUMBERS = 2**20  # of versions that a new poller leaves out
PAGE_ATTEMPTS = 3  # of one page that is rejected for the rate
MIN_RETRY_PAUSE_S = 0.25  # before a page that was rejected is asked for again
FIRST_BACKOFF_S = 0.1  # before the next list after a failure; doubled with each further one
MAX_BACKOFF_S = 1.0
PATH = b"/instances"


class RateError(Exception):
    """The platform takes no more calls for now."""


class Poller:
    """Keeps an `EndpointList` up to date, for as long as this process holds the role. One list replaces
    another only when all its pages came; what fails changes nothing.

    task: that polls; None while stopped. connection: to the platform; None while there is none. api, host:
    whom to call. call_gap_s: between two calls. call_count: since the start of the process.
    consecutive_failures: newest lists in a row that did not come.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        cloud_api: CloudApi,
        endpoint_list: EndpointList,
        on_poll: Callable[[bool], None],
        *,
        period_s: float = PERIOD_S,
        random: Random | None = None,
        connection_type: type[DiscoveryConnection] = DiscoveryConnection,
    ) -> None:
        """`random`: seeded anew at each start. `on_poll` is called after each complete list, with whether it
        changed. `period_s`: from the start of one list to the next; longer where its pages would exceed the
        rate.
        """
        self.loop = loop
        self.endpoint_list = endpoint_list
        self.on_poll = on_poll
        self.period_s = period_s
        self.random = random or Random()
        self.connection_type = connection_type
        self.task: asyncio.Task[None] | None = None
        self.connection: DiscoveryConnection | None = None
        self.consecutive_failures = 0
        self.call_count = 0
        self.host = b""
        self.retarget(cloud_api)

    def retarget(self, cloud_api: CloudApi) -> None:
        """The settings were read anew; they hold from the next call on."""
        self.api = cloud_api
        host = "{}:{}".format(*cloud_api.address).encode()
        if self.connection is not None and host != self.host:
            abort(self.connection)
        self.host = host
        self.call_gap_s = 1 / (RATE_SHARE * cloud_api.rate_per_s)

    def start(self, term: int | None = None) -> None:
        """`term`: of the role; the list's version has it, and its numbers leap by chance.

        Guards against two lists of one version: when all core members start anew, so may the terms, and edges
        still have what was given that version before.
        """
        if term is not None:
            self.endpoint_list.begin_term(term, self.random.randrange(MAX_SKIPPED_NUMBERS))
        if self.task is None:
            self.task = self.loop.create_task(self.run())

    def stop(self) -> None:
        """This process does not hold the role any more."""
        if self.task is not None:
            self.task.cancel()
            self.task = None
        self.endpoint_list.end_term()
        self.drop_connection()

    def drop_connection(self) -> None:
        """Closes the connection to the platform at once; the next call opens another."""
        if self.connection is not None:
            abort(self.connection)
            self.connection = None

    async def poll_once(self) -> bool:
        """One list, asked for whoever holds the role; returns whether it came. For a poller that is not
        started.

        Guards against a system that comes back as a whole and would wait for an election before it knows an
        upstream: what is seen so has a lower version than all that the role's holder says.
        """
        started_at = self.loop.time()
        try:
            entries = await self.fetch_list()
        except (OSError, ListError, RateError) as error:  # a TimeoutError is an OSError
            logger.info("first endpoint list poll failed", error=repr(error))
            return False
        finally:
            self.drop_connection()
        if self.endpoint_list.confirmed_at is not None:
            return False  # the role was acquired meanwhile, or another member sent its list
        self.endpoint_list.apply_poll(self.loop.time(), entries, started_at)
        return True

    async def run(self) -> None:
        """Polls until it is cancelled."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            started_at = self.loop.time()
            calls_before = self.call_count
            try:
                entries = await self.fetch_list()
                has_changed = self.endpoint_list.apply_poll(self.loop.time(), entries, started_at)
                self.on_poll(has_changed)
            except Exception as error:
                # A fault of our own is met like the platform's: the role goes on, the next list is complete.
                self.record_failure(error)
                await asyncio.sleep(backoff_s * self.random.uniform(0.5, 1.0))
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
                continue
            if self.consecutive_failures:
                logger.info("endpoint list poll recovered", failures=self.consecutive_failures)
            self.consecutive_failures = 0
            backoff_s = FIRST_BACKOFF_S
            spacing_s = max(self.period_s, (self.call_count - calls_before) * self.call_gap_s)
            await asyncio.sleep(max(0.0, started_at + spacing_s - self.loop.time()))

    def record_failure(self, error: Exception) -> None:
        """A list did not come: logged once an outage."""
        if not isinstance(error, RateError):
            self.drop_connection()
        if not self.consecutive_failures:
            logger.warning("endpoint list poll failed", error=repr(error))
        self.consecutive_failures += 1

    async def fetch_list(self) -> list[PlatformEntry]:
        """The entries of all pages. ListError, OSError, TimeoutError or RateError if one does not come."""
        entries: list[PlatformEntry] = []
        token: str | None = None
        tokens_seen: set[str] = set()
        while True:
            message = await self.fetch_page(token)
            if not isinstance(message, dict) or not isinstance(message.get("instanceList"), list):
                raise ListError("the answer holds no list")
            entries += message["instanceList"]
            token = message.get("nextToken")
            if token is None or token == "":
                return entries
            # Guards against pages that lead in a circle.
            if not isinstance(token, str) or token in tokens_seen or len(tokens_seen) >= MAX_PAGES:
                raise ListError(f"nextToken {token!r:.60}")
            tokens_seen.add(token)
            await asyncio.sleep(self.call_gap_s)

    async def fetch_page(self, token: str | None) -> Any:
        """A page's JSON, not yet checked; `token` names the page, None: the first. Errors as `fetch_list`."""
        target = PATH if token is None else PATH + b"?pageToken=" + quote(token, safe="").encode()
        for attempt in range(1, PAGE_ATTEMPTS + 1):
            status, body = await self.call(target)
            if status == 200:
                try:
                    return orjson.loads(body)
                except orjson.JSONDecodeError as error:
                    raise ListError(f"not JSON ({error})") from error
            if status != 429:
                raise ListError(f"status {status}")
            pause_s = attempt * max(MIN_RETRY_PAUSE_S, 4 * self.call_gap_s)
            await asyncio.sleep(pause_s * self.random.uniform(0.5, 1.0))
        raise RateError("429")

    async def call(self, target: bytes) -> tuple[int, bytes]:
        """Status and body. TimeoutError if the answer does not begin in time, falls silent, or never ends."""
        self.call_count += 1
        connection = await self.connect()
        answered: asyncio.Future[tuple[int, bytes]] = self.loop.create_future()
        connection.call(target, self.host, answered)
        asked_at = self.loop.time()
        try:
            while not answered.done():
                idle_until = (connection.heard or asked_at) + IDLE_TIMEOUT_S
                left_s = min(idle_until, asked_at + ANSWER_TIMEOUT_S) - self.loop.time()
                if left_s <= 0:
                    raise TimeoutError("the platform is silent")
                await asyncio.wait((answered,), timeout=left_s)
            return answered.result()
        finally:
            answered.cancel()

    async def connect(self) -> DiscoveryConnection:
        """The connection, opened if there is none that lives. TimeoutError or OSError if it can't be."""
        if self.connection is None or not is_open(self.connection):
            self.connection = None
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                _, self.connection = await self.loop.create_connection(
                    self.connection_type, *self.api.address
                )
        return self.connection


def is_open(connection: DiscoveryConnection) -> bool:
    """Whether a call can be sent on it."""
    return connection.transport is not None and not connection.transport.is_closing()


def abort(connection: DiscoveryConnection) -> None:
    """Closes it at once; a call under way fails."""
    if connection.transport is not None:
        connection.transport.abort()
