"""Limits of a quota, and the terms that apply to a whole tree of them. All numbers are integers."""

from typing import TYPE_CHECKING

from msgspec import Struct, field

if TYPE_CHECKING:
    from shedgrade.sidecar.quota.accounts import Account

IN_FLIGHT = "flight"  # the only dimension without a window: requests in flight
MILLION = 1_000_000  # shares are in millionths


class Limit(Struct, frozen=True):
    """One limit of one node: what is counted, over which window, and how much of it is allowed."""

    dimension: str
    window: int  # tenths of a millisecond; 0 for requests in flight
    ceiling: int  # the most that is ever admitted, borrowed amounts included
    guarantee: int = 0  # the part of the parent's ceiling that is set aside for this node
    weight: int = 1  # of the node, in sharing what no sibling is entitled to

    @property
    def key(self) -> tuple[str, int]:
        """The key of the limit within its node; a parent and a child have the same key for the same limit."""
        return self.dimension, self.window


class LendingTerms(Struct):
    """Terms of lending among siblings, and the fleet's share; all accounts of a tree use one object."""

    reserve: int = 250  # thousandths of each guarantee that are never lent
    repay_windows: int = 10  # every debt is repaid within this many windows of its limit
    share: int = MILLION  # this sidecar's part of every limit, in millionths
    transit: int = 0  # tenths of a millisecond by which windows are longer than configured
    forgiven: int = 0  # sum of the debts that the last reload of the configuration forgave
    guaranteed: dict["Account", None] = field(default_factory=dict)  # accounts that have, or had, a guarantee
