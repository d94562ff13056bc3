"""The directory: which edges a client may go to."""
from collections.abc import Iterable, Mapping
from random import Random

import msgspec

from shedgrade.findings import Finding
from shedgrade.httpd import Reply, Request, failure
from shedgrade.knowledge import EdgeSeen

MOST = 64
FEW = 2
TTL = 1


class Directory:
    """Answers `GET /resolution` from the edges that are known."""

    def __init__(self, zones: Mapping[str, str], random: Random, bounds: Mapping[str, float]) -> None:
        self.zones, self.random, self.ttl = zones, random, min(TTL, bounds["ttl_max_s"])

    def handle(self, request: Request, edges: Iterable[EdgeSeen]) -> Reply:
        if request.path != b"/resolution":
            return failure(404, Finding("request", "no such call"))
        return self.resolve(request.query.get("region", ""), request.query.get("zone", ""), edges)

    def resolve(self, region: str, zone: str, edges: Iterable[EdgeSeen]) -> Reply:
        ready = [edge for edge in edges if edge.ready and edge.front]
        near = [edge for edge in ready if edge.zone == zone]
        if len(near) < FEW:
            near = [edge for edge in ready if edge.region == (region or self.zones.get(zone))] or ready
        if not near:
            return failure(503, Finding("", "no edge is ready"))
        chosen = self.random.sample(near, MOST) if len(near) > MOST else near
        return Reply(200, msgspec.json.encode({"addressList": [edge.front for edge in chosen], "ttlS": self.ttl}))
