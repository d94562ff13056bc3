"""How a process finds the members, the founders each other, and the primary whom to take in."""

from __future__ import annotations

from shedgrade.replication.messages import EpochRecord, Hello, Peer, Whereabouts


class Reconfiguration:
    """Hellos while no primary is heard, and the next change of members that the primary should make."""

    def __init__(self, member):
        self.member = member
        self.hello_at = 0.0
        self.asking: dict[str, tuple[float, Hello]] = {}  # by address: the last hello to this process

    def hello(self, now: float) -> None:
        member, held = self.member, self.member.held
        self.hello_at = now + member.timing.hello
        targets = {peer.address for peer in held.record.members} | set(member.seeds) | {member.primary_hint}
        targets |= set(held.founders or ())
        message = Hello(
            held.incarnation,
            member.name,
            member.address,
            held.founding,
            held.record.number,
            held.finished[:2],
        )
        for address in sorted(each for each in targets if each and each != member.address):
            member.send(address, message)

    def on_hello(self, now: float, sender: str, hello: Hello) -> None:
        member = self.member
        member.seen(hello.incarnation, hello.address, hello.name)
        if hello.founding:
            member.founders[hello.address] = hello.incarnation
        for address in [each for each, (at, _) in self.asking.items() if now - at >= self.remembered()]:
            del self.asking[address]
        self.asking[hello.address] = now, hello
        if hello.address == member.primary and hello.incarnation != member.held.record.primary:
            member.primary_lost(now)
        if member.lead.active:
            member.lead.hello(now, hello)
        elif not (hello.founding and member.held.record.number == 0):
            primary = member.primary if member.hears_primary(now) else None
            member.send(sender, Whereabouts(primary, member.held.record))

    def remembered(self) -> float:
        """How long a hello counts, in s: the next one may be under way."""
        return 2 * self.member.timing.hello

    def asked_lately(self, now: float) -> list[Hello]:
        """A new primary need not wait for the next hello of who asked while it was none."""
        return [hello for at, hello in self.asking.values() if now - at < self.remembered()]

    def on_whereabouts(self, now: float, sender: str, word: Whereabouts) -> None:
        if word.record.active:
            if word.record.number > self.member.held.record.number:
                self.hello_at = min(self.hello_at, now)  # there may be members who were not asked yet
            self.member.held.learn(now, word.record)
        if word.primary:
            self.member.told_primary(now, word.primary)

    def founded_enough(self, now: float) -> bool:
        """All founders were heard, or the time for it is over."""
        member = self.member
        heard = {member.address, *member.founders} & set(member.held.founders or ())
        return len(heard) == len(member.held.founders or ()) or now >= member.born_at + member.timing.founding

    def next_lives(self, now: float, record: EpochRecord):
        """The change that a candidate makes with its first epoch: members that lost their disks and have
        asked to join again lately."""
        if not record.number:
            return None
        others = {
            peer.address: peer
            for peer in record.members
            if peer.incarnation not in (0, self.member.held.incarnation)
        }
        present = {peer.incarnation for peer in record.members}
        replaced = [
            (others[hello.address], Peer(hello.incarnation, hello.name, hello.address))
            for hello in self.asked_lately(now)
            if hello.address in others and hello.incarnation not in present
        ]
        return Change(record.number, replaced) if replaced else None

    def change(self, now: float, lead, record: EpochRecord):
        """The next change of members as a function, or None.

        All replacements that are due are made at once: the quorums of both groups bind until the epoch is
        active, whatever they have in common. Members are added one at a time."""
        present = {peer.incarnation for peer in record.members}
        guests = [
            follower
            for follower in lead.followers.values()
            if follower.incarnation not in present and lead.may_join(now, follower)
        ]
        guests.sort(key=lambda follower: follower.since)
        replaced = self.returned(now, lead, record, guests) + self.moved(now, lead, record)
        taken = {new.incarnation for _, new in replaced}
        guests = [guest for guest in guests if guest.incarnation not in taken]
        replaced += self.silent(now, lead, record, guests, {id(old) for old, _ in replaced})
        if replaced:
            return Change(record.number, replaced)
        return self.addition(now, lead, record, guests)

    def returned(self, now: float, lead, record: EpochRecord, guests: list) -> list[tuple[Peer, Peer]]:
        """Members whose disk was lost, each with its next life: the old one will never speak again."""
        replaced: list[tuple[Peer, Peer]] = []
        others = [peer for peer in record.members if peer.incarnation != self.member.held.incarnation]
        for guest in guests:
            old = next((each for each in others if self.is_former_life(now, lead, each, guest)), None)
            if old is not None:
                others.remove(old)
                replaced.append((old, as_peer(guest)))
        return replaced

    def is_former_life(self, now: float, lead, old: Peer, guest) -> bool:
        """Whether the guest is the member's machine with an empty disk, or its successor by name."""
        if old.address == guest.address:
            return True
        known = lead.followers.get(old.incarnation)
        silent = known is None or not lead.heard_lately(now, known)
        return bool(old.name) and old.name == guest.name and silent

    def moved(self, now: float, lead, record: EpochRecord) -> list[tuple[Peer, Peer]]:
        """Members that speak from another address than the record names."""
        found = []
        for old in record.members:
            follower = lead.followers.get(old.incarnation)
            if follower and follower.address != old.address and lead.heard_lately(now, follower):
                found.append((old, Peer(old.incarnation, old.name, follower.address)))
        return found

    def silent(
        self, now: float, lead, record: EpochRecord, guests: list, but: set[int]
    ) -> list[tuple[Peer, Peer]]:
        """Members silent for long, the longest first, each with a newcomer."""
        silent = []
        for old in record.members:
            if old.incarnation != self.member.held.incarnation and id(old) not in but:
                follower = lead.followers.get(old.incarnation)
                silent.append((follower.spoke_at if follower else lead.began, old))
        silent.sort(key=lambda each: each[0])
        due = [old for spoke_at, old in silent if now - spoke_at > self.member.timing.replace]
        return [(old, as_peer(guest)) for old, guest in zip(due, guests, strict=False)]

    def addition(self, now: float, lead, record: EpochRecord, guests: list):
        """One member more needs a majority of holders that are members already."""
        others = [
            lead.followers.get(peer.incarnation)
            for peer in record.members
            if peer.incarnation != self.member.held.incarnation
        ]
        able = 1 + sum(follower is not None and lead.is_able(now, follower) for follower in others)
        size = len(record.members)
        if guests and size <= 2 * self.member.tolerated and able > (size + 1) // 2:
            return Change(record.number, [], as_peer(guests[0]))
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
