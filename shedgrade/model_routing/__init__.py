"""Routing of model requests. No clock, no I/O: times are passed in, in tenths of a millisecond.

`ServingBalancer` is `load_balancing.Balancer` with four decisions replaced: which upstreams a request may
reach (home regions, upstreams tried), what a warming upstream may get (`slow_start`), which upstream caches a
prompt's prefix (`prefix_affinity`), and whether the fleet's retry budget allows a retry (`retry_budget`). The
drop threshold, the preference of the own region, the draw by upstream count and the rotation are inherited.
"""

from shedgrade.model_routing.balancer import ServingBalancer
from shedgrade.model_routing.request import IDEMPOTENT, ONCE, RoutingConstraints, ServingRpc

__all__ = ["IDEMPOTENT", "ONCE", "ServingBalancer", "ServingRpc", "RoutingConstraints"]
