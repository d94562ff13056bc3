"""Checks of the table `[quota]` that types alone do not make. Each yields (key, reason) of what is wrong."""

from collections.abc import Iterator

from shedgrade.sidecar.quota.config import LimitTable, NodeTable, Quota
from shedgrade.sidecar.quota.limits import IN_FLIGHT

Problems = Iterator[tuple[str, str]]
WindowKey = tuple[str, float]  # dimension, window in seconds


def problems(quota: Quota) -> Problems:
    """All that is wrong with the table; trees are looked at only if no template contains itself."""
    yield from name_problems(quota, quota.tree, "tree")
    for name, template in quota.templates.items():
        yield from name_problems(quota, template, f"templates.{name}")
    cycles = list(template_cycles(quota))
    if cycles:
        yield from cycles
        return
    yield from node_problems(quota, quota.tree, "tree", None, len(quota.identity))


def name_problems(quota: Quota, node: NodeTable, key: str) -> Problems:
    """Names of templates or siblings that nothing has, and names of nodes that are none."""
    if isinstance(node.template, str):
        if node.template not in quota.templates:
            yield f"{key}.template", f"{node.template!r} is no template; there are {sorted(quota.templates)}"
    elif node.template is not None:
        yield from name_problems(quota, node.template, f"{key}.template")
    for name, child in node.children.items():
        if not name or "/" in name:
            yield f"{key}.children", f"{name!r} is no name: not empty, no slash"
        for other in child.lends_to or ():
            if other not in node.children:
                yield f"{key}.children.{name}.lends_to", f"{other!r} is no sibling"
            elif other == name:
                yield f"{key}.children.{name}.lends_to", "it can't lend to itself"
        yield from name_problems(quota, child, f"{key}.children.{name}")


def template_cycles(quota: Quota) -> Problems:
    """The first template that contains itself."""
    for name, template in quota.templates.items():
        seen: set[str] = set()
        pending = list(templates_used(quota, template))
        while pending:
            used = pending.pop()
            if used == name:
                yield f"templates.{name}", "is a template of itself, by way of others or at once: a cycle"
                return
            if used not in seen:
                seen.add(used)
                pending += templates_used(quota, quota.templates[used])


def templates_used(quota: Quota, node: NodeTable) -> Iterator[str]:
    """Names of the templates that a node and all below it use, as far as there are such."""
    if isinstance(node.template, str):
        if node.template in quota.templates:
            yield node.template
    elif node.template is not None:
        yield from templates_used(quota, node.template)
    for child in node.children.values():
        yield from templates_used(quota, child)


def node_problems(quota: Quota, node: NodeTable, key: str, parent: NodeTable | None, depth: int) -> Problems:
    """Limits of a node and all below it. `depth`: how many names of the identity are left below it."""
    yield from limit_problems(node, key, parent)
    template = quota.resolve_template(node.template)
    if depth == 0 and (node.children or template is not None):
        yield key, f"deeper than identity has names: {len(quota.identity)}"
        return
    yield from guarantee_problems(node, key)
    for name, child in node.children.items():
        yield from node_problems(quota, child, f"{key}.children.{name}", node, depth - 1)
    if template is not None:
        if any(limit.guarantee for limit in template.limits):
            yield f"{key}.template", "has a guarantee: what is made on first use can be guaranteed nothing"
        yield from node_problems(quota, template, f"{key}.template", node, depth - 1)


def limit_problems(node: NodeTable, key: str, parent: NodeTable | None) -> Problems:
    """Each limit of one node by itself, and beside its parent's."""
    seen: set[WindowKey] = set()
    parent_keys = {window_key(limit) for limit in parent.limits} if parent else set()
    for number, limit in enumerate(node.limits):
        place, own = f"{key}.limits[{number}]", window_key(limit)
        if (limit.dimension == IN_FLIGHT) != (limit.window_s == 0):
            yield f"{place}.window_s", "flight has no window, all others have one"
        if own in seen:
            yield place, f"{limit.dimension} over {limit.window_s:g} s stands there twice"
        seen.add(own)
        if limit.guarantee > limit.ceiling:
            yield f"{place}.guarantee", f"{limit.guarantee} is over its ceiling {limit.ceiling}"
        if limit.guarantee and own not in parent_keys:
            yield f"{place}.guarantee", "its parent has no such limit to guarantee a part of"


def guarantee_problems(node: NodeTable, key: str) -> Problems:
    """Guarantees of the children that add up to more than the node itself has."""
    for own, limit in {window_key(limit): limit for limit in node.limits}.items():
        guaranteed = sum(
            one.guarantee
            for child in node.children.values()
            for one in child.limits
            if window_key(one) == own
        )
        if guaranteed > limit.ceiling:
            dimension, window_s = own
            yield (
                f"{key}.children",
                f"guarantees of {dimension} over {window_s:g} s add up to {guaranteed}, over the ceiling "
                f"{limit.ceiling}",
            )


def window_key(limit: LimitTable) -> WindowKey:
    """What tells the limits of one node apart."""
    return limit.dimension, limit.window_s
