"""What edges and core members tell each other of loads. One way each; a word that is lost is made good by
the next whole one."""

import msgspec

Loads = dict[int, int]
"""By mark of an upstream's incarnation: requests in flight, and what their unread prompts weigh."""


class LoadReport(msgspec.Struct, array_like=True, frozen=True, tag="load_report"):
    """An edge's own loads: those that changed since its last report (0: none any more), or `whole`. `near`:
    the region whose upstreams it uses first."""

    edge: str
    near: str
    loads: Loads
    whole: bool = False


class LoadUpdate(msgspec.Struct, array_like=True, frozen=True, tag="loads_told"):
    """All other edges' loads, for one edge: those that changed since it was last told, or `whole`."""

    loads: Loads
    whole: bool = False


class LoadSums(msgspec.Struct, array_like=True, frozen=True, tag="loads_shared"):
    """The sums of the edges that report to one core member, for the other members: those that changed, or
    `whole`."""

    member: str
    loads: Loads
    whole: bool = False
