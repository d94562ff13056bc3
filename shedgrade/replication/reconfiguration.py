"""How a process finds the members, the founders each other, and the primary whom to take in."""

from __future__ import annotations

from shedgrade.replication.messages import EpochConfig, JoinRequest, Peer, PrimaryHint


class Reconfiguration:
    """Hellos while no primary is heard, and the next change of members that the primary should make."""

    def __init__(self, member):
        self.member = member
        self.join_request_at = 0.0
        self.recent_requests: dict[
            str, tuple[float, JoinRequest]
        ] = {}  # by address: the last hello to this process

    def send_join_requests(self, now: float) -> None:
        member, replica = self.member, self.member.replica
        self.join_request_at = now + member.timing.join_request_interval_s
        targets = (
            {peer.address for peer in replica.epoch_config.members}
            | set(member.seeds)
            | {member.primary_hint}
        )
        targets |= set(replica.founders or ())
        message = JoinRequest(
            replica.incarnation,
            member.name,
            member.address,
            replica.founding,
            replica.epoch_config.number,
            replica.committed.position,
        )
        for address in sorted(each for each in targets if each and each != member.address):
            member.send(address, message)

    def on_join_request(self, now: float, sender: str, request: JoinRequest) -> None:
        member = self.member
        member.note_address(request.incarnation, request.address, request.name)
        if request.founding:
            member.founders[request.address] = request.incarnation
        for address in [
            each for each, (at, _) in self.recent_requests.items() if now - at >= self.join_request_ttl_s()
        ]:
            del self.recent_requests[address]
        self.recent_requests[request.address] = now, request
        if request.address == member.primary and request.incarnation != member.replica.epoch_config.primary:
            member.primary_lost(now)
        if member.primary_role.active:
            member.primary_role.on_join_request(now, request)
        elif not (request.founding and member.replica.epoch_config.number == 0):
            primary = member.primary if member.hears_primary(now) else None
            member.send(sender, PrimaryHint(primary, member.replica.epoch_config))

    def join_request_ttl_s(self) -> float:
        """How long a hello counts, in s: the next one may be under way."""
        return 2 * self.member.timing.join_request_interval_s

    def recent_join_requests(self, now: float) -> list[JoinRequest]:
        """A new primary need not wait for the next hello of who asked while it was none."""
        return [
            request for at, request in self.recent_requests.values() if now - at < self.join_request_ttl_s()
        ]

    def on_primary_hint(self, now: float, sender: str, hint: PrimaryHint) -> None:
        if hint.epoch_config.active:
            if hint.epoch_config.number > self.member.replica.epoch_config.number:
                self.join_request_at = min(
                    self.join_request_at, now
                )  # there may be members who were not asked yet
            self.member.replica.adopt_epoch_config(now, hint.epoch_config)
        if hint.primary:
            self.member.note_primary_hint(now, hint.primary)

    def founded_enough(self, now: float) -> bool:
        """All founders were heard, or the time for it is over."""
        member = self.member
        heard = {member.address, *member.founders} & set(member.replica.founders or ())
        return (
            len(heard) == len(member.replica.founders or ())
            or now >= member.incarnation_durable_at + member.timing.founding_timeout_s
        )

    def replacements_of_lost_disks(self, now: float, config: EpochConfig):
        """The change that a candidate makes with its first epoch: members that lost their disks and have
        asked to join again lately."""
        if not config.number:
            return None
        others = {
            peer.address: peer
            for peer in config.members
            if peer.incarnation not in (0, self.member.replica.incarnation)
        }
        present = {peer.incarnation for peer in config.members}
        replaced = [
            (others[request.address], Peer(request.incarnation, request.name, request.address))
            for request in self.recent_join_requests(now)
            if request.address in others and request.incarnation not in present
        ]
        return Change(config.number, replaced) if replaced else None

    def change(self, now: float, primary_role, config: EpochConfig):
        """The next change of members as a function, or None.

        All replacements that are due are made at once: the quorums of both groups bind until the epoch is
        active, whatever they have in common. Members are added one at a time."""
        present = {peer.incarnation for peer in config.members}
        non_members = [
            follower
            for follower in primary_role.followers.values()
            if follower.incarnation not in present and primary_role.may_join(now, follower)
        ]
        non_members.sort(key=lambda follower: follower.known_since)
        replaced = self.returned(now, primary_role, config, non_members) + self.moved(
            now, primary_role, config
        )
        taken = {new.incarnation for _, new in replaced}
        non_members = [non_member for non_member in non_members if non_member.incarnation not in taken]
        replaced += self.unreachable(now, primary_role, config, non_members, {id(old) for old, _ in replaced})
        if replaced:
            return Change(config.number, replaced)
        return self.addition(now, primary_role, config, non_members)

    def returned(
        self, now: float, primary_role, config: EpochConfig, non_members: list
    ) -> list[tuple[Peer, Peer]]:
        """Members whose disk was lost, each with its next life: the old one will never speak again."""
        replaced: list[tuple[Peer, Peer]] = []
        others = [peer for peer in config.members if peer.incarnation != self.member.replica.incarnation]
        for non_member in non_members:
            old = next(
                (each for each in others if self.is_former_incarnation(now, primary_role, each, non_member)),
                None,
            )
            if old is not None:
                others.remove(old)
                replaced.append((old, as_peer(non_member)))
        return replaced

    def is_former_incarnation(self, now: float, primary_role, old: Peer, non_member) -> bool:
        """Whether the non_member is the member's machine with an empty disk, or its successor by name."""
        if old.address == non_member.address:
            return True
        known = primary_role.followers.get(old.incarnation)
        silent = known is None or not primary_role.heard_recently(now, known)
        return bool(old.name) and old.name == non_member.name and silent

    def moved(self, now: float, primary_role, config: EpochConfig) -> list[tuple[Peer, Peer]]:
        """Members that speak from another address than the config names."""
        found = []
        for old in config.members:
            follower = primary_role.followers.get(old.incarnation)
            if follower and follower.address != old.address and primary_role.heard_recently(now, follower):
                found.append((old, Peer(old.incarnation, old.name, follower.address)))
        return found

    def unreachable(
        self, now: float, primary_role, config: EpochConfig, non_members: list, but: set[int]
    ) -> list[tuple[Peer, Peer]]:
        """Members silent for long, the longest first, each with a newcomer."""
        silent = []
        for old in config.members:
            if old.incarnation != self.member.replica.incarnation and id(old) not in but:
                follower = primary_role.followers.get(old.incarnation)
                silent.append((follower.last_message_at if follower else primary_role.epoch_began_at, old))
        silent.sort(key=lambda each: each[0])
        due = [
            old
            for last_message_at, old in silent
            if now - last_message_at > self.member.timing.member_replacement_timeout_s
        ]
        return [(old, as_peer(non_member)) for old, non_member in zip(due, non_members, strict=False)]

    def addition(self, now: float, primary_role, config: EpochConfig, non_members: list):
        """One member more needs a majority of holders that are members already."""
        others = [
            primary_role.followers.get(peer.incarnation)
            for peer in config.members
            if peer.incarnation != self.member.replica.incarnation
        ]
        eligible = 1 + sum(
            follower is not None and primary_role.is_eligible(now, follower) for follower in others
        )
        size = len(config.members)
        if non_members and size <= 2 * self.member.tolerated and eligible > (size + 1) // 2:
            return Change(config.number, [], as_peer(non_members[0]))
        return None


def as_peer(follower) -> Peer:
    return Peer(follower.incarnation, follower.name, follower.address)


class Change:
    """Members to new members: each (old, new) pair replaced, and `added` beside all."""

    __slots__ = ("number", "replaced", "added")

    def __init__(self, number: int, replaced: list[tuple[Peer, Peer]], added: Peer | None = None):
        self.number, self.added = number, added
        self.replaced = {(old.incarnation, old.address): new for old, new in replaced}

    def __call__(self, members: tuple[Peer, ...]) -> tuple[Peer, ...]:
        kept = tuple(self.replaced.get((peer.incarnation, peer.address), peer) for peer in members)
        return kept if self.added is None else (*kept, self.added)
