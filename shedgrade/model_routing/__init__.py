"""Decisions that only the system needs, beside `decide/`: no clock, no I/O, times in tenths of a millisecond.

`ServingBalancer` is `decide.Balancer` with four things handed in: what a request may reach (homes,
upstreams tried), what a cold upstream may get (`cold`), which upstream holds its prompt (`prefix`), and
whether the fleet's budget lets it go again (`repeats`). Gate, own region, draw by upstream count and
rotation are the module's own.
"""

from shedgrade.model_routing.balancer import ServingBalancer
from shedgrade.model_routing.request import IDEMPOTENT, ONCE, RoutingConstraints, ServingRpc

__all__ = ["IDEMPOTENT", "ONCE", "ServingBalancer", "ServingRpc", "RoutingConstraints"]
