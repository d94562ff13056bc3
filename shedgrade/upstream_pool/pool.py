"""A pool: one list of upstreams with its balancer, dispatcher and connections.

All pools of a process share its clock and its budget.
"""

import asyncio

from shedgrade import load_balancing
from shedgrade.buffers.budget import Budget
from shedgrade.http.connection_pool import ConnectionPool
from shedgrade.http.endpoint_discovery import DiscoveryWatch, ListReader
from shedgrade.load_balancing.upstream_indices import to_tenths_of_ms
from shedgrade.request_dispatch import Dispatcher
from shedgrade.runtime.clock import Clock
from shedgrade.runtime.log import logger
from shedgrade.upstream_pool.errors import ConfigError

IDLE_MARGIN = 10_000  # tenths of a ms before the idle limit: the upstream must not close first


class Pool:
    """Owns the list's reader, the balancer, the dispatcher, the connections, and a watch on discovery if any.

    tenants: number of tenants in the settings
    tenant_names: numbers of tenants, by name
    requests_list: the list is requested rather than pushed
    methods: numbers of methods, by name
    longest_hard_deadline_s: longest hard deadline of a method, in seconds
    drain_grace_s: time within which sends to a draining upstream have to stop, in seconds
    """

    def __init__(
        self,
        name: str,
        settings: dict,
        seed: int,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        budget: Budget,
        decisions: type[load_balancing.Balancer] = load_balancing.Balancer,
    ) -> None:
        """Raises ConfigError if the settings are not valid."""
        self.name, self.loop, self.clock, self.budget = name, loop, clock, budget
        try:
            self.balancer = decisions(settings, seed, clock.now())
            self.reader = ListReader(settings)
            self.methods: dict[bytes, int] = {}
            dial, idle = self.take_settings(settings)
        except KeyError as missing:
            raise ConfigError(f"settings: {missing} is missing") from missing
        except (ArithmeticError, AttributeError, IndexError, TypeError, ValueError) as wrong:
            raise ConfigError(f"settings: a value has the wrong form ({wrong})") from wrong
        self.connections = ConnectionPool(loop, clock, self.reader.addresses.known, dial, idle, budget)
        ids = self.reader.indices.ids
        self.dispatcher = Dispatcher(loop, clock, self.balancer, self.connections, ids, budget, self.forget)
        self.connections.dispatcher = self.dispatcher
        self.watch: DiscoveryWatch | None = None
        self.watching: asyncio.Task | None = None
        self.saved = None  # a SavedList, if the list is saved to disk
        self.source = "nothing"  # the source of the list in use
        self.has_list = False

    def take_settings(self, settings: dict) -> tuple[int, int]:
        """Applies the pool's own settings; returns the limits of a dial and of an idle connection."""
        self.tenants = len(settings.get("customers", ()))
        self.tenant_names = {
            str(customer["name"]).encode(): number
            for number, customer in enumerate(settings.get("customers", ()))
            if "name" in customer
        }
        self.requests_list = settings["membership_mode"] == "on_request"
        self.methods = {method["name"].encode(): number for number, method in enumerate(settings["methods"])}
        self.longest_hard_deadline_s = max(method["hard_deadline"] for method in settings["methods"]) / 1000
        self.drain_grace_s = settings["rules"]["stop_sending_within"] / 1000
        dial, idle = (to_tenths_of_ms(settings["limits"][key]) for key in ("dial_timeout", "idle_close"))
        return dial, max(idle - IDLE_MARGIN, idle // 2)

    def update_settings(self, settings: dict) -> None:
        """Applies other settings, which have been validated."""
        before = self.methods
        numbers = {
            number: place
            for place, method in enumerate(settings["methods"])
            if (number := before.get(method["name"].encode())) is not None
        }
        self.dispatcher.update_settings(settings, numbers)
        self.connections.connect_timeout, self.connections.idle.limit = self.take_settings(settings)

    # --- the list

    def set_list_source(self, source: str) -> None:
        """Sets the one source of the list in use, such as an older process, the saved list or discovery."""
        if source != self.source:
            logger.info("endpoint list source changed", previous=self.source, source=source, pool=self.name)
            self.source = source

    def apply_list_message(self, message: object, asked: bool = True, part: bool = False) -> None:
        """Applies a message of the endpoint list, which is in force from the next pass on.

        `asked`: the message comes from discovery. `part`: entries that are not valid are left out. Raises
        ListError for a message that is not a list.
        """
        rows, whole, moved = self.reader.read(message, part)
        quiet = self.reader.weights_only
        if asked:
            self.set_list_source("discovery")
            if self.saved is not None:
                # Guards the disk: weights that vary with load are of no use after a restart. An entry that is
                # not valid is left out, as it would prevent a start from the saved list.
                taken = [] if quiet else self.reader.accepted_entries
                self.saved.save_list({**message, "instances": taken} if quiet or part else message)
        draining = [row[0] for row in rows if row[2] != load_balancing.READY]
        # Before the connections are withdrawn, so that attempts at a withdrawn upstream are decided anew by
        # this list.
        self.dispatcher.list_changed(rows, whole, asked)
        for upstream in (*moved, *draining):
            self.connections.withdraw(upstream)
        if (rows and not quiet) or not asked:
            logger.info(
                "endpoint list updated",
                generation=self.reader.version,
                entries=len(rows),
                complete=whole,
                pool=self.name,
            )
        self.has_list = True

    def watch_discovery(self, address: tuple[str, int]) -> None:
        """Starts to watch discovery at this address."""
        self.watch = DiscoveryWatch(
            self.loop,
            address,
            self.reader,
            self.apply_list_message,
            self.dispatcher.list_failed,
            self.balancer.uniform,
            self.requests_list,
        )
        self.watching = self.loop.create_task(self.watch.run())

    def stop_watching(self) -> None:
        """Stops to watch discovery."""
        if self.watch is not None:
            self.watching.cancel()
            self.watch.close()
            self.watch = None

    def move(self, address: tuple[str, int]) -> None:
        """Watches discovery at another address.

        Versions count anew at the other address, so the whole list is read first.
        """
        self.stop_watching()
        self.reader.version = None
        self.watch_discovery(address)

    def forget(self, upstream: int) -> None:
        """Forgets a removed upstream that has nothing outstanding, or its records would stay for good."""
        self.reader.forget(upstream)
        self.connections.close_idle_to(upstream)
        self.connections.last_response_at.pop(upstream, None)
