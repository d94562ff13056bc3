"""The operators' HTTP calls: configuration, evacuations and status.

Source: PROTOCOL, "The operator's API". The member that received a call validates a configuration's content;
the primary decides only what depends on the newest state.

A command for a zone that may have been held up in the network is answered with a redirect, whose target names
the zone's revision. A client that still waits follows it, and so says that it has not moved on.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import unquote

import msgspec
from expression import Ok, Result

from shedgrade.controlplane.command_router import Caller, RespondToCommand, RespondToRead
from shedgrade.controlplane.commands import (
    CancelEvacuation,
    Command,
    CommandReply,
    ConfigurationCommand,
    Evacuate,
    PatchConfiguration,
    PutConfiguration,
    RevisionConflict,
    ZoneCommand,
)
from shedgrade.controlplane.configuration_validation import read_configuration
from shedgrade.controlplane.deduplication import digest
from shedgrade.controlplane.delta import read_delta
from shedgrade.controlplane.operator_session import OperatorSession
from shedgrade.controlplane.state_keys import CONFIGURATION
from shedgrade.findings import Finding
from shedgrade.http.server import Reply, Request, Respond, failure
from shedgrade.route_matching.calls import CallTree, Match, NotAllowed

RETRY_AFTER = ((b"Retry-After", b"0.2"),)  # s
CHECKED_CHANGES = 8  # valid changes whose check is not repeated: callers send them again
MAX_DIGITS = 19  # of a version or revision
UNAVAILABLE = failure(503, Finding("", "the control state is not to be had here"), headers=RETRY_AFTER)

Findings = tuple[Finding, ...]


class Router(Protocol):
    """Access to the primary, as by `CommandRouter`. A response of None: the outcome is unknown."""

    def submit(self, command: Command, respond: RespondToCommand, caller: Caller) -> None:
        """Calls `respond` with the outcome of the command."""

    def read(self, respond: RespondToRead, caller: Caller) -> None:
        """Calls `respond` with the newest committed state."""


@dataclass(frozen=True, slots=True)
class ChangeKey:
    """Identifies a change of the configuration by the kind of its command and the digest of its content."""

    kind: type[ConfigurationCommand]
    digest: bytes


def is_number(digits: bytes) -> bool:
    """Whether these are the digits of a whole number of a sane size."""
    return digits.isdigit() and len(digits) <= MAX_DIGITS


def if_match_version(header: bytes) -> int | None:
    """The version in an `If-Match` header, which may be an entity tag; None if it is not a number.

    >>> if_match_version(b'5'), if_match_version(b'W/"5"'), if_match_version(b'*')
    (5, 5, None)
    """
    digits = header.strip().removeprefix(b"W/").strip(b'"')
    return int(digits) if is_number(digits) else None


def caller_of(request: Request, told_revision: int | None = None) -> Caller:
    """The client of a request: its connection, whether that is closed, and the revision that it named."""
    session = request.session if isinstance(request.session, OperatorSession) else None
    return Caller(session, request.client_disconnected, told_revision)


def http_reply(reply: CommandReply) -> Reply:
    """The outcome of a command as an HTTP response."""
    if reply.status == 200:
        return Reply(200)
    headers = RETRY_AFTER if reply.status == 503 else ()
    return failure(reply.status, Finding(reply.place, reply.text), *reply.further, headers=headers)


def read_version(raw: bytes) -> Result[int, Findings]:
    """The version of a valid configuration, or the findings in it."""
    return read_configuration(raw).map(lambda configuration: configuration.version)


class OperatorApi:
    """Dispatches the operators' calls by method and path.

    Attributes:
        checked: versions of changes that this member found valid, oldest first; at most CHECKED_CHANGES.
    """

    def __init__(
        self, router: Router, status: Callable[[], Mapping[str, Any]] | None = None, own_address: str = ""
    ) -> None:
        """`status()` returns plain data for JSON; without it, `GET /status` does not exist. `own_address`:
        IP:PORT at which clients reach this API."""
        self.router = router
        self.own_address = own_address
        self.status = status
        self.calls = CallTree()
        self.checked: dict[ChangeKey, int] = {}
        if status is not None:
            self.calls.add(b"GET", b"/status", self.get_status)
        for method, pattern, call in (
            (b"PUT", b"/configuration", self.put_configuration),
            (b"PATCH", b"/configuration", self.patch_configuration),
            (b"GET", b"/configuration", self.get_configuration),
            (b"POST", b"/evacuation/{}", self.evacuate),
            (b"DELETE", b"/evacuation/{}", self.cancel_evacuation),
            (b"POST", b"/evacuation/{}/revision/{}", self.evacuate),
            (b"DELETE", b"/evacuation/{}/revision/{}", self.cancel_evacuation),
        ):
            self.calls.add(method, pattern, call)

    def handle(self, request: Request, respond: Respond) -> None:
        """Responds to one request, immediately or when the primary has decided."""
        match self.calls.find(request.method, request.path):
            case Match(call, arguments):
                call(request, respond, *arguments)
            case NotAllowed(allowed):
                finding = Finding("request", "this verb is none of the call's")
                respond(failure(405, finding, headers=((b"Allow", b", ".join(allowed)),)))
            case _:
                respond(failure(404, Finding("request", "no such call")))

    def submit(self, command: Command, request: Request, respond: Respond) -> None:
        """Submits a command for the configuration and responds with its outcome."""

        def on_reply(reply: CommandReply | RevisionConflict | None) -> None:
            respond(http_reply(reply) if isinstance(reply, CommandReply) else UNAVAILABLE)

        self.router.submit(command, on_reply, caller_of(request))

    def submit_zone_command(
        self, command: ZoneCommand, zone: bytes, revision: bytes | None, request: Request, respond: Respond
    ) -> None:
        """Submits a command for a zone. `zone`: as in the path. `revision`: the revision in the path of a
        redirect that the client follows, None in a command of its own."""
        if revision is not None and not is_number(revision):
            respond(failure(404, Finding("request", "no such call")))
            return

        def on_reply(reply: CommandReply | RevisionConflict | None) -> None:
            match reply:
                case CommandReply():
                    respond(http_reply(reply))
                case RevisionConflict():
                    respond(self.redirect_to_revision(zone, reply.revision))
                case _:
                    respond(UNAVAILABLE)

        self.router.submit(command, on_reply, caller_of(request, None if revision is None else int(revision)))

    def redirect_to_revision(self, zone: bytes, revision: int) -> Reply:
        """Asks the client to send its command once more, for the zone's newest revision."""
        location = b"http://%s/evacuation/%s/revision/%d" % (self.own_address.encode(), zone, revision)
        return Reply(307, headers=((b"Location", location),))

    def put_configuration(self, request: Request, respond: Respond) -> None:
        """PUT /configuration: replaces the configuration."""
        self.change_configuration(PutConfiguration, read_version, request, respond)

    def patch_configuration(self, request: Request, respond: Respond) -> None:
        """PATCH /configuration: adds, replaces and removes named items."""
        self.change_configuration(PatchConfiguration, read_delta, request, respond)

    def change_configuration(
        self,
        kind: type[ConfigurationCommand],
        check: Callable[[bytes], Result[int, Findings]],
        request: Request,
        respond: Respond,
    ) -> None:
        """Submits the change if it is valid. `check(raw)`: returns its version, or its findings."""
        base = if_match_version(request.headers.get(b"if-match", b""))
        findings: Findings = ()
        if base is None:
            findings = (Finding("If-Match", "is to say the version that this one builds on, or 0"),)
        version = self.checked_version(kind, check, request.body)
        if version.is_error():
            findings += version.error
        if findings:
            respond(failure(400, *findings))
        else:
            self.submit(kind(base, version.ok, request.body), request, respond)

    def checked_version(
        self,
        kind: type[ConfigurationCommand],
        check: Callable[[bytes], Result[int, Findings]],
        raw: bytes,
    ) -> Result[int, Findings]:
        """As `check(raw)`, which is not repeated for the newest changes that were found valid."""
        key = ChangeKey(kind, digest(raw))
        known = self.checked.get(key)
        if known is not None:
            return Ok(known)
        version = check(raw)
        if version.is_ok():
            self.checked[key] = version.ok
            if len(self.checked) > CHECKED_CHANGES:
                del self.checked[next(iter(self.checked))]
        return version

    def get_configuration(self, request: Request, respond: Respond) -> None:
        """GET /configuration: responds with the bytes of the newest committed configuration."""

        def on_state(state: Mapping[str, bytes] | None) -> None:
            if state is None:
                respond(UNAVAILABLE)
            elif not state.get(CONFIGURATION):
                respond(failure(404, Finding("configuration", "none was put yet")))
            else:
                respond(Reply(200, state[CONFIGURATION]))

        self.router.read(on_state, caller_of(request))

    def evacuate(
        self, request: Request, respond: Respond, zone: bytes, revision: bytes | None = None
    ) -> None:
        """POST /evacuation/ZONE, also with /revision/N: evacuates a zone."""
        command = Evacuate(unquote(zone, errors="replace"))
        self.submit_zone_command(command, zone, revision, request, respond)

    def cancel_evacuation(
        self, request: Request, respond: Respond, zone: bytes, revision: bytes | None = None
    ) -> None:
        """DELETE /evacuation/ZONE, also with /revision/N: withdraws the evacuation of a zone."""
        command = CancelEvacuation(unquote(zone, errors="replace"))
        self.submit_zone_command(command, zone, revision, request, respond)

    def get_status(self, request: Request, respond: Respond) -> None:
        """GET /status: responds from this member's memory, also if there is no primary."""
        assert self.status is not None  # the call is registered only with a status function
        respond(Reply(200, msgspec.json.encode(self.status())))
