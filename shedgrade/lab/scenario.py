"""Scenarios of the lab: fleet, sidecars, load, faults, length and seed, read from TOML and validated.

Keys that end in `_s` are in seconds, keys that end in `_ms` in milliseconds. Work is in milliseconds on one
core of speed 1. A range is a list of its lower and its upper bound. An invalid scenario raises
`ScenarioError`, a one-line message with the file and the key.
"""

import tomllib
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1)]
Range = Annotated[list[NotNegative], Meta(min_length=2, max_length=2)]


class ScenarioError(Exception):
    """The scenario is invalid; one line with the file, the key and the reason."""


class Table(Struct, forbid_unknown_fields=True, kw_only=True):
    """A table of the scenario file; an unknown key in it is an error."""


class Group(Table, kw_only=True):
    """Identical upstreams: their cores, speed and queue, and how they behave when cold or overloaded.

    speed: factor on the work that one core does in a millisecond
    speed_spread: largest deviation of an upstream's speed from `speed`, as a share of it
    queue: RPCs that may wait for a core
    cold_from: share of its full capacity that an upstream has right after its start
    cold_ms: time until capacity has grown linearly from `cold_from` to 1
    fall_multiple, overload_ms: a cold upstream crashes and stays down when the work that it receives within
        `overload_ms` exceeds `fall_multiple` times its capacity in that time
    crowd_at, crowd_slow: with more than `crowd_at` RPCs held per core, work takes longer by the factor
        1 + `crowd_slow` x the excess
    connections: most open connections; an upstream closes further ones at once
    handshake_ms: work that the first RPC of a connection adds
    error_rate: share of RPCs that are answered with 500 after they have run
    cancels: whether work stops when its connection closes
    """

    zone: str
    count: Count = 1
    kind: str = "std"
    cores: Annotated[int, Meta(ge=1, le=256)] = 1
    speed: Positive = 1.0
    speed_spread: Annotated[float, Meta(ge=0, lt=1)] = 0.0
    queue: Annotated[int, Meta(ge=0)] = 32
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.2
    cold_ms: NotNegative = 10_000.0
    fall_multiple: Positive = 3.0
    overload_ms: Positive = 2_000.0
    crowd_at: Positive = 8.0
    crowd_slow: NotNegative = 0.0
    connections: Count = 1_000
    handshake_ms: NotNegative = 0.0
    error_rate: Share = 0.0
    idle_close_ms: Positive = 15_000.0
    cancels: bool = True


class Discovery(Table, kw_only=True):
    """Stand-in discovery.

    silent_until_s: discovery does not answer from before the sidecars start until this time
    notice_ms: range of the delay until a change reaches a sidecar's agent, drawn anew for each sidecar and
        change
    """

    silent_until_s: NotNegative = 0.0

    notice_ms: Range = field(default_factory=lambda: [50.0, 200.0])


class Fleet(Table, kw_only=True):
    """The upstreams and the network between zones.

    processes: processes that the upstreams are divided among
    same_ms, cross_ms: one-way latency of calls within a zone and between two zones
    """

    zones: Annotated[list[str], Meta(min_length=1, max_length=40)] = field(default_factory=lambda: ["a"])
    groups: Annotated[list[Group], Meta(min_length=1)]
    processes: Annotated[int, Meta(ge=1, le=16)] = 1
    same_ms: NotNegative = 0.0
    cross_ms: NotNegative = 0.0
    discovery: Discovery = field(default_factory=Discovery)


class SavedStart(Table, kw_only=True):
    """Sidecars keep their list on disk, and start from a saved list that the lab prepares.

    age_s: time since discovery last confirmed the saved list
    stale: share of its rows whose upstreams are gone; a third of their addresses refuse connections, a third
        do not answer, and a third belong to other upstreams now. The replacements are not in the saved list.
    cold: whether the upstreams in the list were restarted just before the run
    trust: `graded` as the sidecar ships, `blind`, or `off` for no saved list
    sync: when the sidecar syncs the list to disk
    prepared: whether the lab writes the saved list before the sidecars start
    """

    age_s: NotNegative = 60.0
    stale: Share = 0.0
    cold: bool = False
    trust: Literal["graded", "blind", "off"] = "graded"
    sync: Literal["always", "interval", "never"] = "interval"
    prepared: bool = True


class Sidecars(Table, kw_only=True):
    """The sidecars of the run.

    zones: zone of each sidecar; assigned in rotation over the fleet's zones if empty
    sockets: limit on the sidecar's sockets
    policy: `shedgrade`, or a baseline policy of the lab
    checkout: path of another clone of this repository whose code the sidecars run
    pin: whether each sidecar gets a core of its own
    known: which list the configuration contains: the first one, or none
    await_list: the load starts once every sidecar has a list, and not merely once it listens
    tunnels: whether the sidecars listen for SOCKS5 and CONNECT tunnels
    quota: the table `[quota]` of the sidecars' features file, copied as it is
    capture: whether the inputs of decisions are kept, in memory (`ring`) or as files in the run's folder
    """

    count: Annotated[int, Meta(ge=1, le=200)] = 1
    zones: list[str] = field(default_factory=list)
    memory_mb: Count = 192
    sockets: Annotated[int, Meta(ge=64)] = 1024
    policy: Literal["shedgrade", "random", "rotation", "least"] = "shedgrade"
    checkout: str = ""
    pin: bool = False
    known: Literal["first", "none"] = "first"
    await_list: bool = True
    saved: SavedStart | None = None
    tunnels: bool = False
    quota: dict | None = None
    capture: Literal["off", "ring", "files"] = "off"
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class Method(Table, kw_only=True):
    """One method of the service.

    repeats: whether a request that may have run may be sent again: always, where and as long as the service
        deduplicates it, or never
    group: upstreams that share the deduplication state
    window_ms: how long a request is deduplicated
    payoff, late_payoff: value of an answer until the soft deadline, and after it
    """

    name: str
    repeats: Literal["retriable", "deduped", "non-retriable"] = "non-retriable"
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: NotNegative = 0.0
    payoff: Positive = 1.0
    late_payoff: NotNegative = 0.0
    soft_ms: Positive = 600.0
    hard_ms: Positive = 1_200.0


class Settings(Table, kw_only=True):
    """Settings that the platform gives to the sidecars, apart from the methods."""

    most_transmissions: Count = 3
    parallel_tries: bool = False
    cancelling: bool = True
    retry_after: bool = False
    max_retry_after_ms: NotNegative = 1_000.0
    dial_timeout_ms: Positive = 250.0
    stop_sending_ms: Positive = 500.0
    cross_price: NotNegative = 0.02


class Shape(Table, kw_only=True):
    """One component of the rate, in RPCs per second; the rate is the sum of all components.

    steady: `rate`.
    ramp: from `rate` to `to` between `from_s` and `until_s`, then `to`.
    step: `rate` between `from_s` and `until_s`, else 0.
    burst: a raised cosine that peaks at `rate` halfway between `from_s` and `until_s`.
    wave: `rate` x (1 + `swing` x sin), with the period `period_s`.
    """

    kind: Literal["steady", "ramp", "step", "burst", "wave"]
    rate: NotNegative
    to: NotNegative = 0.0
    from_s: NotNegative = 0.0
    until_s: NotNegative = 0.0
    period_s: Positive = 10.0
    swing: Share = 0.5


class Class(Table, kw_only=True):
    """A class of RPCs in the load.

    share: weight of the class among all classes
    work_ms, dist, cv: mean, distribution and coefficient of variation of the work
    tail_share, tail_times: share of RPCs whose work is multiplied by `tail_times`
    body: size of request and response bodies, bytes
    attrs: value of the header `X-Attrs`; not sent if empty
    """

    method: str
    share: Positive = 1.0
    work_ms: Positive = 10.0
    dist: Literal["constant", "exponential", "lognormal", "uniform"] = "constant"
    cv: NotNegative = 0.5
    tail_share: Share = 0.0
    tail_times: Annotated[float, Meta(ge=1)] = 1.0
    body: Annotated[int, Meta(ge=0, le=65536)] = 16
    attrs: str = ""


class Trace(Table, kw_only=True):
    """A recorded trace that replaces the shapes of the load.

    retries: `recorded` retries are sent as recorded and count with their first try; with `own`, the callers
        follow their own retry rule
    speed: factor by which the replay is faster than the recording
    """

    file: str
    retries: Literal["recorded", "own"] = "own"
    speed: Positive = 1.0


class Load(Table, kw_only=True):
    """The load that the generators offer.

    scale: factor on the rate of all shapes
    origins: weight of each sidecar's clients; equal if empty
    processes: generator processes that the load is divided among
    via: clients reach their sidecar through inspected tunnels to `lab.internal`, and reuse a tunnel together
        with the connection inside it
    late_ms, late_share: the run is invalid if the generator sends more than `late_share` of RPCs more than
        `late_ms` after their intended time
    closed: workers of an additional closed loop; 0 for none
    bad_clients: misbehaving clients per second
    """

    arrivals: Literal["poisson", "constant"] = "poisson"
    shapes: list[Shape] = field(default_factory=list)
    scale: Positive = 1.0
    classes: list[Class] = field(default_factory=list)
    origins: list[NotNegative] = field(default_factory=list)
    trace: Trace | None = None
    processes: Annotated[int, Meta(ge=1, le=16)] = 1
    via: Literal["", "socks5", "connect"] = ""
    late_ms: Positive = 20.0
    late_share: Share = 0.01
    closed: Annotated[int, Meta(ge=0)] = 0
    bad_clients: NotNegative = 0.0


class Callers(Table, kw_only=True):
    """How clients behave.

    wait_ms: time after which a client gives up a try; 0 for the method's hard deadline
    retries: most tries after the first one
    honours_retry_after: whether a retry waits at least as long as `Retry-After` of a refusal says
    marks_retry: whether retries carry the header `X-Retried`
    connections: most open connections to one sidecar from one generator process
    """

    wait_ms: NotNegative = 0.0
    retries: Annotated[int, Meta(ge=0, le=20)] = 0
    backoff: Literal["none", "fixed", "exponential"] = "none"
    backoff_ms: NotNegative = 50.0
    honours_retry_after: bool = True
    marks_retry: bool = True
    connections: Count = 2_000


class Fault(Table, kw_only=True):
    """One fault of the schedule; docs/operate/lab.md lists the keys that each `kind` uses."""

    kind: Literal[
        "kill",
        "restart",
        "hang",
        "cut",
        "refuse",
        "slow",
        "spoil",
        "reset",
        "drain",
        "deploy",
        "shrink",
        "grow",
        "churn",
        "zone_loss",
        "zone_cut",
        "discovery_late",
        "discovery_gone",
        "discovery_reset",
        "sidecar_stop",
        "sidecar_kill",
        "sidecar_term",
        "sidecar_reload",
    ]
    at_s: NotNegative
    for_s: NotNegative = 0.0
    zone: str = ""
    upstreams: list[int] = field(default_factory=list)
    share: Share = 0.0
    sidecar: Annotated[int, Meta(ge=0)] = 0
    factor: NotNegative = 0.5
    period_s: NotNegative = 0.0
    batch: Annotated[float, Meta(gt=0, le=1)] = 0.1
    drain_ms: NotNegative = 3_000.0
    elsewhere: bool = False
    silent: bool = False
    late_ms: NotNegative = 3_000.0
    count: Annotated[int, Meta(ge=0)] = 0


class Judging(Table, kw_only=True):
    """`grace_ms`: tolerance on each time limit for a loaded machine; the platform's own is 50 ms."""

    grace_ms: NotNegative = 50.0


class Scenario(Table, kw_only=True):
    """A complete scenario.

    about: description for readers of the report
    warmup_s: RPCs that are due earlier count in no latency or service figure
    """

    name: str
    about: str = ""
    seed: int = 1
    length_s: Annotated[float, Meta(gt=0, le=86_400)] = 30.0
    warmup_s: NotNegative = 0.0
    fleet: Fleet
    sidecars: Sidecars = field(default_factory=Sidecars)
    settings: Settings = field(default_factory=Settings)
    methods: Annotated[list[Method], Meta(min_length=1)]
    load: Load
    callers: Callers = field(default_factory=Callers)
    faults: list[Fault] = field(default_factory=list)
    judging: Judging = field(default_factory=Judging)

    def zone_of(self, sidecar: int) -> str:
        """The zone of a sidecar; without `sidecars.zones`, sidecars are assigned to zones in rotation."""
        zones = self.sidecars.zones or self.fleet.zones
        return zones[sidecar % len(zones)]

    def method(self, name: str) -> Method:
        return next(method for method in self.methods if method.name == name)


def problems(scenario: Scenario):
    """Yields (key, reason) for each rule between keys that the scenario breaks; types are checked before."""
    zones, methods = scenario.fleet.zones, [method.name for method in scenario.methods]
    for names, key in ((zones, "fleet.zones"), (methods, "methods")):
        if len(set(names)) < len(names):
            yield key, "a name stands there twice"
    for number, group in enumerate(scenario.fleet.groups):
        if group.zone not in zones:
            yield f"fleet.groups[{number}].zone", f"{group.zone!r} is not in fleet.zones"
    for number, zone in enumerate(scenario.sidecars.zones):
        if zone not in zones:
            yield f"sidecars.zones[{number}]", f"{zone!r} is not in fleet.zones"
    for number, method in enumerate(scenario.methods):
        if method.soft_ms > method.hard_ms:
            yield f"methods[{number}].soft_ms", f"{method.soft_ms:g} is over hard_ms {method.hard_ms:g}"
        if not method.name or "/" in method.name or not method.name.isascii():
            yield f"methods[{number}].name", f"{method.name!r} is no part of a path"
    load = scenario.load
    if load.trace is None and not load.shapes and not load.closed:
        yield "load.shapes", "no load: give shapes, a trace or closed"
    if not load.classes and load.trace is None:
        yield "load.classes", "missing"
    for number, load_class in enumerate(load.classes):
        if load_class.method not in methods:
            yield f"load.classes[{number}].method", f"{load_class.method!r} is not in methods"
    for number, shape in enumerate(load.shapes):
        if shape.kind in ("ramp", "step", "burst") and shape.until_s <= shape.from_s:
            yield f"load.shapes[{number}].until_s", f"{shape.until_s:g} is not after from_s {shape.from_s:g}"
    if load.origins and len(load.origins) != scenario.sidecars.count:
        yield "load.origins", f"{len(load.origins)} shares for {scenario.sidecars.count} sidecars"
    if load.via and not scenario.sidecars.tunnels:
        yield "load.via", "sidecars.tunnels is not on"
    if load.origins and not sum(load.origins):
        yield "load.origins", "all are 0"
    low, high = scenario.fleet.discovery.notice_ms
    if low > high:
        yield "fleet.discovery.notice_ms", f"{low:g} is over {high:g}"
    if scenario.warmup_s >= scenario.length_s:
        yield "warmup_s", f"{scenario.warmup_s:g} is not under length_s {scenario.length_s:g}"
    upstreams = sum(group.count for group in scenario.fleet.groups)
    for number, fault in enumerate(scenario.faults):
        key = f"faults[{number}]"
        if fault.at_s >= scenario.length_s:
            yield f"{key}.at_s", f"{fault.at_s:g} is not under length_s {scenario.length_s:g}"
        if fault.zone and fault.zone not in zones:
            yield f"{key}.zone", f"{fault.zone!r} is not in fleet.zones"
        if fault.kind in ("zone_loss", "zone_cut") and not fault.zone:
            yield f"{key}.zone", "missing"
        if fault.kind.startswith("sidecar") and fault.sidecar >= scenario.sidecars.count:
            yield f"{key}.sidecar", f"{fault.sidecar} of {scenario.sidecars.count} sidecars, counted from 0"
        for upstream in fault.upstreams:
            if not 0 <= upstream < upstreams:
                yield f"{key}.upstreams", f"{upstream} of {upstreams} upstreams, counted from 0"


def parse(text: bytes, name: str) -> Scenario:
    """Parses and validates a TOML scenario; `name` stands for the file in errors.

    Raises ScenarioError.
    """
    try:
        tree = tomllib.loads(text.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{name}: not TOML: {error}") from error
    return convert(tree, name)


def convert(tree: dict, name: str) -> Scenario:
    """Validates a parsed scenario; `name` stands for the file in errors. Raises ScenarioError."""
    try:
        scenario = msgspec.convert(tree, Scenario)
    except msgspec.ValidationError as error:
        reason, _, key = str(error).partition(" - at `")
        raise ScenarioError(f"{name}: {key.rstrip('`').removeprefix('$.') or 'file'}: {reason}") from error
    for key, reason in problems(scenario):
        raise ScenarioError(f"{name}: {key}: {reason}")
    return scenario


def load(path: str | Path, overrides: list[str] = ()) -> Scenario:
    """Reads and validates a scenario file; a relative trace path counts from the file's folder.

    `overrides` have the form key.path=value, with the value in TOML or as a bare string. Raises
    ScenarioError.
    """
    try:
        text = Path(path).read_bytes()
    except OSError as failure:
        raise ScenarioError(f"{path}: {failure.strerror}") from failure
    scenario = parse(text, str(path))
    if overrides:
        tree = msgspec.to_builtins(scenario)
        for override in overrides:
            apply_override(tree, override, str(path))
        scenario = convert(tree, f"{path} with {', '.join(overrides)}")
    base = Path(path).parent
    if scenario.load.trace is not None and not Path(scenario.load.trace.file).is_absolute():
        scenario.load.trace.file = str(base / scenario.load.trace.file)
    return scenario


def apply_override(tree: dict, override: str, name: str) -> None:
    """Applies one override of the form key.path=value to the tree. Raises ScenarioError."""
    path, separator, text = override.partition("=")
    if not separator:
        raise ScenarioError(f"{name}: {override}: not of the form key=value")
    try:
        value = tomllib.loads(f"v = {text}")["v"]
    except tomllib.TOMLDecodeError:
        value = text
    table, keys = tree, path.strip().split(".")
    try:
        for key in keys[:-1]:
            table = table[int(key)] if isinstance(table, list) else table[key]
        if isinstance(table, list):
            table[int(keys[-1])] = value
        else:
            table[keys[-1]] = value
    except (KeyError, IndexError, ValueError, TypeError) as error:
        raise ScenarioError(f"{name}: {path}: no such key") from error
