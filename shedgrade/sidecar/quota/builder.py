"""Builds the tree of quotas from the table `[quota]` at the start, and updates it at a reload."""

from shedgrade.sidecar.quota.config import NodeTable, Quota
from shedgrade.sidecar.quota.limits import MILLION, LendingTerms, Limit
from shedgrade.sidecar.quota.tree import Node, Tree

DEFAULT_LEAF = "others"  # leaf of unknown and missing identities; made if the configuration does not name it


def build_tree(quota: Quota) -> tuple[Tree, Node]:
    """Returns the tree, and the leaf of unknown identities."""
    tree = Tree(Node("all", None, (), LendingTerms(transit=round(quota.transit_ms * 10))))
    return tree, update_tree(tree, quota)


def update_tree(tree: Tree, quota: Quota) -> Node:
    """Makes the tree match the table; returns the leaf of unknown identities."""

    def make_leaf(parent: Node, name: str) -> Node:
        node = Node(name, parent, ())
        assert isinstance(parent.template, NodeTable)
        update_node(quota, node, parent.template)
        return node

    terms = tree.terms
    terms.reserve = round(quota.reserve * 1000)
    terms.repay_windows = quota.repay_windows
    terms.forgiven = 0
    if quota.fleet is None:
        terms.share = round(quota.share * MILLION)
    tree.max_dynamic_leaves = quota.most
    tree.template = make_leaf
    update_node(quota, tree.root, quota.tree)
    if DEFAULT_LEAF not in quota.tree.children:
        default_leaf = tree.root.children.get(DEFAULT_LEAF) or Node(DEFAULT_LEAF, tree.root, ())
        update_node(quota, default_leaf, quota.resolve_template(quota.tree.template) or NodeTable())
    forget_detached_leaves(tree)
    return tree.root.children[DEFAULT_LEAF]


def update_node(quota: Quota, node: Node, table: NodeTable) -> None:
    """Sets a node's limits, template and children; its use and debts are kept."""
    template = quota.resolve_template(table.template)
    node.update_limits(resolve_limits(table, node.parent), template)
    for name in [name for name in node.children if name not in table.children and name != DEFAULT_LEAF]:
        if template is not None:
            update_node(quota, node.children[name], template)
        else:
            remove_child(node, name)
    for name, child_table in table.children.items():
        update_node(quota, node.children.get(name) or Node(name, node, ()), child_table)
    update_lenders(node, table)


def remove_child(node: Node, name: str) -> None:
    """Removes a child that the configuration no longer names.

    Requests in flight under it still settle, as their tickets refer to it.
    """
    for descendant in node.children[name].walk():
        node.terms.forgiven += sum(account.retire() for account in descendant.accounts.values())
    del node.children[name]


def update_lenders(node: Node, table: NodeTable) -> None:
    """Sets for each child of this node which siblings do not lend to it."""
    for name, child_table in table.children.items():
        if child_table.lends_to is not None:
            for account in node.children[name].accounts.values():
                account.lends_to = frozenset(child_table.lends_to)
    for name in table.children:
        for key, account in node.children[name].accounts.items():
            siblings = [
                other.accounts[key]
                for other_name, other in node.children.items()
                if other_name != name and key in other.accounts
            ]
            account.non_lenders = tuple(
                other for other in siblings if other.lends_to is not None and name not in other.lends_to
            )


def resolve_limits(table: NodeTable, parent: Node | None) -> tuple[Limit, ...]:
    """Returns the limits of the table, and the parent's ceiling for each limit that only the parent has.

    So a child without a limit of its own has an account too, and competes with the siblings that have one.
    """
    limits = [
        Limit(
            limit_table.dimension,
            round(limit_table.window_s * 10_000),
            limit_table.ceiling,
            limit_table.guarantee,
            table.weight,
        )
        for limit_table in table.limits
    ]
    keys = {limit.key for limit in limits}
    inherited = parent.limits if parent is not None else ()
    limits.extend(
        Limit(limit.dimension, limit.window, limit.ceiling, 0, table.weight)
        for limit in inherited
        if limit.key not in keys
    )
    return tuple(limits)


def forget_detached_leaves(tree: Tree) -> None:
    """Drops the dynamic leaves whose parents are no longer in the tree."""
    tree.dynamic_leaves = {
        key: node
        for key, node in tree.dynamic_leaves.items()
        if node.parent is not None
        and node.parent.children.get(node.name) is node
        and key[0] == id(node.parent)
    }
