"""The table `[quota]` of the features file: the tree, who is asking, what is lent; checked as a whole."""

from collections.abc import Iterator
from typing import Annotated, Literal, Union

from msgspec import Meta, Struct, field

from shedgrade.sidecar.quota.accounts import FLIGHT, Limit, Terms
from shedgrade.sidecar.quota.tree import Node, Tree, drop

Count = Annotated[int, Meta(ge=0, le=2**53)]
OTHERS = "others"  # the leaf of unknown and missing identities, where the configuration names none
LEAST_REPAY, MOST_REPAY = (
    5,
    40,
)  # windows: two for an instalment, two for one that may just run, and what parts
# round off, a part of the window an instalment


class LimitTable(Struct, kw_only=True, forbid_unknown_fields=True):
    """`dimension`: requests, work (ms of measured time) or flight (held now, no window). `window_s`: seconds.

    `ceiling`: never more than this. `guarantee`: this much of the parent's is kept for the node.
    """

    dimension: Literal["requests", "work", "flight"]
    window_s: Annotated[float, Meta(ge=0, le=86_400)] = 0.0
    ceiling: Count
    guarantee: Count = 0


class NodeTable(Struct, kw_only=True, forbid_unknown_fields=True):
    """`children` by name; `template`, inline or the name of one of `[quota.templates]`, for those that no
    name
    is given, made at their first use. `weight`: its part of what nobody is entitled to. `lends_to`: siblings
    that may borrow what it leaves idle; all where it is left out, nobody where it is empty."""

    limits: list[LimitTable] = field(default_factory=list)
    weight: Annotated[int, Meta(ge=1, le=1000)] = 1
    lends_to: list[str] | None = None
    children: dict[str, "NodeTable"] = field(default_factory=dict)
    template: Union["NodeTable", str, None] = None


class Fleet(Struct, kw_only=True, forbid_unknown_fields=True):
    """How the limits are split among the sidecars that see them, where a share by settings is too rigid.

    `header`: with this, upstreams tell on each answer how many RPCs they have answered in all.
    `epoch_s`: seconds over which parts are compared; the same for all. `even`: the part of every limit that
    is
    split evenly among `sidecars`, whoever has traffic.
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
    repay_windows: Annotated[int, Meta(ge=LEAST_REPAY, le=MOST_REPAY)] = 10
    most: Annotated[int, Meta(ge=1, le=1_000_000)] = 50_000
    estimate_ms: Annotated[float, Meta(gt=0)] = 20.0
    transit_ms: Annotated[float, Meta(ge=0, le=1000)] = 20.0
    templates: dict[str, NodeTable] = field(default_factory=dict)
    fleet: Fleet | None = None
    tree: NodeTable

    def named(self, template: NodeTable | str | None) -> NodeTable | None:
        return self.templates[template] if isinstance(template, str) else template


# --- checks


def problems(quota: Quota) -> Iterator[tuple[str, str]]:
    """Yields (key, reason) of what types alone do not show."""
    for key, node in [
        ("tree", quota.tree),
        *((f"templates.{name}", one) for name, one in quota.templates.items()),
    ]:
        yield from names(quota, node, key)
    if round_trips := list(cycles(quota)):
        yield from round_trips
        return
    yield from node_problems(quota, quota.tree, "tree", None, len(quota.identity))


def names(quota: Quota, node: NodeTable, key: str) -> Iterator[tuple[str, str]]:
    """Names that nothing has."""
    if isinstance(node.template, str):
        if node.template not in quota.templates:
            yield f"{key}.template", f"{node.template!r} is no template; there are {sorted(quota.templates)}"
    elif node.template is not None:
        yield from names(quota, node.template, f"{key}.template")
    for name, child in node.children.items():
        if not name or "/" in name:
            yield f"{key}.children", f"{name!r} is no name: not empty, no slash"
        for other in child.lends_to or ():
            if other not in node.children:
                yield f"{key}.children.{name}.lends_to", f"{other!r} is no sibling"
            elif other == name:
                yield f"{key}.children.{name}.lends_to", "it can't lend to itself"
        yield from names(quota, child, f"{key}.children.{name}")


def cycles(quota: Quota) -> Iterator[tuple[str, str]]:
    def used(node: NodeTable) -> Iterator[str]:
        if isinstance(node.template, str):
            if node.template in quota.templates:
                yield node.template
        elif node.template is not None:
            yield from used(node.template)
        for child in node.children.values():
            yield from used(child)

    for name in quota.templates:
        seen, left = set(), [*used(quota.templates[name])]
        while left:
            one = left.pop()
            if one == name:
                yield f"templates.{name}", "is a template of itself, by way of others or at once: a cycle"
                return
            if one not in seen:
                seen.add(one)
                left += used(quota.templates[one])


def node_problems(
    quota: Quota, node: NodeTable, key: str, parent: NodeTable | None, depth: int
) -> Iterator[tuple[str, str]]:
    seen = set()
    above = {(one.dimension, one.window_s): one for one in parent.limits} if parent else {}
    for number, one in enumerate(node.limits):
        place, own = f"{key}.limits[{number}]", (one.dimension, one.window_s)
        if (one.dimension == FLIGHT) != (one.window_s == 0):
            yield f"{place}.window_s", "flight has no window, all others have one"
        if own in seen:
            yield place, f"{one.dimension} over {one.window_s:g} s stands there twice"
        seen.add(own)
        if one.guarantee > one.ceiling:
            yield f"{place}.guarantee", f"{one.guarantee} is over its ceiling {one.ceiling}"
        if one.guarantee and own not in above:
            yield f"{place}.guarantee", "its parent has no such limit to guarantee a part of"
    template = quota.named(node.template)
    if depth == 0 and (node.children or template is not None):
        yield key, f"deeper than identity has names: {len(quota.identity)}"
        return
    for own, limit in {(one.dimension, one.window_s): one for one in node.limits}.items():
        kept = sum(
            one.guarantee
            for child in node.children.values()
            for one in child.limits
            if (one.dimension, one.window_s) == own
        )
        if kept > limit.ceiling:
            yield (
                f"{key}.children",
                f"guarantees of {own[0]} over {own[1]:g} s add up to {kept}, over the ceiling "
                f"{limit.ceiling}",
            )
    for name, child in node.children.items():
        yield from node_problems(quota, child, f"{key}.children.{name}", node, depth - 1)
    if template is not None:
        if any(one.guarantee for one in template.limits):
            yield f"{key}.template", "has a guarantee: what is made on first use can be guaranteed nothing"
        yield from node_problems(quota, template, f"{key}.template", node, depth - 1)


# --- building


def limits(table: NodeTable, parent: Node | None) -> tuple[Limit, ...]:
    """Its own, and for whatever only its parent limits, the parent's ceiling: so siblings that have no limit
    of their own count among those that have."""
    own = [
        Limit(one.dimension, round(one.window_s * 10_000), one.ceiling, one.guarantee, table.weight)
        for one in table.limits
    ]
    keys = {one.key for one in own}
    inherited = parent.limits if parent is not None else ()
    own.extend(
        Limit(limit.dimension, limit.window, limit.ceiling, 0, table.weight)
        for limit in inherited
        if limit.key not in keys
    )
    return tuple(own)


def fill(quota: Quota, node: Node, table: NodeTable) -> None:
    """Gives a node its limits, its template and its children; what it has counted and owes stays."""
    template = quota.named(table.template)
    node.become(limits(table, node.parent), template)
    for name in [name for name in node.children if name not in table.children and name != OTHERS]:
        child = node.children[name]
        if template is not None:
            fill(quota, child, template)
        else:
            # RPCs in flight under it still settle: their tickets hold it.
            for one in child.walk():
                node.terms.forgiven += sum(drop(account) for account in one.accounts.values())
            del node.children[name]
    for name, under in table.children.items():
        fill(quota, node.children.get(name) or Node(name, node, ()), under)
    for name, under in table.children.items():
        if under.lends_to is not None:
            for account in node.children[name].accounts.values():
                account.lends = frozenset(under.lends_to)
    for name in table.children:
        for key, account in node.children[name].accounts.items():
            account.never = tuple(
                other.accounts[key]
                for other_name, other in node.children.items()
                if other_name != name
                and key in other.accounts
                and other.accounts[key].lends is not None
                and name not in other.accounts[key].lends
            )


def build(quota: Quota) -> tuple[Tree, Node]:
    """The tree, and the leaf of whoever is unknown."""
    tree = Tree(Node("all", None, (), Terms(transit=round(quota.transit_ms * 10))))
    return tree, renew(tree, quota)


def renew(tree: Tree, quota: Quota) -> Node:
    """Makes the tree what the table says; returns the leaf of whoever is unknown."""

    def template(parent: Node, name: str) -> Node:
        node = Node(name, parent, ())
        fill(quota, node, parent.template)
        return node

    terms = tree.terms
    terms.reserve, terms.repay_windows = round(quota.reserve * 1000), quota.repay_windows
    if quota.fleet is None:
        terms.share = round(quota.share * 1_000_000)
    tree.most, tree.template, terms.forgiven = quota.most, template, 0
    fill(quota, tree.root, quota.tree)
    if OTHERS not in quota.tree.children:
        known = tree.root.children.get(OTHERS) or Node(OTHERS, tree.root, ())
        fill(quota, known, quota.named(quota.tree.template) or NodeTable())
    # Made leaves that went with their parents are no longer to be found.
    tree.made = {
        key: node
        for key, node in tree.made.items()
        if node.parent.children.get(node.name) is node and key[0] == id(node.parent)
    }
    return tree.root.children[OTHERS]
