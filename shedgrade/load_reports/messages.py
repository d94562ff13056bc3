"""Messages of loads between edges and core members. Each goes one way, without an answer; a message that is
lost is made good by the next full one.
"""

import msgspec

Loads = dict[int, int]
"""By hash of an endpoint's incarnation: requests in flight there, and the weight of their prompts that wait
for prefill."""


class LoadReport(msgspec.Struct, array_like=True, frozen=True, tag="load_report"):
    """From an edge to the core member that it watches: its own loads.

    edge: its node name. home_region: whose endpoints it uses first. loads: those that changed since its last
    report (0: none any more), or all. is_full: whether it is all.
    """

    edge: str
    home_region: str
    loads: Loads
    is_full: bool = False


class LoadUpdate(msgspec.Struct, array_like=True, frozen=True, tag="loads_told"):
    """From a core member to an edge that reports to it: the sums of all other edges' loads.

    loads: those that changed since the last update (0: none any more), or all. is_full: whether it is all.
    """

    loads: Loads
    is_full: bool = False


class LoadSums(msgspec.Struct, array_like=True, frozen=True, tag="loads_shared"):
    """From a core member to all others: the sums of the loads of the edges that report to it.

    member: its link address. loads: those that changed since the last message (0: none any more), or all.
    is_full: whether it is all.
    """

    member: str
    loads: Loads
    is_full: bool = False
