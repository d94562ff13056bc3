"""Polls the platform for its list of endpoints; runs on the one core member that holds this role.

Source: the operators' PROTOCOL, "Service discovery": the list comes in pages over HTTP. All processes share a
rate limit; the platform rejects calls beyond it with 429.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any
from urllib.parse import quote

import orjson

from shedgrade.controlplane.endpoint_list import EndpointList, PlatformEntry
from shedgrade.http.discovery_connection import DiscoveryConnection, ListError
from shedgrade.process_settings import CloudApi
from shedgrade.runtime.log import logger

PERIOD_S = 0.4  # from the start of one list to the next
IDLE_TIMEOUT_S = 1.0  # time limit for a connection, and for the next byte of a response
RESPONSE_TIMEOUT_S = 4.0  # time limit for a complete response, even if bytes keep arriving
RATE_SHARE = 0.8  # maximum share of the platform's rate limit that is used: others may call it too
MAX_PAGES = 1000  # of one list
MAX_SKIPPED_NUMBERS = 2**20  # upper limit of the version numbers that a new poller leaves out
PAGE_ATTEMPTS = 3  # for one page while it is rejected with 429
MIN_RETRY_PAUSE_S = 0.25  # before a rejected page is requested again
FIRST_BACKOFF_S = 0.1  # before the next list after a failure; doubled with each further one
MAX_BACKOFF_S = 1.0
PATH = b"/instances"


class RateError(Exception):
    """The platform rejects calls because of its rate limit."""


class Poller:
    """Keeps an `EndpointList` current while this process holds the role. A list replaces the one before only
    if all of its pages arrived; a failed poll changes nothing.

    Attributes:
        task: the polling task; None while stopped.
        connection: connection to the platform; None while there is none.
        api: settings of the platform's API.
        host: value of the Host header.
        call_gap_s: time between two calls.
        call_count: calls since the start of the process.
        consecutive_failures: failed polls since the last success.
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
        """Creates a stopped poller.

        Args:
            loop: the event loop.
            cloud_api: settings of the platform's API.
            endpoint_list: the list to keep current.
            on_poll: called after each complete list with whether the list changed.
            period_s: time from the start of one list to the next; longer if its pages would exceed the rate.
            random: source of jitter and skipped numbers; must have another seed at each start.
            connection_type: class of the connection to the platform.
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
        """Applies reloaded settings from the next call on."""
        self.api = cloud_api
        host = "{}:{}".format(*cloud_api.address).encode()
        if self.connection is not None and host != self.host:
            abort(self.connection)
        self.host = host
        self.call_gap_s = 1 / (RATE_SHARE * cloud_api.rate_per_s)

    def start(self, term: int | None = None) -> None:
        """Starts polling. `term`: of the role; the list's version gets it, and skips a random count of
        numbers.

        Guards against two different lists of the same version: if all core members restart, the terms may
        start again, while edges still hold lists with versions given before.
        """
        if term is not None:
            self.endpoint_list.begin_term(term, self.random.randrange(MAX_SKIPPED_NUMBERS))
        if self.task is None:
            self.task = self.loop.create_task(self.run())

    def stop(self) -> None:
        """Stops polling, because this process no longer holds the role."""
        if self.task is not None:
            self.task.cancel()
            self.task = None
        self.endpoint_list.end_term()
        self.drop_connection()

    def drop_connection(self) -> None:
        """Closes the connection to the platform at once; the next call opens a new one."""
        if self.connection is not None:
            abort(self.connection)
            self.connection = None

    async def poll_once(self) -> bool:
        """Polls one list, whoever holds the role. Returns whether it was applied. Only for a poller that is
        not started.

        Guards against a system that restarts as a whole and would know no upstream until an election is over.
        The list applied here has a lower version than any list of the role's holder.
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
            return False  # this process acquired the role meanwhile, or another member sent its list
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
                # An internal fault is handled like one of the platform: polling goes on with the next list.
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
        """Counts a failed poll and logs the first of an outage."""
        if not isinstance(error, RateError):
            self.drop_connection()
        if not self.consecutive_failures:
            logger.warning("endpoint list poll failed", error=repr(error))
        self.consecutive_failures += 1

    async def fetch_list(self) -> list[PlatformEntry]:
        """The entries of all pages. Raises ListError, OSError, TimeoutError or RateError if a page fails."""
        entries: list[PlatformEntry] = []
        token: str | None = None
        tokens_seen: set[str] = set()
        while True:
            message = await self.fetch_page(token)
            if not isinstance(message, dict) or not isinstance(message.get("instanceList"), list):
                raise ListError("the response has no instanceList")
            entries += message["instanceList"]
            token = message.get("nextToken")
            if token is None or token == "":
                return entries
            # Guards against pages that form a cycle.
            if not isinstance(token, str) or token in tokens_seen or len(tokens_seen) >= MAX_PAGES:
                raise ListError(f"invalid nextToken {token!r:.60}")
            tokens_seen.add(token)
            await asyncio.sleep(self.call_gap_s)

    async def fetch_page(self, token: str | None) -> Any:
        """The JSON of a page, not yet validated. `token`: of the page; None: the first page. Raises as
        `fetch_list`."""
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
        """Status and body of the response. Raises TimeoutError if the response does not begin in time,
        stalls, or does not end in time."""
        self.call_count += 1
        connection = await self.connect()
        response: asyncio.Future[tuple[int, bytes]] = self.loop.create_future()
        connection.call(target, self.host, response)
        sent_at = self.loop.time()
        try:
            while not response.done():
                idle_deadline = (connection.last_received_at or sent_at) + IDLE_TIMEOUT_S
                remaining_s = min(idle_deadline, sent_at + RESPONSE_TIMEOUT_S) - self.loop.time()
                if remaining_s <= 0:
                    raise TimeoutError("the platform did not respond in time")
                await asyncio.wait((response,), timeout=remaining_s)
            return response.result()
        finally:
            response.cancel()

    async def connect(self) -> DiscoveryConnection:
        """The open connection, a new one if necessary. Raises TimeoutError or OSError if it can't open."""
        if self.connection is None or not is_open(self.connection):
            self.connection = None
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                _, self.connection = await self.loop.create_connection(
                    self.connection_type, *self.api.address
                )
        return self.connection


def is_open(connection: DiscoveryConnection) -> bool:
    """Whether a call can be sent on the connection."""
    return connection.transport is not None and not connection.transport.is_closing()


def abort(connection: DiscoveryConnection) -> None:
    """Closes the connection at once; a call in progress fails."""
    if connection.transport is not None:
        connection.transport.abort()
