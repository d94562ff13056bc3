"""The operators' orders, decided against the newest control state. Pure: `make_decide` gives the function.

State: `configuration` (the bytes as they came, or as named items were merged into them), `version` (decimal),
the record of accepted changes (`accepted.py`), `evacuations` (sorted JSON list of zones),
`evacuation-revisions` (JSON object: by zone, how many orders for it were acknowledged). A key that is absent
stands for none.

An order for a zone is a conditional write: it carries the zone's revision that the member which received it
knew while its caller waited, and changes nothing once another order for that zone was acknowledged since. So
one that is held up on its way never undoes a newer one.

Source: PROTOCOL, "The operator's API".
"""

from collections.abc import Callable, Container, Mapping

import msgspec
from expression import Ok, Result

from shedgrade.controlplane import deduplication
from shedgrade.controlplane.deduplication import Past
from shedgrade.controlplane.delta import EMPTY, Refused, apply_delta
from shedgrade.findings import Finding
from shedgrade.replication.effects import Decision

REVISIONS = "evacuation-revisions"


class PutConfiguration(msgspec.Struct, array_like=True, frozen=True, tag="put"):
    """A configuration whose content has been checked. `base`: the version it builds on, None: not said."""

    base: int | None
    version: int
    raw: bytes

    @property
    def content(self) -> bytes:
        """As the record of accepted changes tells it apart."""
        return self.raw


class PatchConfiguration(msgspec.Struct, array_like=True, frozen=True, tag="patch"):
    """A change of named items whose content has been checked, but for what it builds on (`delta.py`). `base`:
    the version that it builds on, None: not said."""

    base: int | None
    version: int
    raw: bytes

    @property
    def content(self) -> bytes:
        """As the record of accepted changes tells it apart, from whole configurations too."""
        return b"PATCH " + self.raw


class Evacuate(msgspec.Struct, array_like=True, frozen=True, tag="evacuate"):
    """Nothing more is to be sent to the upstreams of a zone. `revision`: of the zone, on which it builds."""

    zone: str
    revision: int = 0


class Return(msgspec.Struct, array_like=True, frozen=True, tag="return"):
    """The evacuation of a zone is withdrawn. `revision`: of the zone, on which it builds."""

    zone: str
    revision: int = 0


ZoneOrder = Evacuate | Return
ConfigurationOrder = PutConfiguration | PatchConfiguration
Order = ConfigurationOrder | ZoneOrder


class Reply(msgspec.Struct, array_like=True, frozen=True, tag="reply"):
    """The HTTP `status` of an answer; `text`: what is wrong, `place`: where, if it is anywhere; `further`:
    what else is wrong."""

    status: int
    text: str = ""
    place: str = ""
    further: tuple[Finding, ...] = ()


class Conflict(msgspec.Struct, array_like=True, frozen=True, tag="conflict"):
    """Nothing was done: the zone's `revision` is not the one that its order builds on."""

    revision: int


def zone_revisions(state: Mapping[str, bytes]) -> dict[str, int]:
    return msgspec.json.decode(state.get(REVISIONS) or b"{}")


def alike(one: bytes, other: bytes) -> bool:
    """The same JSON, however it is written."""
    return one == other or msgspec.json.decode(one) == msgspec.json.decode(other)


def whole_configuration(state: Mapping[str, bytes], order: ConfigurationOrder) -> Result[bytes, Refused]:
    """What is in place once the order is carried out on top of the newest state, or why it can't be."""
    if isinstance(order, PutConfiguration):
        return Ok(order.raw)
    return apply_delta(state.get("configuration") or EMPTY, order.raw, order.version)


def make_decide(zones: Container[str]) -> Callable[[Mapping[str, bytes], Order], Decision]:
    """`decide(state, order)` for a deployment with these zones; the outcome of its decisions is a Reply, or a
    Conflict."""

    def configure(state: Mapping[str, bytes], order: ConfigurationOrder) -> Decision:
        current = int(state.get("version") or 0)
        past = deduplication.past(state, order.version, order.content)
        # Guards an operator whose call got no clear answer: what it sends again has been accepted, also if
        # another version is current by now.
        if past is Past.ACCEPTED or (
            isinstance(order, PutConfiguration)
            and order.version == current
            and alike(order.raw, state["configuration"])
        ):
            return Decision({}, Reply(200))
        # One that builds on the current version was not accepted before: its version would be above that.
        if past is Past.FORGOTTEN and order.base != current:
            return Decision({}, Reply(503, "too old to say whether it was accepted", "configVersion"))
        if order.base != current:
            return Decision({}, Reply(412, f"version {current} is in place", "If-Match"))
        if order.version <= current:
            return Decision({}, Reply(400, f"is not above {current}", "configVersion"))
        whole = whole_configuration(state, order)
        if whole.is_error():
            first, *further = whole.error
            return Decision({}, Reply(400, first.text, first.place, tuple(further)))
        return Decision(
            {
                "configuration": whole.ok,
                "version": b"%d" % order.version,
                **deduplication.record(state, order.version, order.content),
            },
            Reply(200),
        )

    def evacuations(state: Mapping[str, bytes], order: ZoneOrder) -> Decision:
        zone, wanted = order.zone, isinstance(order, Evacuate)
        known = set(msgspec.json.decode(state.get("evacuations") or b"[]"))
        # A zone that the settings name no more may still be taken back.
        if zone not in zones and zone not in known:
            return Decision({}, Reply(404, "no such zone", zone))
        revisions = zone_revisions(state)
        current = revisions.get(zone, 0)
        if (zone in known) != wanted and order.revision != current:
            return Decision({}, Conflict(current))
        # Guards against an opposite order that is still on its way: also one that finds done what it asks for
        # makes those that were known before it obsolete.
        changes = {REVISIONS: msgspec.json.encode({**revisions, zone: current + 1})}
        if (zone in known) != wanted:
            changes["evacuations"] = msgspec.json.encode(sorted(known ^ {zone}))
        return Decision(changes, Reply(200))

    def decide(state: Mapping[str, bytes], order: Order) -> Decision:
        match order:
            case PutConfiguration() | PatchConfiguration():
                return configure(state, order)
            case Evacuate() | Return():
                return evacuations(state, order)
        raise TypeError(f"no order: {order!r}")

    return decide
