"""Load messages between edges and core members. None of them is answered; the next full message makes up for
a lost one.
"""

import msgspec

Loads = dict[int, int]
"""By hash of an endpoint's incarnation: requests in flight there, plus the weight of their prompts that wait
for prefill."""


class LoadReport(msgspec.Struct, array_like=True, frozen=True, tag="load_report"):
    """Reports an edge's own loads to the core member that it watches.

    Attributes:
        edge: the edge's node name.
        home_region: the region whose endpoints the edge uses first.
        loads: the loads that changed since the last report (0: no load any more), or all.
        is_full: whether `loads` are all.
    """

    edge: str
    home_region: str
    loads: Loads
    is_full: bool = False


class LoadUpdate(msgspec.Struct, array_like=True, frozen=True, tag="loads_told"):
    """Sends the sums of all other edges' loads from a core member to an edge that reports to it.

    Attributes:
        loads: the sums that changed since the last update (0: no load any more), or all.
        is_full: whether `loads` are all.
    """

    loads: Loads
    is_full: bool = False


class LoadSums(msgspec.Struct, array_like=True, frozen=True, tag="loads_shared"):
    """Sends the sums of the loads of a core member's edges to all other members.

    Attributes:
        member: the sender's link address.
        loads: the sums that changed since the last message (0: no load any more), or all.
        is_full: whether `loads` are all.
    """

    member: str
    loads: Loads
    is_full: bool = False
