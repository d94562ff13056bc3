"""Checks of the table `[quota]` that its types do not make. Each check yields (key, reason) of a problem."""

from collections.abc import Iterator

from shedgrade.sidecar.quota.config import LimitTable, NodeTable, Quota
from shedgrade.sidecar.quota.limits import IN_FLIGHT

Problems = Iterator[tuple[str, str]]
WindowKey = tuple[str, float]  # dimension, window in seconds


def find_problems(quota: Quota) -> Problems:
    """Yields all problems of the table; limits are checked only if no template contains itself."""
    yield from name_problems(quota, quota.tree, "tree")
    for name, template in quota.templates.items():
        yield from name_problems(quota, template, f"templates.{name}")
    cycles = list(template_cycles(quota))
    if cycles:
        yield from cycles
        return
    yield from node_problems(quota, quota.tree, "tree", None, len(quota.identity))


def name_problems(quota: Quota, node: NodeTable, key: str) -> Problems:
    """Yields references to templates or siblings that do not exist, and invalid names of nodes."""
    if isinstance(node.template, str):
        if node.template not in quota.templates:
            yield f"{key}.template", f"no template {node.template!r}; there are {sorted(quota.templates)}"
    elif node.template is not None:
        yield from name_problems(quota, node.template, f"{key}.template")
    for name, child in node.children.items():
        if not name or "/" in name:
            yield f"{key}.children", f"{name!r} is not a valid name: it is empty or contains a slash"
        for sibling in child.lends_to or ():
            if sibling not in node.children:
                yield f"{key}.children.{name}.lends_to", f"no sibling is named {sibling!r}"
            elif sibling == name:
                yield f"{key}.children.{name}.lends_to", "a node can't lend to itself"
        yield from name_problems(quota, child, f"{key}.children.{name}")


def template_cycles(quota: Quota) -> Problems:
    """Yields the first template that contains itself."""
    for name, template in quota.templates.items():
        seen: set[str] = set()
        pending = list(templates_used(quota, template))
        while pending:
            used = pending.pop()
            if used == name:
                yield f"templates.{name}", "the template contains itself, directly or through other templates"
                return
            if used not in seen:
                seen.add(used)
                pending += templates_used(quota, quota.templates[used])


def templates_used(quota: Quota, node: NodeTable) -> Iterator[str]:
    """Yields the names of the existing templates that a node and all nodes below it use."""
    if isinstance(node.template, str):
        if node.template in quota.templates:
            yield node.template
    elif node.template is not None:
        yield from templates_used(quota, node.template)
    for child in node.children.values():
        yield from templates_used(quota, child)


def node_problems(quota: Quota, node: NodeTable, key: str, parent: NodeTable | None, depth: int) -> Problems:
    """Yields problems of the limits of a node and all nodes below it.

    `depth`: how many names of the identity are left below the node.
    """
    yield from limit_problems(node, key, parent)
    template = quota.resolve_template(node.template)
    if depth == 0 and (node.children or template is not None):
        yield key, f"the tree is deeper than identity, which has {len(quota.identity)} names"
        return
    yield from guarantee_problems(node, key)
    for name, child in node.children.items():
        yield from node_problems(quota, child, f"{key}.children.{name}", node, depth - 1)
    if template is not None:
        if any(limit.guarantee for limit in template.limits):
            yield f"{key}.template", "a template can't have a guarantee, as its nodes are made at first use"
        yield from node_problems(quota, template, f"{key}.template", node, depth - 1)


def limit_problems(node: NodeTable, key: str, parent: NodeTable | None) -> Problems:
    """Yields problems of each limit of a node, by itself and against the parent's limits."""
    seen: set[WindowKey] = set()
    parent_keys = {window_key(limit) for limit in parent.limits} if parent else set()
    for number, limit in enumerate(node.limits):
        limit_path, limit_key = f"{key}.limits[{number}]", window_key(limit)
        if (limit.dimension == IN_FLIGHT) != (limit.window_s == 0):
            yield f"{limit_path}.window_s", "flight must have no window, all other dimensions need one"
        if limit_key in seen:
            yield limit_path, f"{limit.dimension} over {limit.window_s:g} s is limited twice"
        seen.add(limit_key)
        if limit.guarantee > limit.ceiling:
            yield f"{limit_path}.guarantee", f"{limit.guarantee} exceeds its ceiling {limit.ceiling}"
        if limit.guarantee and limit_key not in parent_keys:
            yield f"{limit_path}.guarantee", "the parent has no limit of this dimension and window"


def guarantee_problems(node: NodeTable, key: str) -> Problems:
    """Yields each limit of a node whose children's guarantees add up to more than its ceiling."""
    for limit_key, limit in {window_key(limit): limit for limit in node.limits}.items():
        guaranteed = sum(
            child_limit.guarantee
            for child in node.children.values()
            for child_limit in child.limits
            if window_key(child_limit) == limit_key
        )
        if guaranteed > limit.ceiling:
            dimension, window_s = limit_key
            yield (
                f"{key}.children",
                f"guarantees of {dimension} over {window_s:g} s add up to {guaranteed}, above the ceiling "
                f"{limit.ceiling}",
            )


def window_key(limit: LimitTable) -> WindowKey:
    """Returns the dimension and the window in seconds, which identify a limit within its node."""
    return limit.dimension, limit.window_s
