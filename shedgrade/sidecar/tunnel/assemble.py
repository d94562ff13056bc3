"""The sidecar feature that sets up tunnels, further pools and proxies from the features file."""

import hashlib
from pathlib import Path

import msgspec
import orjson
from loguru import logger

from shedgrade.http.discovery_connection import ListError
from shedgrade.sidecar.lifecycle.config import parse_address
from shedgrade.sidecar.lifecycle.feature import Feature
from shedgrade.sidecar.tunnel.config import (
    MAIN_POOL,
    PoolTable,
    ProxyTable,
    build_route_table,
    read_credentials,
)
from shedgrade.sidecar.tunnel.dialler import Dialler, Proxy
from shedgrade.sidecar.tunnel.listener import Tunnels
from shedgrade.upstream_pool.errors import ConfigError
from shedgrade.upstream_pool.front import Front
from shedgrade.upstream_pool.pool import Pool


def pool_settings(main: dict, given: PoolTable) -> dict:
    """The platform's settings, with the pool's methods and its zones if it names any."""
    methods = [{**msgspec.to_builtins(method), "stream": False} for method in given.methods]
    zones = given.zones or main["zones"]
    return {**main, "methods": methods, "zones": zones, "az": main["az"] if main["az"] < len(zones) else 0}


class TunnelFeature(Feature):
    """The tunnels, pools and proxies of the features file. The sidecar starts, drains and closes them."""

    def __init__(self, sidecar, features) -> None:
        """ConfigError if a pool's settings or a file of credentials are invalid."""
        self.sidecar, self.features = sidecar, features
        loop, budget, config = sidecar.loop, sidecar.budget, sidecar.config
        self.pools: dict[str, Pool] = {MAIN_POOL: sidecar.pool}
        for name, given in features.pools.items():
            if name != MAIN_POOL:
                seed = int.from_bytes(hashlib.sha256(f"{config.seed}/{name}".encode()).digest()[:8])
                try:
                    settings = pool_settings(config.settings, given)
                    self.pools[name] = Pool(name, settings, seed, loop, sidecar.clock, budget)
                except ConfigError as error:
                    raise ConfigError(f"pools.{name}: {error}") from error
        self.via_name = f"shedgrade-{config.name}"
        self.proxies = {name: self.make_proxy(name, given) for name, given in features.proxies.items()}
        for name, given in features.pools.items():
            if given.proxies:
                connections = self.pools[name].connections
                connections.connect = Dialler(
                    loop,
                    [self.proxies[one] for one in given.proxies],
                    self.via_name,
                    given.direct == "fallback",
                )
                connections.uses_proxy = True
        self.fronts = {
            name: sidecar.front
            if name == MAIN_POOL
            else Front(loop, pool, budget, sidecar.is_ready, sidecar.is_draining)
            for name, pool in self.pools.items()
        }
        self.tunnels = self.make_tunnels() if features.tunnel is not None else None

    @staticmethod
    def make_proxy(name: str, given: ProxyTable) -> Proxy:
        """Builds a proxy from its table and reads its login."""
        login = read_credentials(given.login, f"proxies.{name}.login")[0] if given.login else None
        return Proxy(
            name,
            given.kind,
            parse_address(given.address, f"proxies.{name}.address"),
            login,
            given.handshake_ms / 1000,
        )

    def route_table(self, features):
        """Builds the route table of these features for the pools of this process."""
        return build_route_table(
            features.tunnel,
            {name: {method.decode() for method in pool.methods} for name, pool in self.pools.items()},
        )

    def make_tunnels(self) -> Tunnels:
        """Builds the listeners and sets the buffer size of streams in all pools."""
        given = self.features.tunnel
        users = dict(read_credentials(given.users, "tunnel.users")) if given.users else None
        for pool in self.pools.values():
            pool.connections.stream_buffer = given.buffer
        return Tunnels(
            self.sidecar.loop,
            given,
            self.route_table(self.features),
            self.pools,
            self.fronts,
            users,
            self.via_name,
            self.sidecar.budget,
            self.sidecar.config.seed,
        )

    # --- called by the sidecar

    def start(self) -> None:
        """Starts the pools and the listeners. ConfigError if a list or an address can't be used."""
        for name, given in self.features.pools.items():
            if name == MAIN_POOL:
                continue
            pool = self.pools[name]
            if given.file:
                self.read_list(pool, given.file, f"pools.{name}.file")
            else:
                pool.watch_discovery(parse_address(given.discovery, f"pools.{name}.discovery"))
        if self.tunnels is not None:
            try:
                self.tunnels.listen()
            except OSError as failure:
                raise ConfigError(f"tunnel: cannot listen: {failure.strerror}") from failure
            own_addresses = {self.sidecar.config.listen, *self.tunnels.addresses()}
            for proxy in self.proxies.values():
                if proxy.address in own_addresses:
                    raise ConfigError(f"proxies.{proxy.name}.address: is an address of this sidecar")
            for pool in self.pools.values():
                pool.connections.own_addresses = own_addresses

    @staticmethod
    def read_list(pool: Pool, path: str, key: str) -> None:
        """Fills a pool from a file in the format of discovery. ConfigError if it can't be read."""
        try:
            pool.apply_list_message(orjson.loads(Path(path).read_bytes()), asked=False)
        except OSError as failure:
            raise ConfigError(f"{key}: {path}: {failure.strerror}") from failure
        except (orjson.JSONDecodeError, ListError) as error:
            raise ConfigError(f"{key}: {path}: not a valid list ({error})") from error
        pool.set_list_source("file")

    def reload(self, features) -> None:
        """Applies a validated reload: routes and limits of tunnels take effect at once; pools, proxies and
        adding or removing the tunnel table need a restart, which is logged."""
        for name, given in self.features.pools.items():
            if name != MAIN_POOL:
                self.pools[name].update_settings(pool_settings(self.sidecar.config.settings, given))
        restart_keys = [
            key for key in ("pools", "proxies") if getattr(features, key) != getattr(self.features, key)
        ]
        if (features.tunnel is None) != (self.tunnels is None):
            restart_keys.append("tunnel")
        elif self.tunnels is not None:
            self.tunnels.reload(features.tunnel, self.route_table(features))
        if restart_keys:
            logger.info("restart needed for tunnel settings", names=", ".join(restart_keys))

    def tick(self) -> None:
        for name, front in self.fronts.items():
            if name != MAIN_POOL:
                front.check_timeouts()

    def has_pending_connections(self) -> bool:
        return self.tunnels is not None and self.tunnels.has_pending_connections()

    def stop_accepting(self) -> None:
        if self.tunnels is not None:
            self.tunnels.stop_accepting()
            self.tunnels.drain()

    def close_idle(self) -> None:
        for name, front in self.fronts.items():
            if name != MAIN_POOL:
                front.close_idle()

    def in_flight(self) -> int:
        """The connections and RPCs that the drain still waits for."""
        found = sum(
            len(self.fronts[name].clients) + len(pool.dispatcher.active_requests)
            for name, pool in self.pools.items()
            if name != MAIN_POOL
        )
        return found + (len(self.tunnels.live) if self.tunnels is not None else 0)

    def own_pools(self) -> list[Pool]:
        return [pool for name, pool in self.pools.items() if name != MAIN_POOL]

    def close(self) -> None:
        if self.tunnels is not None:
            self.tunnels.close()
            relayed, refused = self.tunnels.bytes_relayed, dict(self.tunnels.refused)
            logger.info(
                "tunnel totals", inspected=self.tunnels.inspected, bytes_relayed=relayed, refused=refused
            )
        for name, pool in self.pools.items():
            if name != MAIN_POOL:
                pool.stop_watching()
