"""The tables `[tunnel]`, `[pools.NAME]` and `[proxies.NAME]` of the features file, checked as a whole."""

import os
from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from shedgrade.sidecar.lifecycle.config import parse_address
from shedgrade.sidecar.tunnel import routes
from shedgrade.upstream_pool.errors import ConfigError

Ms = Annotated[float, Meta(gt=0)]
Seconds = Annotated[float, Meta(gt=0)]
MAIN_POOL = "main"  # the platform's own pool


class RouteTable(Struct, kw_only=True, forbid_unknown_fields=True):
    """One route: the destinations that it matches, and what becomes of their tunnels.

    Attributes:
        names, suffixes, ranges: host names, domain suffixes and address ranges; one of them must match.
        ports: ports or [low, high] pairs; any port if there is none.
        use: opaque (bytes are relayed), inspected (each request inside is an RPC) or refuse.
        pool: the pool of the upstreams.
        method: the pool's method as which an opaque tunnel is opened.
    """

    names: list[str] = field(default_factory=list)
    suffixes: list[str] = field(default_factory=list)
    ranges: list[str] = field(default_factory=list)
    ports: list[int | Annotated[list[int], Meta(min_length=2, max_length=2)]] = field(default_factory=list)
    use: Literal["opaque", "inspected", "refuse"]
    pool: str = MAIN_POOL
    method: str = ""


class Tunnel(Struct, kw_only=True, forbid_unknown_fields=True):
    """Listeners and limits of tunnels.

    Attributes:
        socks, connect: listen addresses; "" for no such listener.
        users: a file of `user:password` lines, mode 600; without one no login is required.
        handshake_ms: the time for a complete handshake, in milliseconds.
        open_ms: the time until an opaque tunnel is open or refused, in milliseconds.
        idle_s, life_s: an opaque tunnel without a byte for so long, or so old, is closed; in seconds.
        most: the limit of concurrent tunnels and handshakes; an opaque tunnel has two descriptors.
        buffer: bytes that may be buffered in each direction.
        drain_s: how long an opaque tunnel to a draining upstream may still receive answers, in seconds.
        routes: the first that matches applies.
    """

    socks: str = ""
    connect: str = ""
    users: str = ""
    handshake_ms: Ms = 2_000.0
    open_ms: Ms = 2_000.0
    idle_s: Seconds = 300.0
    life_s: Seconds = 3_600.0
    most: Annotated[int, Meta(ge=1)] = 100
    buffer: Annotated[int, Meta(ge=1024, le=1 << 20)] = 65_536
    drain_s: Seconds = 10.0
    routes: list[RouteTable] = field(default_factory=list)


class ProxyTable(Struct, kw_only=True, forbid_unknown_fields=True):
    """A proxy to connect through.

    Attributes:
        kind, address: its protocol and `host:port`.
        login: a file of one `user:password` line, mode 600; "" for no login.
        handshake_ms: the time for a complete handshake with the proxy, in milliseconds.
    """

    kind: Literal["socks5", "connect"]
    address: str
    login: str = ""
    handshake_ms: Ms = 250.0


class MethodTable(Struct, kw_only=True, forbid_unknown_fields=True):
    """A method of a pool; the fields are those of a method in the platform's settings."""

    name: str
    idempotency: Literal["repeatable", "by_key", "once"] = "once"
    group: Literal["all", "zone", "cell"] = "all"
    payoff: float = 1.0
    soft_deadline: Ms = 600.0
    hard_deadline: Ms = 1_200.0
    overdue_payoff: float = 0.0
    repeat_window: float = 0.0


class PoolTable(Struct, kw_only=True, forbid_unknown_fields=True):
    """A further pool of upstreams, or (`main`) how the platform's pool is connected to.

    Attributes:
        discovery, file: the address of discovery, or a file in its format, that lists the upstreams.
        methods: the methods of the pool.
        zones: the zones of the pool; the platform's zones if it names none. Limits are always the platform's.
        proxies: names of the proxies through which upstreams are dialled, in rotation.
        direct: whether upstreams are dialled directly if no proxy works.
    """

    discovery: str = ""
    file: str = ""
    methods: Annotated[list[MethodTable], Meta(min_length=1)] | None = None
    zones: Annotated[list[str], Meta(min_length=1)] | None = None
    proxies: list[str] = field(default_factory=list)
    direct: Literal["never", "fallback"] = "never"


def read_credentials(path: str, key: str) -> list[tuple[str, str]]:
    """Reads `user:password` lines from a file that only its owner may access. ConfigError names the key and
    the number of the entry, never its text."""
    try:
        if os.stat(path).st_mode & 0o077:
            raise ConfigError(f"{key}: {path} may be read by others: chmod 600")
        lines = [line for line in Path(path).read_text().splitlines() if line and not line.startswith("#")]
    except (OSError, UnicodeDecodeError) as failure:
        raise ConfigError(f"{key}: {path}: {getattr(failure, 'strerror', None) or 'not text'}") from failure
    found = []
    for number, line in enumerate(lines, 1):
        user, colon, password = line.partition(":")
        if not colon or not user or len(user.encode()) > 255 or not 0 < len(password.encode()) <= 255:
            raise ConfigError(f"{key}: {path}: entry {number} is not user:password of at most 255 bytes each")
        found.append((user, password))
    if not found:
        raise ConfigError(f"{key}: {path} has no entry")
    return found


def build_route_table(tunnel: Tunnel, pools: dict[str, set[str]]) -> routes.Table:
    """Builds the validated route table. `pools`: by pool, the names of its methods."""
    found = []
    for number, given in enumerate(tunnel.routes):
        key = f"tunnel.routes[{number}]"
        try:
            route = routes.Route(
                routes.parse_names(given.names),
                routes.parse_suffixes(given.suffixes),
                routes.parse_ranges(given.ranges),
                routes.parse_ports(given.ports),
                given.use,
                given.pool,
                given.method,
            )
        except routes.RouteError as error:
            raise ConfigError(f"{key}.{error}") from error
        if not (route.names or route.suffixes or route.ranges):
            raise ConfigError(f"{key}: one of names, suffixes and ranges is required")
        if route.use != routes.REFUSE and route.pool not in pools:
            raise ConfigError(f"{key}.pool: {route.pool!r} is not one of {', '.join(sorted(pools))}")
        if route.use == routes.OPAQUE and route.method not in pools[route.pool]:
            raise ConfigError(
                f"{key}.method: {route.method!r} is not a method of pool {route.pool}: "
                f"{', '.join(sorted(pools[route.pool]))}"
            )
        if route.use != routes.OPAQUE and route.method:
            raise ConfigError(f"{key}.method: only an opaque route has a method")
        found.append(route)
    return routes.Table(found)


def check(
    tunnel: Tunnel | None, pools: dict[str, PoolTable], proxies: dict[str, ProxyTable], main_methods: set[str]
) -> None:
    """Checks the tables against each other. ConfigError with a key and a reason."""
    for name, one in proxies.items():
        parse_address(one.address, f"proxies.{name}.address")
        if one.login:
            read_credentials(one.login, f"proxies.{name}.login")
    for name, pool in pools.items():
        key = f"pools.{name}"
        for other in pool.proxies:
            if other not in proxies:
                raise ConfigError(f"{key}.proxies: {other!r} is not in [proxies]")
        if pool.direct == "fallback" and not pool.proxies:
            raise ConfigError(f"{key}.direct: fallback requires proxies")
        if name == MAIN_POOL:
            if pool.discovery or pool.file or pool.methods or pool.zones:
                raise ConfigError(
                    f"{key}: the platform lists its upstreams: only proxies and direct are allowed"
                )
            continue
        if bool(pool.discovery) == bool(pool.file):
            raise ConfigError(f"{key}: exactly one of discovery and file is required")
        if pool.discovery:
            parse_address(pool.discovery, f"{key}.discovery")
        if pool.methods is None:
            raise ConfigError(f"{key}.methods: missing")
        given = [method.name for method in pool.methods]
        if len(set(given)) < len(given):
            raise ConfigError(f"{key}.methods: a name is repeated")
    if tunnel is not None:
        if not tunnel.socks and not tunnel.connect:
            raise ConfigError("tunnel: socks or connect is required")
        for key in ("socks", "connect"):
            if getattr(tunnel, key):
                parse_address(getattr(tunnel, key), f"tunnel.{key}")
        if tunnel.users:
            read_credentials(tunnel.users, "tunnel.users")
        known = {
            name: {method.name for method in pool.methods or ()}
            for name, pool in pools.items()
            if name != MAIN_POOL
        }
        build_route_table(tunnel, {MAIN_POOL: main_methods, **known})
