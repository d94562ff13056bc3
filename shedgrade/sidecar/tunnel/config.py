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
MAIN = "main"  # the platform's own pool


class RouteTable(Struct, kw_only=True, forbid_unknown_fields=True):
    """One route: which destinations, and where they lead. `use`: opaque, inspected or refuse."""

    names: list[str] = field(default_factory=list)
    suffixes: list[str] = field(default_factory=list)
    ranges: list[str] = field(default_factory=list)
    ports: list[int | Annotated[list[int], Meta(min_length=2, max_length=2)]] = field(default_factory=list)
    use: Literal["opaque", "inspected", "refuse"]
    pool: str = MAIN
    method: str = ""


class Tunnel(Struct, kw_only=True, forbid_unknown_fields=True):
    """Listeners for tunnels. `users`: a file of `user:password` lines, mode 600; none asks for no login.

    `handshake_ms`: within which a handshake must be whole. `open_ms`: within which an opaque tunnel is open
    or refused. `idle_s`, `life_s`: an opaque tunnel with no byte for so long, or so old, is closed. `most`:
    tunnels and handshakes at once; two descriptors each for opaque ones. `buffer`: bytes that wait in a
    direction. `drain_s`: how long an opaque tunnel whose upstream drains may still bring answers.
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
    """A proxy to dial through. `login`: a file of one line `user:password`, mode 600."""

    kind: Literal["socks5", "connect"]
    address: str
    login: str = ""
    handshake_ms: Ms = 250.0


class MethodTable(Struct, kw_only=True, forbid_unknown_fields=True):
    """A method of a pool, as the platform's settings have it."""

    name: str
    idempotency: Literal["repeatable", "by_key", "once"] = "once"
    group: Literal["all", "zone", "cell"] = "all"
    payoff: float = 1.0
    soft_deadline: Ms = 600.0
    hard_deadline: Ms = 1_200.0
    overdue_payoff: float = 0.0
    repeat_window: float = 0.0


class PoolTable(Struct, kw_only=True, forbid_unknown_fields=True):
    """A pool of its own, or (`main`) how the platform's is dialled. `discovery` or `list` (a file in
    discovery's form) says who is in it; `zones` and limits are the platform's unless said.

    `proxies`: through which it is dialled, in turn; `direct`: what happens when none of them works.
    """

    discovery: str = ""
    file: str = ""
    methods: Annotated[list[MethodTable], Meta(min_length=1)] | None = None
    zones: Annotated[list[str], Meta(min_length=1)] | None = None
    proxies: list[str] = field(default_factory=list)
    direct: Literal["never", "fallback"] = "never"


def secret(path: str, key: str) -> list[tuple[str, str]]:
    """`user:password` lines of a file that only its owner may read. ConfigError names the key, never the
    line."""
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
        raise ConfigError(f"{key}: {path} holds no entry")
    return found


def table(tunnel: Tunnel, pools: dict[str, set[str]]) -> routes.Table:
    """The checked route table. `pools`: their names with the methods of each."""
    found = []
    for number, given in enumerate(tunnel.routes):
        key = f"tunnel.routes[{number}]"
        try:
            route = routes.Route(
                routes.names(given.names),
                routes.suffixes(given.suffixes),
                routes.ranges(given.ranges),
                routes.ports(given.ports),
                given.use,
                given.pool,
                given.method,
            )
        except routes.RouteError as wrong:
            raise ConfigError(f"{key}.{wrong}") from wrong
        if not (route.names or route.suffixes or route.ranges):
            raise ConfigError(f"{key}: names, suffixes or ranges must say what it is for")
        if route.use != routes.REFUSE and route.pool not in pools:
            raise ConfigError(f"{key}.pool: {route.pool!r} is none of {', '.join(sorted(pools))}")
        if route.use == routes.OPAQUE and route.method not in pools[route.pool]:
            raise ConfigError(
                f"{key}.method: {route.method!r} is none of pool {route.pool}'s: "
                f"{', '.join(sorted(pools[route.pool]))}"
            )
        if route.use != routes.OPAQUE and route.method:
            raise ConfigError(f"{key}.method: only an opaque tunnel is opened as a method")
        found.append(route)
    return routes.Table(found)


def check(
    tunnel: Tunnel | None, pools: dict[str, PoolTable], proxies: dict[str, ProxyTable], main_methods: set[str]
) -> None:
    """What no single table shows. ConfigError: key and reason."""
    for name, one in proxies.items():
        parse_address(one.address, f"proxies.{name}.address")
        if one.login:
            secret(one.login, f"proxies.{name}.login")
    for name, pool in pools.items():
        key = f"pools.{name}"
        for other in pool.proxies:
            if other not in proxies:
                raise ConfigError(f"{key}.proxies: {other!r} is none of [proxies]")
        if pool.direct == "fallback" and not pool.proxies:
            raise ConfigError(f"{key}.direct: no proxies to fall back from")
        if name == MAIN:
            if pool.discovery or pool.file or pool.methods or pool.zones:
                raise ConfigError(f"{key}: the platform says who is in it: only proxies and direct here")
            continue
        if bool(pool.discovery) == bool(pool.file):
            raise ConfigError(f"{key}: one of discovery and file must say who is in it")
        if pool.discovery:
            parse_address(pool.discovery, f"{key}.discovery")
        if pool.methods is None:
            raise ConfigError(f"{key}.methods: missing")
        given = [method.name for method in pool.methods]
        if len(set(given)) < len(given):
            raise ConfigError(f"{key}.methods: a name stands there twice")
    if tunnel is not None:
        if not tunnel.socks and not tunnel.connect:
            raise ConfigError("tunnel: neither socks nor connect says where to listen")
        for key in ("socks", "connect"):
            if getattr(tunnel, key):
                parse_address(getattr(tunnel, key), f"tunnel.{key}")
        if tunnel.users:
            secret(tunnel.users, "tunnel.users")
        known = {
            name: {method.name for method in pool.methods or ()}
            for name, pool in pools.items()
            if name != MAIN
        }
        table(tunnel, {MAIN: main_methods, **known})
