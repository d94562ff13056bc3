"""The operators' commands and how they are decided against the newest control state. Pure, no I/O.

This is the state machine of the replicated log: `make_decide` returns the function with which the primary
turns a command into changes of the state (keys: `state_keys.py`) and an outcome.

A command for a zone is a conditional write: it carries the zone's revision that the member which received it
knew while its caller was waiting, and changes nothing once another command for that zone was acknowledged
since. A command that is delayed on its way therefore never undoes a newer one.

Source: PROTOCOL, "The operator's API".
"""

from collections.abc import Callable, Container, Mapping

import msgspec
from expression import Ok, Result

from shedgrade.controlplane import deduplication
from shedgrade.controlplane.deduplication import AcceptanceStatus
from shedgrade.controlplane.delta import EMPTY, apply_delta
from shedgrade.controlplane.state_keys import (
    CONFIGURATION,
    EVACUATION_REVISIONS,
    EVACUATIONS,
    VERSION,
    configuration_version,
)
from shedgrade.findings import Finding
from shedgrade.replication.effects import Decision


class PutConfiguration(msgspec.Struct, array_like=True, frozen=True, tag="put"):
    """Replaces the configuration. Its content has been checked. `base`: the version it builds on, None if the
    caller did not say."""

    base: int | None
    version: int
    raw: bytes

    @property
    def content(self) -> bytes:
        """The bytes by which the record of accepted changes identifies this change."""
        return self.raw


class PatchConfiguration(msgspec.Struct, array_like=True, frozen=True, tag="patch"):
    """Changes named items of the configuration (`delta.py`). Its items have been checked, each by itself.
    `base`: the version it builds on, None if the caller did not say."""

    base: int | None
    version: int
    raw: bytes

    @property
    def content(self) -> bytes:
        """The bytes by which the record of accepted changes identifies this change; never those of a PUT."""
        return b"PATCH " + self.raw


class Evacuate(msgspec.Struct, array_like=True, frozen=True, tag="evacuate"):
    """No further requests go to the upstreams of a zone. `revision`: of the zone, on which this builds."""

    zone: str
    revision: int = 0


class CancelEvacuation(msgspec.Struct, array_like=True, frozen=True, tag="return"):
    """Withdraws the evacuation of a zone. `revision`: of the zone, on which this builds."""

    zone: str
    revision: int = 0


ZoneCommand = Evacuate | CancelEvacuation
ConfigurationCommand = PutConfiguration | PatchConfiguration
Command = ConfigurationCommand | ZoneCommand


class CommandReply(msgspec.Struct, array_like=True, frozen=True, tag="reply"):
    """The outcome for the caller. `status`: of HTTP; `text`: what is wrong; `place`: the field or header that
    is wrong, empty if none is; `further`: more findings."""

    status: int
    text: str = ""
    place: str = ""
    further: tuple[Finding, ...] = ()


class RevisionConflict(msgspec.Struct, array_like=True, frozen=True, tag="conflict"):
    """Nothing was changed: the zone's `revision` is not the one on which the command builds."""

    revision: int


Decide = Callable[[Mapping[str, bytes], Command], Decision]


def zone_revisions(state: Mapping[str, bytes]) -> dict[str, int]:
    """By zone: how many commands for it were acknowledged. Zones without any are absent."""
    return msgspec.json.decode(state.get(EVACUATION_REVISIONS) or b"{}")


def evacuated_zones(state: Mapping[str, bytes]) -> set[str]:
    """The zones that are evacuated."""
    return set(msgspec.json.decode(state.get(EVACUATIONS) or b"[]"))


def is_same_json(one: bytes, other: bytes) -> bool:
    """Whether both are the same JSON value, however it is formatted."""
    return one == other or msgspec.json.decode(one) == msgspec.json.decode(other)


def resulting_configuration(
    state: Mapping[str, bytes], command: ConfigurationCommand
) -> Result[bytes, tuple[Finding, ...]]:
    """The configuration after the command, applied to the newest state; or why it can't be applied."""
    if isinstance(command, PutConfiguration):
        return Ok(command.raw)
    return apply_delta(state.get(CONFIGURATION) or EMPTY, command.raw, command.version)


def is_already_applied(
    state: Mapping[str, bytes], command: ConfigurationCommand, status: AcceptanceStatus
) -> bool:
    """Whether the command was accepted before: its caller got no clear answer and sends it again, perhaps
    after further versions. A PUT of what is in force counts too."""
    return status is AcceptanceStatus.ACCEPTED or (
        isinstance(command, PutConfiguration)
        and command.version == configuration_version(state)
        and is_same_json(command.raw, state[CONFIGURATION])
    )


def decide_configuration(state: Mapping[str, bytes], command: ConfigurationCommand) -> Decision:
    """The outcome of a PUT or PATCH of the configuration."""
    current = configuration_version(state)
    status = deduplication.acceptance_status(state, command.version, command.content)
    if is_already_applied(state, command, status):
        return Decision({}, CommandReply(200))
    # A command that builds on the current version was not accepted before: its version would be above that.
    if status is AcceptanceStatus.FORGOTTEN and command.base != current:
        return Decision({}, CommandReply(503, "too old to say whether it was accepted", "configVersion"))
    if command.base != current:
        return Decision({}, CommandReply(412, f"version {current} is in place", "If-Match"))
    if command.version <= current:
        return Decision({}, CommandReply(400, f"is not above {current}", "configVersion"))
    configuration = resulting_configuration(state, command)
    if configuration.is_error():
        first, *further = configuration.error
        return Decision({}, CommandReply(400, first.text, first.place, tuple(further)))
    changes: dict[str, bytes | None] = {
        CONFIGURATION: configuration.ok,
        VERSION: b"%d" % command.version,
        **deduplication.record(state, command.version, command.content),
    }
    return Decision(changes, CommandReply(200))


def decide_evacuation(state: Mapping[str, bytes], command: ZoneCommand, zones: Container[str]) -> Decision:
    """The outcome of a command for a zone. `zones`: those of the settings."""
    zone = command.zone
    evacuated = evacuated_zones(state)
    # An evacuation may still be withdrawn after the zone has left the settings.
    if zone not in zones and zone not in evacuated:
        return Decision({}, CommandReply(404, "no such zone", zone))
    revisions = zone_revisions(state)
    current = revisions.get(zone, 0)
    changes_zone = (zone in evacuated) != isinstance(command, Evacuate)
    if changes_zone and command.revision != current:
        return Decision({}, RevisionConflict(current))
    # Guards against an opposite command that is still on its way: one that changes nothing also makes those
    # obsolete that were known before it.
    changes: dict[str, bytes | None] = {
        EVACUATION_REVISIONS: msgspec.json.encode({**revisions, zone: current + 1})
    }
    if changes_zone:
        changes[EVACUATIONS] = msgspec.json.encode(sorted(evacuated ^ {zone}))
    return Decision(changes, CommandReply(200))


def make_decide(zones: Container[str]) -> Decide:
    """`decide(state, command)` for a deployment with these zones. The outcome of a decision is a
    CommandReply, or a RevisionConflict; TypeError for what is no command."""

    def decide(state: Mapping[str, bytes], command: Command) -> Decision:
        match command:
            case PutConfiguration() | PatchConfiguration():
                return decide_configuration(state, command)
            case Evacuate() | CancelEvacuation():
                return decide_evacuation(state, command, zones)
        raise TypeError(f"no command: {command!r}")

    return decide
