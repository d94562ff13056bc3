"""The operators' commands and how they are decided against the newest control state. Pure, no I/O.

This is the state machine of the replicated log: `make_decision_function` returns the function with which the
primary turns a command into changes of the state (keys: `state_keys.py`) and an outcome.

A command for a zone is a conditional write. The member that receives the command adds the zone's revision
that it knows while the caller is waiting. The command changes nothing if another command for that zone was
acknowledged since, so a delayed command never undoes a newer one.

Source: PROTOCOL, "The operator's API".
"""

from collections.abc import Callable, Container, Mapping

import msgspec
from expression import Ok, Result

from shedgrade.controlplane import deduplication
from shedgrade.controlplane.deduplication import AcceptanceStatus
from shedgrade.controlplane.delta import EMPTY_CONFIGURATION, apply_delta
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
    """Replaces the configuration. The member that received the command has validated its content.

    Attributes:
        base: version that the command builds on; None if the caller did not give one.
        version: version of the new configuration.
        raw: the new configuration as JSON.
    """

    base: int | None
    version: int
    raw: bytes

    @property
    def content(self) -> bytes:
        """The bytes by which the record of accepted changes identifies this change."""
        return self.raw


class PatchConfiguration(msgspec.Struct, array_like=True, frozen=True, tag="patch"):
    """Changes named items of the configuration (`delta.py`). The member that received the command has
    validated each item by itself.

    Attributes:
        base: version that the command builds on; None if the caller did not give one.
        version: version of the resulting configuration.
        raw: the delta as JSON.
    """

    base: int | None
    version: int
    raw: bytes

    @property
    def content(self) -> bytes:
        """The bytes by which the record of accepted changes identifies this change; they never equal those of
        a PUT."""
        return b"PATCH " + self.raw


class Evacuate(msgspec.Struct, array_like=True, frozen=True, tag="evacuate"):
    """Stops sending requests to the upstreams of a zone. `revision`: the zone's revision that the command
    builds on."""

    zone: str
    revision: int = 0


class CancelEvacuation(msgspec.Struct, array_like=True, frozen=True, tag="return"):
    """Withdraws the evacuation of a zone. `revision`: the zone's revision that the command builds on."""

    zone: str
    revision: int = 0


ZoneCommand = Evacuate | CancelEvacuation
ConfigurationCommand = PutConfiguration | PatchConfiguration
Command = ConfigurationCommand | ZoneCommand


class CommandReply(msgspec.Struct, array_like=True, frozen=True, tag="reply"):
    """The outcome for the caller.

    Attributes:
        status: HTTP status.
        text: what is wrong; empty if nothing is.
        place: the field or header that is wrong; empty if none is.
        further: findings beyond the first.
    """

    status: int
    text: str = ""
    place: str = ""
    further: tuple[Finding, ...] = ()


class RevisionConflict(msgspec.Struct, array_like=True, frozen=True, tag="conflict"):
    """Nothing was changed: the command does not build on the zone's current `revision`."""

    revision: int


Decide = Callable[[Mapping[str, bytes], Command], Decision]


def zone_revisions(state: Mapping[str, bytes]) -> dict[str, int]:
    """The number of acknowledged commands by zone. Zones without any are absent."""
    return msgspec.json.decode(state.get(EVACUATION_REVISIONS) or b"{}")


def evacuated_zones(state: Mapping[str, bytes]) -> set[str]:
    """The zones that are evacuated."""
    return set(msgspec.json.decode(state.get(EVACUATIONS) or b"[]"))


def is_same_json(one: bytes, other: bytes) -> bool:
    """Whether both are the same JSON value, whatever their formatting."""
    return one == other or msgspec.json.decode(one) == msgspec.json.decode(other)


def resulting_configuration(
    state: Mapping[str, bytes], command: ConfigurationCommand
) -> Result[bytes, tuple[Finding, ...]]:
    """The configuration after the command is applied to the newest state, or why it can't be applied."""
    if isinstance(command, PutConfiguration):
        return Ok(command.raw)
    return apply_delta(state.get(CONFIGURATION) or EMPTY_CONFIGURATION, command.raw, command.version)


def is_already_applied(
    state: Mapping[str, bytes], command: ConfigurationCommand, status: AcceptanceStatus
) -> bool:
    """Whether the command was accepted earlier, or is a PUT of the current configuration. A caller that got
    no definite response sends its command again, perhaps after further versions were accepted.
    """
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
    # A command that builds on the current version was not accepted before, as that would have raised it.
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
        **deduplication.record_acceptance(state, command.version, command.content),
    }
    return Decision(changes, CommandReply(200))


def decide_evacuation(state: Mapping[str, bytes], command: ZoneCommand, zones: Container[str]) -> Decision:
    """The outcome of a command for a zone. `zones`: zones of the settings."""
    zone = command.zone
    evacuated = evacuated_zones(state)
    # An evacuation can still be withdrawn after the zone was removed from the settings.
    if zone not in zones and zone not in evacuated:
        return Decision({}, CommandReply(404, "no such zone", zone))
    revisions = zone_revisions(state)
    current = revisions.get(zone, 0)
    changes_zone = (zone in evacuated) != isinstance(command, Evacuate)
    if changes_zone and command.revision != current:
        return Decision({}, RevisionConflict(current))
    # Guards against an opposite command that is still in flight: a command that changes nothing also makes
    # commands obsolete that build on an earlier revision.
    changes: dict[str, bytes | None] = {
        EVACUATION_REVISIONS: msgspec.json.encode({**revisions, zone: current + 1})
    }
    if changes_zone:
        changes[EVACUATIONS] = msgspec.json.encode(sorted(evacuated ^ {zone}))
    return Decision(changes, CommandReply(200))


def make_decision_function(zones: Container[str]) -> Decide:
    """Returns `decide(state, command)` for a deployment with these zones. The outcome of a decision is a
    CommandReply or a RevisionConflict. `decide` raises TypeError if `command` is not a Command."""

    def decide(state: Mapping[str, bytes], command: Command) -> Decision:
        match command:
            case PutConfiguration() | PatchConfiguration():
                return decide_configuration(state, command)
            case Evacuate() | CancelEvacuation():
                return decide_evacuation(state, command, zones)
        raise TypeError(f"not a command: {command!r}")

    return decide
