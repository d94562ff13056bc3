"""The state of one core member for `GET /status`, read from memory, so it is available in any state.

The keys are documented for operators and must not change, whatever the names in the code are.
"""

from collections import Counter
from collections.abc import Mapping
from typing import TypedDict

from shedgrade.control_messages import UNKNOWN_AGE_S
from shedgrade.controlplane.endpoint_list import EndpointList
from shedgrade.controlplane.role_messages import RoleHolder
from shedgrade.controlplane.singleton_roles import SingletonRoles
from shedgrade.controlplane.watch_hub import WatchHub
from shedgrade.replication import Member

EVACUATED = "evacuated"


class MemberStatus(TypedDict):
    """A core member. `role`: `primary`, `backup`, `witness`, or `seed` before the first epoch."""

    name: str
    address: str
    role: str


class EdgeEntry(TypedDict):
    """An edge.

    Keys:
        front: listen address.
        ageS: time since it was last heard, in s.
        configVersion: version that the edge holds; None if the edge asks another member.
    """

    name: str
    front: str
    zone: str
    region: str
    state: str
    ageS: float
    configVersion: int | None


class EndpointCount(TypedDict):
    """The number of endpoints of a service in one state and region."""

    service: str
    region: str
    state: str
    count: int


class EndpointListStatus(TypedDict):
    """The platform's list. `ageS`: time since the platform confirmed it, in s; None if nothing is known."""

    term: int
    number: int
    ageS: float | None
    byRegion: list[EndpointCount]


class HolderStatus(TypedDict):
    """The holder of a singleton role."""

    address: str
    term: int


class Status(TypedDict):
    """The body of the response to `GET /status`. `duties`: holder by singleton role; None: not known."""

    node: str
    role: str
    epoch: int
    primary: str | None
    finished: list[int]
    members: list[MemberStatus]
    configVersion: int
    evacuations: list[str]
    edges: list[EdgeEntry]
    upstreams: EndpointListStatus
    duties: dict[str, HolderStatus | None]


def status(
    now: float,
    node: str,
    zones: Mapping[str, str],
    member: Member,
    hub: WatchHub,
    endpoint_list: EndpointList,
    roles: SingletonRoles,
) -> Status:
    """Returns the status of this member. `zones`: region by zone."""
    return {
        "node": node,
        "role": member.role,
        "epoch": member.epoch,
        "primary": member.primary,
        "finished": list(member.committed.position),
        "members": member_statuses(member),
        "configVersion": hub.version,
        "evacuations": list(hub.evacuations),
        "edges": edge_entries(now, hub),
        "upstreams": endpoint_list_status(now, zones, hub, endpoint_list),
        "duties": {role: holder_status(roles.holder(role, now)) for role in roles.elections},
    }


def member_statuses(member: Member) -> list[MemberStatus]:
    """The members of the newest epoch known here; before the first epoch, the seeds."""
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


def edge_entries(now: float, hub: WatchHub) -> list[EdgeEntry]:
    """All edges that are remembered, including those that leave or have fallen silent."""
    entries: list[EdgeEntry] = []
    for name, heard in sorted(hub.edges.records.items()):
        pending = hub.pending.get(name)
        entries.append(
            {
                "name": name,
                "front": heard.edge.listen_address,
                "zone": heard.edge.zone,
                "region": heard.edge.region,
                "state": heard.edge.state,
                "ageS": round(now - heard.heard_at, 3),
                "configVersion": None if pending is None else pending.request.configuration_version,
            }
        )
    return entries


def endpoint_list_status(
    now: float, zones: Mapping[str, str], hub: WatchHub, endpoint_list: EndpointList
) -> EndpointListStatus:
    """The list's version and age, and its endpoints counted by service, region and state. The state of an
    endpoint whose zone is evacuated is EVACUATED.
    """
    counts: Counter[tuple[str, str, str]] = Counter()
    for cached in endpoint_list.endpoints.values():
        endpoint = cached.endpoint
        state = EVACUATED if endpoint.zone in hub.evacuations else endpoint.state
        counts[endpoint.service, zones.get(endpoint.zone, ""), state] += 1
    age_s = endpoint_list.age_s(now)
    return {
        "term": endpoint_list.term,
        "number": endpoint_list.number,
        "ageS": None if age_s >= UNKNOWN_AGE_S else round(age_s, 3),
        "byRegion": [
            {"service": service, "region": region, "state": state, "count": count}
            for (service, region, state), count in sorted(counts.items())
        ],
    }


def holder_status(holder: RoleHolder | None) -> HolderStatus | None:
    """The address and term of a role's holder; None if it is not known."""
    return None if holder is None else {"address": holder.address, "term": holder.term}
