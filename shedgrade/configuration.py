"""The data model of the operators' configuration, and parsing of bytes that were validated before.

Source: PROTOCOL, "The operator's API". The control plane validates configurations with pyserde
(`controlplane.configuration_validation`). Data planes receive only valid ones and parse them here without
pyserde, because importing it alone costs time and memory. The name of a field on the wire is in the field's
metadata, under the key that pyserde reads.
"""

from contextlib import suppress
from dataclasses import MISSING, Field, dataclass, field, fields
from functools import cache
from typing import Any

import msgspec

# Classes of routes, as on the wire.
SAFE = "safe"  # idempotent
UNSAFE = "unsafe"
STREAMING = "streaming"
UNLIMITED = 1 << 30  # for limits that the operator leaves out
# Times, sizes and rates beyond this are used as this one, which means the same (31,000 years in ms): data
# planes multiply and add them, which must not overflow.
LARGEST_NUMBER = 1e15


def wire(name: str, kind: object, exact: bool = False, **default: Any) -> Any:
    """Declares a field that is called `name` on the wire. `kind`: str, int, float, bool, a model, or a list
    with one of them. `exact`: a number of any size is used as it is written, because only its proportion to
    others counts. A field that is absent or null gets the default; if it has none, it is required."""
    return field(metadata={"serde_rename": name, "kind": kind, "exact": exact}, **default)


@dataclass(frozen=True, slots=True)
class Split:
    """A service that gets a part of a route's requests, in proportion to the weights."""

    service: str = wire("service", str)
    weight: float = wire("weight", float, exact=True)


@dataclass(frozen=True, slots=True)
class Route:
    """Which service requests for a host and a path go to, and how they may be handled.

    Attributes:
        route_class: SAFE, UNSAFE or STREAMING; any other value is treated as UNSAFE.
        timeout_ms: time limit of a request with all its attempts.
        target_ms: latency target of a response.
        priority: 0 is the most urgent.
        max_attempts: maximum number of attempts of one request.
        resumable: whether a stream may be continued at another upstream.
        event_gap_target_ms: latency target between two events of a stream; 0 for none.
        home_regions: the only regions in which the route may be served; empty for all.
        rate_per_s: expected rate of requests; 0 if not known.
    """

    host: str = wire("host", str)
    path_prefix: str = wire("pathPrefix", str)
    name: str = wire("name", str, default="")
    route_class: str = wire("routeClass", str, default=UNSAFE)
    timeout_ms: float = wire("timeoutMs", float, default=60_000)
    target_ms: float = wire("targetMs", float, default=1_000)
    priority: int = wire("priority", int, default=5)
    service: str | None = wire("service", str, default=None)
    weighted_split: list[Split] = wire("weightedSplit", [Split], default_factory=list)
    max_attempts: int = wire("maxAttempts", int, default=1)
    session_affinity: bool = wire("sessionAffinity", bool, default=False)
    resumable: bool = wire("resumable", bool, default=False)
    event_gap_target_ms: float = wire("gap_aim_ms", float, default=0)
    home_regions: list[str] = wire("homeRegions", [str], default_factory=list)
    rate_per_s: float = wire("ratePerS", float, default=0)

    def weights(self) -> dict[str, int]:
        """Whole numbers in the exact proportion of the weights of the route's services, by name. A service of
        weight 0 gets no requests and is left out.

        >>> halves = [Split("a", 0.5), Split("b", 0.25), Split("b", 0.25), Split("c", 0.0)]
        >>> Route("host", "/", weighted_split=halves).weights()
        {'a': 2, 'b': 2}
        """
        if not self.weighted_split:
            return {self.service: 1}  # type: ignore[dict-item]  # validated: without a split it has a service
        ratios = [(split.service, split.weight.as_integer_ratio()) for split in self.weighted_split]
        # The denominator of a double is a power of two, so the largest one is a multiple of each.
        denominator = max(divisor for _, (_, divisor) in ratios)
        weights: dict[str, int] = {}
        for service, (numerator, divisor) in ratios:
            if numerator > 0:
                weights[service] = weights.get(service, 0) + numerator * (denominator // divisor)
        return weights

    def shares(self) -> dict[str, float]:
        """The part of the route's requests that each service gets, by name.

        >>> Route("host", "/", weighted_split=[Split("a", 5e-324), Split("b", 5e-324)]).shares()
        {'a': 0.5, 'b': 0.5}
        """
        weights = self.weights()
        total = sum(weights.values())
        return {service: weight / total for service, weight in weights.items()}

    def is_idempotent(self) -> bool:
        """Whether a request may be retried at another upstream although the first may have executed it."""
        return self.route_class == SAFE or (self.route_class == STREAMING and self.resumable)


@dataclass(frozen=True, slots=True)
class Model:
    """A language model that an inference engine serves."""

    name: str = wire("name", str, default="")


@dataclass(frozen=True, slots=True)
class InferenceEngine:
    """The inference engine of a service whose upstreams run a language model; 0 stands for not known.

    Attributes:
        capacity_slots: number of requests that run at once.
        kv_capacity_tokens: size of the KV cache, in tokens.
        kv_bytes: size of one token in the KV cache, in bytes.
        stride: number of tokens in one event of a stream.
    """

    capacity_slots: int = wire("capacitySlots", int, default=0)
    kv_capacity_tokens: int = wire("kvCapacityTokens", int, default=0)
    kv_bytes: float = wire("kvBytes", float, default=0)
    link_mbps: float = wire("linkMbps", float, default=0)
    stride: float = wire("stride", float, default=0)
    model_list: list[Model] = wire("modelList", [Model], default_factory=list)


@dataclass(frozen=True, slots=True)
class Service:
    """A service, whose upstreams are interchangeable.

    Attributes:
        max_connections: number of connections that one upstream accepts from all callers together.
        cold_start_s: duration of a new upstream's warm-up (slow start); 0 if it needs none.
        cold_rate_s: requests per second that an upstream can take while it warms up.
    """

    name: str = wire("name", str)
    health_path: str = wire("healthPath", str, default="/health")
    max_connections: int = wire("maxConnections", int, default=UNLIMITED)
    protocol: str = wire("protocol", str, default="h1")
    tls: bool = wire("tls", bool, default=False)
    cold_start_s: float = wire("coldStartS", float, default=0)
    cold_rate_s: float = wire("coldRateS", float, default=0)
    inference_engine: InferenceEngine | None = wire("inferenceEngine", InferenceEngine, default=None)


@dataclass(frozen=True, slots=True)
class Limits:
    """What a client may send, in bytes, and how long it may take or stay idle, in milliseconds."""

    header_bytes: int = wire("headerBytes", int, default=16 * 1024)
    body_bytes: int = wire("bodyBytes", int, default=4 * 1024 * 1024)
    header_timeout_ms: float = wire("headerTimeoutMs", float, default=3_000)
    idle_timeout_ms: float = wire("idleTimeoutMs", float, default=15_000)


@dataclass(frozen=True, slots=True)
class Configuration:
    """A complete configuration; `version` rises with each change, not always by one."""

    version: int = wire("configVersion", int)
    routes: list[Route] = wire("routeList", [Route])
    services: list[Service] = wire("serviceList", [Service])
    limits: Limits = wire("limits", Limits, default_factory=Limits)


@dataclass(frozen=True, slots=True)
class FieldLayout:
    """A field of a model, as `wire` declared it.

    Attributes:
        attribute: name of the field in Python.
        name: name of the field on the wire.
        kind: as given to `wire`.
        nested: model that the field holds one or a list of; None if it holds other values.
        required: whether it has no default.
        exact: whether its number is used as it is written, whatever its size.
    """

    attribute: str
    name: str
    kind: object
    nested: type | None
    required: bool
    exact: bool = False

    def limited(self, value: Any) -> Any:
        """The value that is used for this one: a number up to LARGEST_NUMBER, unless the field is exact."""
        if self.kind is not float or self.exact:
            return value
        return min(max(value, -LARGEST_NUMBER), LARGEST_NUMBER)


@cache
def layout(model: type) -> tuple[FieldLayout, ...]:
    """The fields of `Configuration` or of a model in it."""

    def describe(model_field: Field[Any]) -> FieldLayout:
        """The layout of one field, from its metadata."""
        kind = model_field.metadata["kind"]
        inner = kind[0] if isinstance(kind, list) else kind
        nested = inner if inner not in (str, int, float, bool) else None
        required = model_field.default is MISSING and model_field.default_factory is MISSING
        metadata = model_field.metadata
        return FieldLayout(
            model_field.name, metadata["serde_rename"], kind, nested, required, metadata["exact"]
        )

    return tuple(describe(model_field) for model_field in fields(model))


def build(model: type, data: dict[str, Any]) -> Any:
    """A model from a decoded JSON object that was validated before; unknown fields are ignored, and numbers
    are limited as `FieldLayout.limited` says."""
    values = {}
    for model_field in layout(model):
        value = data.get(model_field.name)
        if value is None:
            continue
        if model_field.nested is not None:
            value = (
                [build(model_field.nested, element) for element in value]
                if isinstance(value, list)
                else build(model_field.nested, value)
            )
        elif model_field.kind is int:
            value = int(value)
        values[model_field.attribute] = model_field.limited(value)
    return model(**values)


@dataclass(frozen=True, slots=True)
class ValidItems:
    """What could be built of a configuration.

    Attributes:
        configuration: with the items that could be built.
        invalid_routes: host and path prefix of each route that could not, if it has both.
    """

    configuration: Configuration
    invalid_routes: list[tuple[str, str]]


def parse_valid_items(raw: bytes) -> ValidItems:
    """As `parse`, but leaves out the routes, services and limits that can't be built. The same exceptions if
    nothing can be."""
    data = msgspec.json.decode(raw)
    invalid_routes: list[tuple[str, str]] = []
    routes = []
    for item in data["routeList"]:
        try:
            routes.append(build(Route, item))
        except (ValueError, TypeError, AttributeError):
            host = item.get("host") if isinstance(item, dict) else None
            path_prefix = item.get("pathPrefix") if isinstance(item, dict) else None
            if isinstance(host, str) and isinstance(path_prefix, str):
                invalid_routes.append((host, path_prefix))
    services = []
    for item in data["serviceList"]:
        with suppress(ValueError, TypeError, AttributeError):
            services.append(build(Service, item))
    limits = Limits()
    with suppress(ValueError, TypeError, AttributeError):
        limits = build(Limits, data.get("limits") or {})
    return ValidItems(Configuration(int(data["configVersion"]), routes, services, limits), invalid_routes)


def parse(raw: bytes) -> Configuration:
    """The configuration in bytes that a control plane has validated. Bytes that were not validated may raise
    ValueError, TypeError or AttributeError, which don't tell what is wrong."""
    return build(Configuration, msgspec.json.decode(raw))
