"""Endpoint discovery: keeps the list of upstreams up to date by long polling."""

import asyncio
from collections.abc import Callable
from math import inf

import orjson

from shedgrade import load_balancing
from shedgrade.http.discovery_connection import DiscoveryConnection, ListError
from shedgrade.load_balancing.upstream_indices import UpstreamAddresses, UpstreamIndices, to_tenths_of_ms
from shedgrade.runtime.log import logger

WATCH_PATH = b"/discovery/hosts"
# How long a watch may wait. Changes that a silent watch misses count as delivered 6 s after it fell silent.
# Within that time the silence must be detected, and the watch reopened and answered, if need be twice.
WATCH_WAIT_MS = 3_000
FIRST_WATCH_WAIT_MS = 100  # the same for the first call after a failure: its response shows a working agent
SILENCE_TIMEOUT_S = 1.0  # time beyond that wait, or since the last bytes, after which it counts as silent
# Replaces SILENCE_TIMEOUT_S for the first call, also after a failure, of a service that queues calls and
# sends lists on request only. With a shorter time-out the service worked only on calls that had been given
# up: in a test with 60 sidecars, none was served.
ON_REQUEST_TIMEOUT_S = 3.0
COMPLETE_TIMEOUT_S = 4.0  # from the first byte of a response to its last, however slowly bytes come
# Backoff between attempts. The agent is on this machine, and what it learns at the end of an outage counts at
# once, so a call should be open by then.
FIRST_BACKOFF_S, LONGEST_BACKOFF_S = 0.05, 0.25
# Invalid lists in a row after which the valid entries of the last one are accepted.
INVALID_LISTS_BEFORE_PARTIAL = 3
# Longest backoff where calls wait in a queue and the service rejects them: it is overloaded.
REJECTED_BACKOFF_S = 2.0
MAX_ENTRY_LOGGED = 200  # characters
STATE_BY_LIFECYCLE = {
    "in_service": load_balancing.READY,
    "terminating": load_balancing.DRAINING,
    "terminated": load_balancing.REMOVED,
}


class ListReader:
    """Converts lists from discovery into rows for the balancer and addresses for the connection pool.

    Attributes:
        zones: number by zone name.
        kinds: number by machine type.
        indices: index by instance id.
        addresses: address by index.
        known_entries: latest entry by instance id.
        version: generation of the last list; None: the next call asks for the whole list.
        accepted_entries: the entries of the last list that were accepted.
        weights_only: the last change altered weights and nothing else.
    """

    def __init__(self, settings: dict) -> None:
        self.zones = {name: number for number, name in enumerate(settings["zones"])}
        self.kinds = {name: number for number, name in enumerate(settings.get("shapes", []))}
        self.indices, self.addresses = UpstreamIndices(), UpstreamAddresses()
        self.known_entries: dict[str, dict] = {}
        self.version: int | None = None
        self.accepted_entries: list[dict] = []
        self.weights_only = False

    def read(self, message: object, part: bool = False) -> tuple[list, bool, list[int]]:
        """Reads a list, as a whole or not at all.

        With `part`, reads the valid entries and skips the others. Returns the rows, whether the list is
        complete, and the indices of upstreams whose address has changed. Raises ListError.
        """
        try:
            version, whole = message["generation"], message["reset"]
            if type(version) is not int or type(whole) is not bool:
                raise ListError("generation or reset of the discovery response has the wrong type")
            # A change contains what changed; an entry for a removed upstream may contain nothing else.
            # Guards against a list that stops at one change: an entry that drains or removes an unknown or
            # forgotten upstream changes nothing, but is incomplete, and would be rejected each time.
            completed = [
                self.usable_entry(instance) if part else self.complete_entry(instance, whole)
                for instance in message["instances"]
            ]
            accepted = [instance for instance in completed if instance is not None]
            if part and completed and not accepted:
                raise ListError("no entry is valid")
            entries = [self.convert_entry(instance) for instance in accepted]
        except (KeyError, OverflowError, TypeError, ValueError, AttributeError) as error:
            raise ListError(f"{type(error).__name__}: {error}") from error
        self.weights_only = (
            not whole
            and bool(accepted)
            and all(
                {**instance, "weight": 0}
                == {**self.known_entries.get(instance["instanceId"], {}), "weight": 0}
                for instance in accepted
            )
        )
        rows, moved = [], []
        for instance, (row, address) in zip(accepted, entries, strict=True):
            self.known_entries[row[0]] = instance
            row = self.indices.row(*row)
            rows.append(row)
            if self.addresses.move(row[0], address):
                moved.append(row[0])
        self.version, self.accepted_entries = version, accepted
        return rows, whole, moved

    def complete_entry(self, instance: dict, whole: bool) -> dict | None:
        """Completes a changed entry with the known values; None if it is of no use: see `read`."""
        if whole:
            return instance
        name = instance["instanceId"]
        if (
            name in self.known_entries
            or "hostPort" in instance
            or STATE_BY_LIFECYCLE[instance["lifecycle"]] == load_balancing.READY
        ):
            return {**self.known_entries.get(name, {}), **instance}
        return None

    def usable_entry(self, instance: object) -> dict | None:
        """Returns the usable part of an entry, or None.

        That a known upstream drains or is removed is accepted even if the rest of its entry is invalid; its
        other values then stay as they were.
        """
        try:
            known = self.known_entries.get(instance["instanceId"], {})
            lifecycle_only = (
                {**known, "lifecycle": instance["lifecycle"]}
                if STATE_BY_LIFECYCLE.get(instance.get("lifecycle"), load_balancing.READY)
                != load_balancing.READY
                else known
            )
        except (KeyError, TypeError, AttributeError):
            instance, known, lifecycle_only = {}, {}, {}
        for candidate in ({**known, **instance}, lifecycle_only):
            try:
                self.convert_entry(candidate)
                return candidate
            except (ListError, KeyError, OverflowError, TypeError, ValueError, AttributeError):
                logger.warning("endpoint list entry rejected", entry=repr(instance)[:MAX_ENTRY_LOGGED])
        return None

    def forget(self, upstream: int) -> None:
        """Releases the index of an upstream that was removed and has nothing in flight."""
        self.known_entries.pop(self.indices.release(upstream), None)
        self.addresses.known.pop(upstream, None)

    def convert_entry(self, instance: dict) -> tuple[tuple, tuple]:
        """Converts one entry into its row and its address.

        Raises ListError, KeyError, OverflowError, TypeError, ValueError or AttributeError if it is invalid.
        """
        name, state, started = (
            instance["instanceId"],
            STATE_BY_LIFECYCLE[instance["lifecycle"]],
            instance["startedAtMs"],
        )
        cell, weight = instance.get("cell", 0), instance.get("weight", 1.0)
        if type(name) is not str or type(cell) is not int or not 0 <= float(weight) < inf:
            raise ListError("instanceId, cell or weight is invalid")
        host, colon, port = instance["hostPort"].rpartition(":")
        if not host or not 0 < int(port) < 65536:
            raise ListError(f"hostPort {instance['hostPort']!r} is invalid")
        host = host.strip("[]")
        return (
            (
                name,
                self.zones[instance["zone"]],
                state,
                to_tenths_of_ms(started),
                cell,
                float(weight),
                self.kinds.get(instance.get("machineType"), 0),
            ),
            (host, int(port)),
        )


class DiscoveryWatch:
    """Keeps the list up to date for as long as the process runs.

    Attributes:
        link: the open connection to discovery, if any.
        consecutive_invalid_lists: consecutive responses that were no valid list.
        first_timeout_s: time without bytes after which a first call is given up.
        rejected_backoff_s: longest backoff after responses that were no valid list.
        has_answered: a call has succeeded since the last failure.
    """

    def __init__(
        self,
        loop,
        address: tuple[str, int],
        reader: ListReader,
        list_received: Callable,
        discovery_failed: Callable,
        random_between: Callable[[float, float], float],
        calls_queue: bool = False,
    ) -> None:
        """Initializes the watch.

        `list_received`: called with each list; raises ListError if it is invalid. `discovery_failed`: called
        after each failure. `random_between`: draws a random number from a range. `calls_queue`: lists are
        requested, and calls wait in a queue.
        """
        self.loop, self.address, self.reader = loop, address, reader
        self.list_received, self.discovery_failed, self.random_between = (
            list_received,
            discovery_failed,
            random_between,
        )
        self.host = f"{address[0]}:{address[1]}".encode()
        self.link: DiscoveryConnection | None = None
        self.consecutive_invalid_lists = 0
        self.first_timeout_s = ON_REQUEST_TIMEOUT_S if calls_queue else SILENCE_TIMEOUT_S
        self.rejected_backoff_s = REJECTED_BACKOFF_S if calls_queue else LONGEST_BACKOFF_S
        self.has_answered = False

    async def run(self) -> None:
        """Watches until it is cancelled, with a backoff after failures."""
        backoff, is_failing = FIRST_BACKOFF_S, False
        while True:
            try:
                await self.make_call()
            except Exception as failure:
                if self.link is not None:
                    self.link.transport.abort()
                    self.link = None
                self.has_answered = False
                if not isinstance(failure, (OSError, TimeoutError, ListError)):
                    # Guards against an internal error that ends the watch: no list would be received again.
                    # The list may be applied in part, so the whole list is requested.
                    logger.error("endpoint discovery watch failed internally", error=repr(failure))
                    self.reader.version = None
                elif not is_failing:
                    logger.warning("endpoint discovery failed", error=repr(failure))
                is_failing = True
                self.discovery_failed()
                await asyncio.sleep(backoff * self.random_between(0.5, 1.0))
                backoff = min(
                    2 * backoff,
                    self.rejected_backoff_s if isinstance(failure, ListError) else LONGEST_BACKOFF_S,
                )
                continue
            if is_failing:
                logger.info("endpoint discovery recovered", generation=self.reader.version)
            backoff, is_failing = FIRST_BACKOFF_S, False

    async def make_call(self) -> None:
        """Makes one call. The next one follows at once, and its response includes changes in between."""
        if self.link is None or self.link.transport.is_closing():
            self.link = None
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                _, self.link = await self.loop.create_connection(DiscoveryConnection, *self.address)
        target, wait = WATCH_PATH, 0
        if self.reader.version is not None:
            # Guards against an agent that accepts calls and does not respond: the first call after a
            # failure waits only for a short time.
            wait = WATCH_WAIT_MS if self.has_answered else FIRST_WATCH_WAIT_MS
            target += b"?after=%d&wait_ms=%d" % (self.reader.version, wait)
        answered = self.loop.create_future()
        self.link.call(target, self.host, answered)
        status, body = await self.await_response(
            answered, wait / 1000 + (SILENCE_TIMEOUT_S if self.has_answered else self.first_timeout_s)
        )
        if status != 200:
            raise ListError(f"status {status}")
        try:
            message = orjson.loads(body)
        except orjson.JSONDecodeError as error:
            raise ListError(f"response is not JSON ({error})") from error
        try:
            self.list_received(message)
        except ListError:
            # Guards against an entry that is always invalid: changes after it, such as drains, would be lost.
            # A list that was damaged on its way is valid when it is requested again.
            self.consecutive_invalid_lists += 1
            if self.consecutive_invalid_lists < INVALID_LISTS_BEFORE_PARTIAL:
                raise
            self.list_received(message, part=True)
        self.consecutive_invalid_lists = 0
        self.has_answered = True

    async def await_response(self, answered: asyncio.Future, first_timeout_s: float) -> tuple[int, bytes]:
        """Waits for the response.

        Raises TimeoutError if it does not begin within `first_timeout_s`, stops, or takes too long.
        """
        expires_at, first_byte_at = self.loop.time() + first_timeout_s, None
        try:
            while not answered.done():
                last_byte_at = self.link.last_received_at
                if last_byte_at is not None:
                    first_byte_at = last_byte_at if first_byte_at is None else first_byte_at
                    expires_at = min(last_byte_at + SILENCE_TIMEOUT_S, first_byte_at + COMPLETE_TIMEOUT_S)
                remaining = expires_at - self.loop.time()
                if remaining <= 0:
                    raise TimeoutError
                await asyncio.wait((answered,), timeout=remaining)
            return answered.result()
        finally:
            answered.cancel()

    def close(self) -> None:
        """Closes the connection to discovery."""
        if self.link is not None:
            self.link.transport.abort()
