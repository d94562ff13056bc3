"""Join requests, discovery of founders and primary, and the membership changes that a primary makes."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from shedgrade.replication.follower import Follower
from shedgrade.replication.messages import EpochConfig, JoinRequest, Peer, PrimaryHint

if TYPE_CHECKING:
    from shedgrade.replication.member import Member
    from shedgrade.replication.primary import Primary


class Replacement(NamedTuple):
    """A member and the process that replaces it; the same process if only its address changed."""

    old: Peer
    new: Peer


class ReceivedJoinRequest(NamedTuple):
    """A join request, and when it was received, in seconds of the steady clock."""

    received_at: float
    request: JoinRequest


class MembershipChange:
    """A function from the members of an epoch to those of the next one.

    `number`: number of the epoch that it applies to.
    `replacement_of`: the new member by (incarnation, address) of the one that it replaces.
    `added`: a further member, or None.
    """

    __slots__ = ("number", "replacement_of", "added")

    def __init__(self, number: int, replacements: list[Replacement], added: Peer | None = None) -> None:
        """`number`: number of the epoch whose members are changed."""
        self.number = number
        self.added = added
        self.replacement_of = {(old.incarnation, old.address): new for old, new in replacements}

    def __call__(self, members: tuple[Peer, ...]) -> tuple[Peer, ...]:
        """Returns the new members, in the order of the old ones."""
        kept = tuple(self.replacement_of.get((peer.incarnation, peer.address), peer) for peer in members)
        return kept if self.added is None else (*kept, self.added)


def as_peer(follower: Follower) -> Peer:
    """Returns the follower as an entry of an epoch's members."""
    return Peer(follower.incarnation, follower.name, follower.address)


class Reconfiguration:
    """Join requests while no primary is heard, and the next membership change that a primary should make.

    Times are seconds of the steady clock.

    `join_request_at`: when the next join requests are sent, unless a primary is heard before.
    `recent_requests`: by link address, the last join request from there, kept for `join_request_ttl_s`.
    """

    def __init__(self, member: Member) -> None:
        """`member`: the member that sends and receives the requests."""
        self.member = member
        self.join_request_at = 0.0
        self.recent_requests: dict[str, ReceivedJoinRequest] = {}

    # --- finding the primary

    def send_join_requests(self, now: float) -> None:
        """Sends a join request to all addresses where a member may be."""
        member, replica = self.member, self.member.replica
        self.join_request_at = now + member.timing.join_request_interval_s
        targets: set[str | None] = {peer.address for peer in replica.epoch_config.members}
        targets |= {*member.seeds, *(replica.founders or ()), member.primary_monitor.hint}
        request = JoinRequest(
            replica.incarnation,
            member.name,
            member.address,
            replica.founding,
            replica.epoch_config.number,
            replica.committed.position,
        )
        for address in sorted(each for each in targets if each and each != member.address):
            member.send(address, request)

    def on_join_request(self, now: float, sender: str, request: JoinRequest) -> None:
        """Handles a request of a process that looks for the primary; answers with a hint unless primary."""
        member = self.member
        member.peers.note_address(request.incarnation, request.address, request.name)
        if request.founding:
            member.peers.founders[request.address] = request.incarnation
        self.note_request(now, request)
        config = member.replica.epoch_config
        if request.address == member.primary and request.incarnation != config.primary:
            member.on_primary_lost_disk(now)
        if member.primary_role.active:
            member.primary_role.on_join_request(now, request)
        elif not (request.founding and member.epoch == 0):
            primary = member.primary if member.hears_primary(now) else None
            member.send(sender, PrimaryHint(primary, config))

    def note_request(self, now: float, request: JoinRequest) -> None:
        """Remembers a join request, and drops expired ones."""
        ttl_s = self.join_request_ttl_s()
        for address, received in list(self.recent_requests.items()):
            if now - received.received_at >= ttl_s:
                del self.recent_requests[address]
        self.recent_requests[request.address] = ReceivedJoinRequest(now, request)

    def join_request_ttl_s(self) -> float:
        """Returns for how many seconds a request counts: two intervals, since the next may be in transit."""
        return 2 * self.member.timing.join_request_interval_s

    def recent_join_requests(self, now: float) -> list[JoinRequest]:
        """Returns the requests that have not expired.

        With them a new primary need not wait for requests that were sent before it became the primary.
        """
        ttl_s = self.join_request_ttl_s()
        return [
            received.request
            for received in self.recent_requests.values()
            if now - received.received_at < ttl_s
        ]

    def on_primary_hint(self, now: float, sender: str, hint: PrimaryHint) -> None:
        """Handles the reply of a process that is not the primary to this process's join request.

        Adopts the epoch in the hint if it is active, and sends the next join request to the address that the
        hint gives for the primary.
        """
        config = hint.epoch_config
        if config.active:
            if config.number > self.member.epoch:
                # the newer epoch may have members that were not asked
                self.join_request_at = min(self.join_request_at, now)
            self.member.learn_epoch(now, config)
        if hint.primary:
            self.member.note_primary_hint(now, hint.primary)

    def may_found_core(self, now: float) -> bool:
        """Whether all founders were heard, or the time-out for that has passed."""
        member = self.member
        founders = set(member.replica.founders or ())
        heard = {member.address, *member.peers.founders} & founders
        over_at = member.incarnation_durable_at + member.timing.founding_timeout_s
        return len(heard) == len(founders) or now >= over_at

    # --- membership changes

    def replacements_of_lost_disks(self, now: float, config: EpochConfig) -> MembershipChange | None:
        """Returns the change for the first epoch of a candidate, None if there is nothing to change.

        It replaces members that lost their disk and have recently asked to join again.
        """
        if not config.number:
            return None
        others = {
            peer.address: peer
            for peer in config.members
            if peer.incarnation not in (0, self.member.replica.incarnation)
        }
        member_incarnations = {peer.incarnation for peer in config.members}
        replacements = [
            Replacement(others[request.address], Peer(request.incarnation, request.name, request.address))
            for request in self.recent_join_requests(now)
            if request.address in others and request.incarnation not in member_incarnations
        ]
        return MembershipChange(config.number, replacements) if replacements else None

    def next_change(self, now: float, primary: Primary, config: EpochConfig) -> MembershipChange | None:
        """Returns the next membership change, or None.

        All replacements that are due are made at once: quorums of both memberships are required until the
        epoch is active, however many members they share. Members are added one at a time.
        """
        member_incarnations = {peer.incarnation for peer in config.members}
        non_members = [
            follower
            for follower in primary.followers.values()
            if follower.incarnation not in member_incarnations and primary.supervision.may_join(now, follower)
        ]
        non_members.sort(key=lambda follower: follower.known_since)
        replaced = self.replace_wiped(now, primary, config, non_members) + self.replace_moved(
            now, primary, config
        )
        joining = {replacement.new.incarnation for replacement in replaced}
        non_members = [each for each in non_members if each.incarnation not in joining]
        handled = {id(replacement.old) for replacement in replaced}
        replaced += self.replace_unreachable(now, primary, config, non_members, handled)
        if replaced:
            return MembershipChange(config.number, replaced)
        return self.addition(now, primary, config, non_members)

    def replace_wiped(
        self, now: float, primary: Primary, config: EpochConfig, non_members: list[Follower]
    ) -> list[Replacement]:
        """Returns replacements of members that lost their disk, each by its next incarnation.

        The old incarnation never sends a message again.
        """
        replacements: list[Replacement] = []
        others = [peer for peer in config.members if peer.incarnation != self.member.replica.incarnation]
        for follower in non_members:
            old = next(
                (each for each in others if self.is_former_incarnation(now, primary, each, follower)), None
            )
            if old is not None:
                others.remove(old)
                replacements.append(Replacement(old, as_peer(follower)))
        return replacements

    def is_former_incarnation(self, now: float, primary: Primary, old: Peer, follower: Follower) -> bool:
        """Whether the follower is the machine of `old` with an empty disk, or its successor by name."""
        if old.address == follower.address:
            return True
        known = primary.followers.get(old.incarnation)
        is_silent = known is None or not primary.supervision.heard_recently(now, known)
        return bool(old.name) and old.name == follower.name and is_silent

    def replace_moved(self, now: float, primary: Primary, config: EpochConfig) -> list[Replacement]:
        """Returns replacements of members heard at another address than the configuration lists."""
        replacements = []
        for old in config.members:
            follower = primary.followers.get(old.incarnation)
            if follower is None or follower.address == old.address:
                continue
            if primary.supervision.heard_recently(now, follower):
                replacements.append(Replacement(old, Peer(old.incarnation, old.name, follower.address)))
        return replacements

    def replace_unreachable(
        self,
        now: float,
        primary: Primary,
        config: EpochConfig,
        non_members: list[Follower],
        handled: set[int],
    ) -> list[Replacement]:
        """Returns replacements of members not heard for long, longest silence first, by non-members.

        `handled`: ids of the `Peer` objects that are replaced already.
        """
        own = self.member.replica.incarnation
        timeout_s = self.member.timing.member_replacement_timeout_s

        def last_message_at(peer: Peer) -> float:
            follower = primary.followers.get(peer.incarnation)
            return follower.last_message_at if follower else primary.epoch_began_at

        others = [peer for peer in config.members if peer.incarnation != own and id(peer) not in handled]
        unreachable_members = [peer for peer in others if now - last_message_at(peer) > timeout_s]
        unreachable_members.sort(key=last_message_at)
        pairs = zip(unreachable_members, non_members, strict=False)
        return [Replacement(old, as_peer(follower)) for old, follower in pairs]

    def addition(
        self, now: float, primary: Primary, config: EpochConfig, non_members: list[Follower]
    ) -> MembershipChange | None:
        """Returns the addition of a member, or None.

        The members that are eligible already must be a majority of the larger membership.
        """
        size = len(config.members)
        if not non_members or size > 2 * self.member.tolerated:
            return None
        others = [
            primary.followers.get(peer.incarnation)
            for peer in config.members
            if peer.incarnation != self.member.replica.incarnation
        ]
        eligible = sum(
            follower is not None and primary.supervision.is_eligible(now, follower) for follower in others
        )
        if 1 + eligible <= (size + 1) // 2:
            return None
        return MembershipChange(config.number, [], as_peer(non_members[0]))
