"""The upstreams of a site: starts, crashes, restarts and drains, with the platform's list kept up to date."""

from random import Random

from shedgrade.engines import Engine, EngineSettings
from shedgrade.engines.server import EngineServer, Upstream
from shedgrade.lab.system.history import History
from shedgrade.lab.system.platform import AVAILABLE, DRAINING, Entry, InstanceDirectory
from shedgrade.lab.system.site import Site

CRASHED_SHOWN_S = 2.0  # s for which a crashed upstream stays on the list


class Fleet:
    """Runs the upstreams of a site.

    services: the service of each upstream, by its number
    engines: engine settings by service
    directory: the platform's list, which follows the upstreams
    observed: the history to which runs and disturbances are added
    key: signs the seals of answers
    behaviour: further settings of every upstream
    """

    def __init__(
        self,
        loop,
        site: Site,
        services: list[str],
        engines: dict[str, EngineSettings],
        directory: InstanceDirectory,
        observed: History,
        random: Random,
        key: bytes,
        **behaviour: object,
    ) -> None:
        self.loop, self.site, self.services, self.engines = loop, site, services, engines
        self.directory, self.history, self.random, self.key = directory, observed, random, key
        self.upstream_options = behaviour
        self.servers: dict[int, EngineServer] = {}
        self.entries: dict[str, Entry] = {}
        self.timers: list = []

    async def start(self, number: int, *, cold: bool = False) -> EngineServer:
        """Starts a new incarnation of an upstream."""
        service, zone = self.services[number], self.site.engines[number]
        settings = self.engines[service]
        upstream = Upstream(
            f"i-{self.random.getrandbits(32):08x}",
            service,
            zone,
            self.site.engine_address(number),
            self.key,
            **self.upstream_options,
        )
        now = self.loop.time()
        engine = Engine(settings, now, cold=cold)
        server = EngineServer(
            self.loop,
            upstream,
            engine,
            Random(self.random.getrandbits(32)),
            self.history.runs.append,
            lambda: self.handle_crash(number),
        )
        await server.start()
        self.servers[number] = server
        self.entries[upstream.instance] = Entry(
            upstream.instance,
            service,
            "{}:{}".format(*upstream.address),
            zone,
            settings.slots,
            cold_until=engine.cold_until,
        )
        self.publish_list()
        return server

    async def start_all(self) -> None:
        for number in range(len(self.services)):
            await self.start(number)

    def crash(self, number: int) -> None:
        """Stops an upstream at once; the list shows it for `CRASHED_SHOWN_S` seconds more."""
        self.servers[number].close()
        self.handle_crash(number)

    def handle_crash(self, number: int) -> None:
        now, server = self.loop.time(), self.servers.pop(number)
        self.history.disturbances.append((now, now + CRASHED_SHOWN_S, f"{server.upstream.instance} crashed"))
        self.call_later(CRASHED_SHOWN_S, self.remove_entry, server.upstream.instance)

    def drain(self, number: int) -> None:
        """Drains an upstream.

        The list shows this first; the upstream then serves for `drainMs`, the lag of the list and 1 s more.
        """
        server = self.servers.pop(number)
        server.drain()
        self.entries[server.upstream.instance].state = DRAINING
        self.publish_list()
        shutdown_delay = self.site.bounds["drainMs"] / 1000 + self.directory.lag + 1.0
        self.call_later(shutdown_delay, self.remove, server)

    def remove(self, server: EngineServer) -> None:
        server.close()
        self.remove_entry(server.upstream.instance)

    def remove_entry(self, instance: str) -> None:
        self.entries.pop(instance, None)
        self.publish_list()

    def publish_list(self) -> None:
        self.directory.replace_entries(self.loop.time(), list(self.entries.values()))
        self.history.drained = self.directory.shown_draining

    def available(self) -> int:
        return sum(entry.state == AVAILABLE for entry in self.entries.values())

    def call_later(self, delay: float, callback, *arguments) -> None:
        self.timers.append(self.loop.call_later(delay, callback, *arguments))

    def close(self) -> None:
        for timer in self.timers:
            timer.cancel()
        for server in self.servers.values():
            server.close()
