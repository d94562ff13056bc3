"""Limits of a quota, and the terms that hold for a whole tree of them. Whole numbers throughout."""

from typing import TYPE_CHECKING

from msgspec import Struct, field

if TYPE_CHECKING:
    from shedgrade.sidecar.quota.accounts import Account

IN_FLIGHT = "flight"  # the one dimension without a window: requests in flight
MILLION = 1_000_000  # shares are counted in millionths


class Limit(Struct, frozen=True):
    """One limit of one node: what is counted, over which time, and how much of it is allowed."""

    dimension: str
    window: int  # tenths of a millisecond; 0 for what is in flight
    ceiling: int  # the most that is ever admitted, borrowed amounts included
    guarantee: int = 0  # of the parent's ceiling, set aside for this node
    weight: int = 1  # its part of what no sibling is entitled to

    @property
    def key(self) -> tuple[str, int]:
        """What tells the limits of one node apart; nodes above and below have the same key for the same."""
        return self.dimension, self.window


class LendingTerms(Struct):
    """Terms of lending among siblings and the fleet's share; one object for all accounts of a tree."""

    reserve: int = 250  # thousandths of each guarantee that are never lent
    repay_windows: int = 10  # every debt is repaid within so many of its windows
    share: int = MILLION  # this sidecar's part of every limit, in millionths
    transit: int = 0  # tenths of a millisecond by which windows are longer than they are called
    forgiven: int = 0  # debts that the last reload of the configuration forgave
    guaranteed: dict["Account", None] = field(default_factory=dict)  # all accounts that have a guarantee
