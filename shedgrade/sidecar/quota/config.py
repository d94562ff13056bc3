"""The table `[quota]` of the features file: the tree, who is asking, what is lent."""

from typing import Annotated, Literal, Union

from msgspec import Meta, Struct, field

Count = Annotated[int, Meta(ge=0, le=2**53)]
# Windows: two for an instalment, two for one that may just run, and what slots round off.
LEAST_REPAY_WINDOWS = 5
MOST_REPAY_WINDOWS = 40


class LimitTable(Struct, kw_only=True, forbid_unknown_fields=True):
    """`dimension`: requests, work (ms of measured time) or flight (in flight now, no window).

    `window_s`: seconds. `ceiling`: never more than this. `guarantee`: this much of the parent's is kept for
    the node.
    """

    dimension: Literal["requests", "work", "flight"]
    window_s: Annotated[float, Meta(ge=0, le=86_400)] = 0.0
    ceiling: Count
    guarantee: Count = 0


class NodeTable(Struct, kw_only=True, forbid_unknown_fields=True):
    """`children` by name; `template`, inline or the name of one of `[quota.templates]`, for those that it
    does not name, made at their first use. `weight`: its part of what nobody is entitled to.

    `lends_to`: siblings that may borrow what it leaves idle; all where it is left out, nobody where it is
    empty.
    """

    limits: list[LimitTable] = field(default_factory=list)
    weight: Annotated[int, Meta(ge=1, le=1000)] = 1
    lends_to: list[str] | None = None
    children: dict[str, "NodeTable"] = field(default_factory=dict)
    template: Union["NodeTable", str, None] = None


class Fleet(Struct, kw_only=True, forbid_unknown_fields=True):
    """How the limits are split among the sidecars that see them, where a share by settings is too rigid.

    `header`: with this, upstreams tell on each answer how many RPCs they have answered in all.
    `epoch_s`: seconds over which parts are compared; the same for all. `even`: the part of every limit
    that is split evenly among `sidecars`, whoever has traffic.
    """

    header: Annotated[str, Meta(min_length=1)]
    sidecars: Annotated[int, Meta(ge=1, le=1_000_000)]
    epoch_s: Annotated[float, Meta(ge=0.5, le=3600)] = 5.0
    even: Annotated[float, Meta(gt=0, le=1)] = 0.3


class Quota(Struct, kw_only=True, forbid_unknown_fields=True):
    """`identity`: the header or `X-Attrs` names, from the outermost to the leaf, e.g. ["org", "chain",
    "store"]. `source`: attrs (`X-Attrs`), header, or login (the tunnel's user, as ORG/CHAIN/STORE).

    `share`: the part of every limit that is this sidecar's, as the fleet's traffic is split by settings.
    `reserve`: the part of a guarantee that is never lent. `repay_windows`: every loan is repaid within so
    many of its windows. `most`: leaves made from templates at once. `estimate_ms`: work of an RPC of which
    nothing is known yet. `transit_ms`: by how much the way to an upstream may vary: windows are as much
    longer.
    """

    identity: Annotated[list[str], Meta(min_length=1)]
    source: Literal["attrs", "header", "login"] = "attrs"
    share: Annotated[float, Meta(gt=0, le=1)] = 1.0
    reserve: Annotated[float, Meta(ge=0, le=1)] = 0.25
    repay_windows: Annotated[int, Meta(ge=LEAST_REPAY_WINDOWS, le=MOST_REPAY_WINDOWS)] = 10
    most: Annotated[int, Meta(ge=1, le=1_000_000)] = 50_000
    estimate_ms: Annotated[float, Meta(gt=0)] = 20.0
    transit_ms: Annotated[float, Meta(ge=0, le=1000)] = 20.0
    templates: dict[str, NodeTable] = field(default_factory=dict)
    fleet: Fleet | None = None
    tree: NodeTable

    def resolve_template(self, template: NodeTable | str | None) -> NodeTable | None:
        """The table that a node's `template` names, or has inline."""
        return self.templates[template] if isinstance(template, str) else template
