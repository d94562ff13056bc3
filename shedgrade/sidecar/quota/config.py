"""The table `[quota]` of the features file: the tree of limits, the identity of clients, and lending."""

from typing import Annotated, Literal, Union

from msgspec import Meta, Struct, field

Count = Annotated[int, Meta(ge=0, le=2**53)]
# In windows: two for an instalment, two for another one that may be running before it, and one for the
# rounding to slots.
MIN_REPAY_WINDOWS = 5
MAX_REPAY_WINDOWS = 40


class LimitTable(Struct, kw_only=True, forbid_unknown_fields=True):
    """One limit of a node.

    Attributes:
        dimension: requests, work (measured time, ms) or flight (requests in flight, without a window).
        window_s: length of the window, seconds.
        ceiling: the most that is ever admitted.
        guarantee: the part of the parent's ceiling that is kept for the node.
    """

    dimension: Literal["requests", "work", "flight"]
    window_s: Annotated[float, Meta(ge=0, le=86_400)] = 0.0
    ceiling: Count
    guarantee: Count = 0


class NodeTable(Struct, kw_only=True, forbid_unknown_fields=True):
    """One node of the tree.

    Attributes:
        limits: the node's own limits.
        weight: the node's weight in sharing what no sibling is entitled to.
        lends_to: names of the siblings that may borrow what the node leaves unused; all if absent, none if
            empty.
        children: the nodes below this one, by name.
        template: the table from which a child that `children` does not name is made at its first use; given
            as a table, or as the name of one in `[quota.templates]`.
    """

    limits: list[LimitTable] = field(default_factory=list)
    weight: Annotated[int, Meta(ge=1, le=1000)] = 1
    lends_to: list[str] | None = None
    children: dict[str, "NodeTable"] = field(default_factory=dict)
    template: Union["NodeTable", str, None] = None


class Fleet(Struct, kw_only=True, forbid_unknown_fields=True):
    """How the limits are split among the sidecars of a fleet, where a configured share is too rigid.

    Attributes:
        header: the response header in which upstreams report how many RPCs they have answered in total.
        sidecars: the number of sidecars.
        epoch_s: seconds over which parts of the traffic are compared; the same on all sidecars.
        even: the part of every limit that is split evenly among `sidecars`, whatever their traffic.
    """

    header: Annotated[str, Meta(min_length=1)]
    sidecars: Annotated[int, Meta(ge=1, le=1_000_000)]
    epoch_s: Annotated[float, Meta(ge=0.5, le=3600)] = 5.0
    even: Annotated[float, Meta(gt=0, le=1)] = 0.3


class Quota(Struct, kw_only=True, forbid_unknown_fields=True):
    """The table `[quota]`.

    Attributes:
        identity: names of headers, or of attributes in `X-Attrs`, from the outermost to the leaf, e.g.
            ["org", "chain", "store"].
        source: where the identity is read from: attrs (`X-Attrs`), header, or login (the tunnel's user, as
            ORG/CHAIN/STORE).
        share: this sidecar's part of every limit, where the configuration splits the fleet's traffic.
        reserve: the part of each guarantee that is never lent.
        repay_windows: every loan is repaid within this many windows of its limit.
        most: the most leaves made from templates that exist at once.
        estimate_ms: assumed work of an RPC, ms, until its method has been measured.
        transit_ms: by how much the delay to an upstream may vary, ms; windows are extended by as much.
        templates: node tables by name, for `template` of nodes.
        fleet: splits the limits by observed traffic; without it `share` applies.
        tree: the root node.
    """

    identity: Annotated[list[str], Meta(min_length=1)]
    source: Literal["attrs", "header", "login"] = "attrs"
    share: Annotated[float, Meta(gt=0, le=1)] = 1.0
    reserve: Annotated[float, Meta(ge=0, le=1)] = 0.25
    repay_windows: Annotated[int, Meta(ge=MIN_REPAY_WINDOWS, le=MAX_REPAY_WINDOWS)] = 10
    most: Annotated[int, Meta(ge=1, le=1_000_000)] = 50_000
    estimate_ms: Annotated[float, Meta(gt=0)] = 20.0
    transit_ms: Annotated[float, Meta(ge=0, le=1000)] = 20.0
    templates: dict[str, NodeTable] = field(default_factory=dict)
    fleet: Fleet | None = None
    tree: NodeTable

    def resolve_template(self, template: NodeTable | str | None) -> NodeTable | None:
        """Returns the table that a node's `template` names or contains; None without a template."""
        return self.templates[template] if isinstance(template, str) else template
