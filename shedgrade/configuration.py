"""The operator's configuration: its models, and reading of bytes that have been checked already.

Source: PROTOCOL, "The operator's API". The control plane checks (`shedgrade.controlplane.configuration`, by
pyserde); data planes get only what was checked, and read it here without pyserde, whose import alone costs
them time and memory. A field's name on the wire stands in its metadata, under the key that pyserde looks at.
"""

from dataclasses import MISSING, dataclass, field, fields
from functools import cache
from typing import Any

import msgspec

SAFE, UNSAFE, STREAMING = "safe", "unsafe", "streaming"
NO_BOUND = 1 << 30  # where the operator says none


def wire(name: str, kind: object, **default: Any) -> Any:
    """A field called `name` on the wire. `kind`: str, int, float or bool, a model, or a list of one of them;
    an absent field, or a null, has the default, and is a finding where there is none."""
    return field(metadata={"serde_rename": name, "kind": kind}, **default)


@dataclass(frozen=True, slots=True)
class Split:
    """One of the services among which a route's requests are split, in proportion to the weights."""

    service: str = wire("service", str)
    weight: float = wire("weight", float)


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests for a host and a path go, and what may be done with them; times in ms.

    `route_class`: SAFE, UNSAFE or STREAMING; a word not known here is to be treated as UNSAFE. `priority`: 0
    is the most urgent. `gap_aim_ms`: of streams, the longest pause between events of an answer in time; 0:
    none told. `rate_per_s`: 0: none told.
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
    gap_aim_ms: float = wire("gap_aim_ms", float, default=0)
    home_regions: list[str] = wire("homeRegions", [str], default_factory=list)
    rate_per_s: float = wire("ratePerS", float, default=0)

    def weights(self) -> dict[str, float]:
        """The services that requests may go to, with their weights; a service of weight 0 gets none."""
        if not self.weighted_split:
            return {self.service: 1}
        weights: dict[str, float] = {}
        for split in self.weighted_split:
            weights[split.service] = weights.get(split.service, 0) + split.weight
        return weights

    def repeatable(self) -> bool:
        """A try may be sent to a second upstream after the first may have run it."""
        return self.route_class == SAFE or (self.route_class == STREAMING and self.resumable)


@dataclass(frozen=True, slots=True)
class Model:
    """A language model that an engine serves."""

    name: str = wire("name", str, default="")


@dataclass(frozen=True, slots=True)
class InferenceEngine:
    """What a service's upstreams are where they run a language model. `kv_bytes`: of a token; `stride`:
    tokens that an event of a stream holds; 0: not told."""

    capacity_slots: int = wire("capacitySlots", int, default=0)
    kv_capacity_tokens: int = wire("kvCapacityTokens", int, default=0)
    kv_bytes: float = wire("kvBytes", float, default=0)
    link_mbps: float = wire("linkMbps", float, default=0)
    stride: float = wire("stride", float, default=0)
    model_list: list[Model] = wire("modelList", [Model], default_factory=list)


@dataclass(frozen=True, slots=True)
class Service:
    """Upstreams that are alike. `max_connections`: an upstream accepts from all callers together; a cold one
    bears `cold_rate_s` requests a second for `cold_start_s` seconds, 0: it is never cold."""

    name: str = wire("name", str)
    health_path: str = wire("healthPath", str, default="/health")
    max_connections: int = wire("maxConnections", int, default=NO_BOUND)
    protocol: str = wire("protocol", str, default="h1")
    tls: bool = wire("tls", bool, default=False)
    cold_start_s: float = wire("coldStartS", float, default=0)
    cold_rate_s: float = wire("coldRateS", float, default=0)
    inference_engine: InferenceEngine | None = wire("inferenceEngine", InferenceEngine, default=None)


@dataclass(frozen=True, slots=True)
class Limits:
    """What a client may send, in bytes, and how long it may take or stay idle, in ms."""

    header_bytes: int = wire("headerBytes", int, default=16 * 1024)
    body_bytes: int = wire("bodyBytes", int, default=4 * 1024 * 1024)
    header_timeout_ms: float = wire("headerTimeoutMs", float, default=3_000)
    idle_timeout_ms: float = wire("idleTimeoutMs", float, default=15_000)


@dataclass(frozen=True, slots=True)
class Configuration:
    """A complete configuration; `version` rises by uneven steps."""

    version: int = wire("configVersion", int)
    routes: list[Route] = wire("routeList", [Route])
    services: list[Service] = wire("serviceList", [Service])
    limits: Limits = wire("limits", Limits, default_factory=Limits)


@dataclass(frozen=True, slots=True)
class Field:
    """Of a model, as `wire` told it. `nested`: the model that it holds, or holds a list of; `required`: it
    has no default."""

    attribute: str
    name: str
    kind: object
    nested: type | None
    required: bool


@cache
def layout(model: type) -> tuple[Field, ...]:
    """The fields of one of the models above."""

    def described(one) -> Field:
        kind = one.metadata["kind"]
        inner = kind[0] if isinstance(kind, list) else kind
        nested = inner if inner not in (str, int, float, bool) else None
        required = one.default is MISSING and one.default_factory is MISSING
        return Field(one.name, one.metadata["serde_rename"], kind, nested, required)

    return tuple(described(one) for one in fields(model))


def build(model: type, data: dict[str, Any]) -> Any:
    """A model from what JSON said of it; what is not known is left out. Only for what was checked."""
    values = {}
    for one in layout(model):
        value = data.get(one.name)
        if value is None:
            continue
        if one.nested is not None:
            value = (
                [build(one.nested, part) for part in value]
                if isinstance(value, list)
                else build(one.nested, value)
            )
        elif one.kind is int:
            value = int(value)
        values[one.attribute] = value
    return model(**values)


def parse(raw: bytes) -> Configuration:
    """The configuration in bytes that a control plane has checked. Raises ValueError,
    TypeError or AttributeError on some others, of which they say only that they are none."""
    return build(Configuration, msgspec.json.decode(raw))
