"""The state that an edge has received from the core: control state, endpoint list, counts. Each is only ever
replaced by a newer one, whichever member a response comes from.

No I/O; times are seconds on a steady clock, passed in by the caller.
"""

from math import inf

import msgspec

from shedgrade.control_messages import (
    UNKNOWN_AGE_S,
    ControlChange,
    EndpointUpdate,
    FleetView,
    WatchResponse,
    decompress_configuration,
    replaces_list,
)
from shedgrade.dataplane.core_member import STALE_CONTROL_S

Update = ControlChange | EndpointUpdate | FleetView
Position = tuple[int, int]  # (epoch, sequence) of control state; (term, number) of the endpoint list

NO_CONTROL: Position = (0, 0)
NO_LIST: Position = (0, 0)
NO_CONFIGURATION = -1
# Time in which an edge without state asks other members before it applies stale state.
FIRST_STATE_WAIT_S = 0.75
REJECTED_RETRY_S = 1.0  # after which control state is requested again that could not be applied


class ReceivedState:
    """Positions of the received state, and the updates that are to be applied.

    Attributes:
        control: position of the newest control state received, including withheld state.
        configuration_version: version of the configuration in it; -1 until there is one. If that could not
            be applied, version of the one in force.
        request_again_at: when control state is requested again that could not be applied; inf if all was.
        endpoint_list: position of the endpoint list received; (0, 0) if there is none, if it could not be
            applied, or if the edge has applied its own list, so that the next response brings a complete one.
        list_floor: position of the last list received; lists below it are ignored.
        list_known_at: when the platform last reported that list; None until there is one.
        counts: edges and core members according to the last fresh response; None until there is one.
        last_response_at: time of the last response of any member; None until there is one.
        control_applied: whether any control state was released. From then on none is withheld.
        withheld: control state that was received and not released, in order. Before the first release, the
            state of a stale member waits in this list. Guards against an edge that starts and serves by the
            state of a member on the minority side of a partition.
        withheld_until: when withheld state is released at the latest; inf while nothing is withheld.
        updates: the updates to apply, in order. The owner removes them.
    """

    __slots__ = (
        "control",
        "configuration_version",
        "request_again_at",
        "endpoint_list",
        "list_floor",
        "list_known_at",
        "counts",
        "last_response_at",
        "control_applied",
        "withheld",
        "withheld_until",
        "updates",
    )

    def __init__(self) -> None:
        self.control: Position = NO_CONTROL
        self.configuration_version = NO_CONFIGURATION
        self.request_again_at = inf
        self.endpoint_list: Position = NO_LIST
        self.list_floor: Position = NO_LIST
        self.list_known_at: float | None = None
        self.counts: FleetView | None = None
        self.last_response_at: float | None = None
        self.control_applied = False
        self.withheld: list[ControlChange] = []
        self.withheld_until = inf
        self.updates: list[Update] = []

    def list_age_s(self, now: float) -> float:
        """The time since the platform reported the endpoint list received; UNKNOWN_AGE_S if there is none."""
        return UNKNOWN_AGE_S if self.list_known_at is None else max(0.0, now - self.list_known_at)

    def take(self, now: float, response: WatchResponse) -> bool:
        """Adds newer state to `updates`. Returns whether anything was newer.

        ValueError if the response can't be decoded; nothing is changed in this case.
        """
        control = self.newer_control(response.control)
        listed = response.endpoints
        newer_list = self.is_newer_list(now, listed)
        if control is not None:
            self.take_control(now, control)
        if self.withheld and (self.control_applied or response.primary_age_s <= STALE_CONTROL_S):
            self.release_withheld()
        if listed is not None and newer_list:
            self.take_list(now, listed)
        elif (
            listed is not None
            and self.list_known_at is not None
            and (listed.term, listed.number) == self.endpoint_list
        ):
            self.list_known_at = max(self.list_known_at, now - listed.age_s)
        return control is not None or newer_list

    def requested_control(self, now: float) -> Position:
        """The position to name in a request: state above it is sent. It is the one before the position of
        state that is to be applied again."""
        epoch, sequence = self.control
        return (epoch, sequence - 1) if now >= self.request_again_at else self.control

    def newer_control(self, change: ControlChange | None) -> ControlChange | None:
        """The change to apply, uncompressed; None if it is not newer or can't be used."""
        if change is None:
            return None
        position = change.epoch, change.sequence
        # The same state is taken once more if it could not be applied, but never an older one.
        if position < self.control or (position == self.control and self.request_again_at == inf):
            return None
        configuration = decompress_configuration(change)
        if configuration is None and change.configuration_version != self.configuration_version:
            # The member omitted the configuration that this edge had when it sent the request, but the edge
            # has received another version since.
            return None
        if change.configuration_version == self.configuration_version:
            configuration = None
        return msgspec.structs.replace(change, configuration=configuration or None, compressed=False)

    def is_newer_list(self, now: float, change: EndpointUpdate | None) -> bool:
        """Whether the list is complete or a delta to the received one, and newer than that."""
        if change is None:
            return False
        if not (change.is_full or (change.from_term, change.from_number) == self.endpoint_list):
            return False
        position = change.term, change.number
        if position == self.endpoint_list:
            return False
        if position == self.list_floor:
            return True  # the edge has applied its own list since
        return replaces_list(position, change.age_s, self.list_floor, self.list_age_s(now))

    def take_control(self, now: float, change: ControlChange) -> None:
        """Records newer control state, which is withheld until `take` or `release_withheld` releases it."""
        self.control = change.epoch, change.sequence
        self.request_again_at = inf
        self.configuration_version = change.configuration_version
        self.withheld.append(change)
        if not self.control_applied:
            self.withheld_until = min(self.withheld_until, now + FIRST_STATE_WAIT_S)

    def take_list(self, now: float, change: EndpointUpdate) -> None:
        """Records a newer endpoint list and adds it to `updates`."""
        self.endpoint_list = change.term, change.number
        self.list_floor = self.endpoint_list
        self.list_known_at = now - change.age_s
        self.updates.append(change)

    def take_counts(self, counts: FleetView) -> None:
        """Adds counts to `updates` if they differ from the last ones."""
        if counts != self.counts:
            self.counts = counts
            self.updates.append(counts)

    def release_withheld(self) -> None:
        """Adds the withheld control state to `updates`; from now on none is withheld."""
        self.control_applied = True
        self.updates += self.withheld
        self.withheld = []
        self.withheld_until = inf

    def own_list_applied(self, now: float) -> None:
        """The edge has applied its own list from the platform; the next list received must be complete."""
        self.endpoint_list = NO_LIST
        self.list_known_at = now

    def reject(self, now: float, update: Update, version_in_force: int) -> None:
        """Records that an update could not be applied, so that it is requested again.

        `version_in_force`: version of the configuration that is in force as a whole; -1 if none is.
        """
        match update:
            case ControlChange():
                # A later change that is applied may have left out this configuration, as it was received.
                if update.configuration_version == self.configuration_version:
                    self.configuration_version = version_in_force
                    self.request_again_at = now + REJECTED_RETRY_S
            case EndpointUpdate():
                # A delta to this list, or a later one, would be applied to something else.
                self.endpoint_list = NO_LIST
            case FleetView():
                self.counts = None

    def check_invariants(self) -> None:
        """Checks the documented properties of the attributes. AssertionError if one doesn't hold."""
        assert not (self.withheld and self.control_applied), self.withheld
        assert bool(self.withheld) == (self.withheld_until < inf), self.withheld_until
        if self.request_again_at == inf:
            has_configuration = self.configuration_version != NO_CONFIGURATION
            assert (self.control != NO_CONTROL) == has_configuration, self.control
        else:
            assert self.control != NO_CONTROL, self.request_again_at
        assert self.endpoint_list in (NO_LIST, self.list_floor), self.endpoint_list
        assert self.list_known_at is not None or self.list_floor == NO_LIST, self.list_floor
