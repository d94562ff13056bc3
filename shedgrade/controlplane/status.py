"""What one core member knows, for `GET /status`. All from memory, so it is answered in any state."""

from collections import Counter

from shedgrade.control_messages import UNKNOWN_AGE_S
from shedgrade.controlplane.endpoint_list import EndpointList
from shedgrade.controlplane.role_messages import RoleHolder
from shedgrade.controlplane.singleton_roles import SingletonRoles
from shedgrade.controlplane.watch_hub import WatchHub
from shedgrade.replication import Member

EVACUATED = "evacuated"


def status(
    now: float,
    node: str,
    zones: dict[str, str],
    member: Member,
    hub: WatchHub,
    instances: EndpointList,
    roles: SingletonRoles,
) -> dict:
    """Plain data for JSON. `configVersion` of an edge: as it holds it; None if it asks another member. The
    state of an upstream whose zone is evacuated is `evacuated`; `ageS`: None if nothing is known."""
    return {
        "node": node,
        "role": member.role,
        "epoch": member.epoch,
        "primary": member.primary,
        "finished": list(member.committed.position),
        "members": members(member),
        "configVersion": hub.version,
        "evacuations": list(hub.evacuations),
        "edges": edges(now, hub),
        "upstreams": upstreams(now, zones, hub, instances),
        "duties": {name: duty(roles.holder(name, now)) for name in roles.elections},
    }


def members(member: Member) -> list[dict]:
    """As the newest epoch known here names them; before the first one, the seeds."""
    record = member.replica.epoch_config

    def role(incarnation: int) -> str:
        if not record.number:
            return "seed"
        if incarnation == record.primary:
            return "primary"
        return "backup" if incarnation in record.holders else "witness"

    return [
        {"name": peer.name, "address": peer.address, "role": role(peer.incarnation)}
        for peer in record.members
    ]


def edges(now: float, hub: WatchHub) -> list[dict]:
    """All that are remembered, those that leave or fell silent among them."""
    told = []
    for name, heard in sorted(hub.edges.records.items()):
        pending = hub.pending.get(name)
        told.append(
            {
                "name": name,
                "front": heard.edge.listen_address,
                "zone": heard.edge.zone,
                "region": heard.edge.region,
                "state": heard.edge.state,
                "ageS": round(now - heard.at, 3),
                "configVersion": None if pending is None else pending.request.configuration_version,
            }
        )
    return told


def upstreams(now: float, zones: dict[str, str], hub: WatchHub, instances: EndpointList) -> dict:
    counts: Counter = Counter()
    for cached in instances.endpoints.values():
        one = cached.endpoint
        state = EVACUATED if one.zone in hub.evacuations else one.state
        counts[one.service, zones.get(one.zone, ""), state] += 1
    age = instances.age_s(now)
    return {
        "term": instances.term,
        "number": instances.number,
        "ageS": None if age >= UNKNOWN_AGE_S else round(age, 3),
        "byRegion": [
            {"service": service, "region": region, "state": state, "count": count}
            for (service, region, state), count in sorted(counts.items())
        ],
    }


def duty(holder: RoleHolder | None) -> dict | None:
    return None if holder is None else {"address": holder.address, "term": holder.term}
