"""What a member believes of others: its neighbours, whom it suspects, who is gone, and what it tells of them.

Suspicion and incarnations as in SWIM (Das, Gupta, Motivala, 2002). Times are seconds of the caller's clock.
"""

from random import Random
from zlib import crc32

import msgspec

from shedgrade.membership.messages import (
    LONGEST,
    Descriptor,
    Digest,
    Node,
    Rumour,
    ShuffleRequest,
    encode,
)
from shedgrade.peer_transport.address import parse_address

SUSPICION = 2.0  # s that a suspected node has to refute
ALONE = 5  # times as long, while nobody at all is heard
REMEMBERED = 90.0  # s that a node is known to have been dropped or have left
MOST_GONE = 256
AFTER = 1.0  # s after its end at which one must have been heard to be back: ages lag by hops
NEW = 10.0  # s that a descriptor is passed on whole, though the view has room
RUMOUR_SENDS = 8  # messages that carry a rumour
RUMOURS = 6  # in one message
SUSPECTED, DROPPED, LEFT = "suspected", "dropped", "left"


class Entry:
    """A neighbour. `heard`: when it was last known to be alive; `since`: when its descriptor was learnt;
    `drop_at`: set while it is suspected."""

    __slots__ = ("node", "mark", "incarnation", "heard", "since", "drop_at")

    def __init__(self, node: Node, incarnation: int, heard: float, now: float) -> None:
        self.node, self.incarnation, self.heard, self.since = node, incarnation, heard, now
        self.mark = mark(node.name)
        self.drop_at: float | None = None

    def descriptor(self, now: float) -> Descriptor:
        return Descriptor(self.node, self.incarnation, max(0, int((now - self.heard) * 1000)))

    def digest(self, now: float) -> Digest:
        return Digest(self.mark, self.incarnation, max(0, int((now - self.heard) * 1000)))


class Gone:
    """One that was dropped or has left, in an incarnation: only a higher one of it is believed."""

    __slots__ = ("node", "incarnation", "fate", "at")

    def __init__(self, node: Node, incarnation: int, fate: str, at: float) -> None:
        self.node, self.incarnation, self.fate, self.at = node, incarnation, fate, at


class Table:
    """At most `size` entries. `heard`: when anybody was heard last. ValueError: `me` is too long."""

    def __init__(self, me: Node, random: Random, now: float, size: int) -> None:
        self.random, self.size, self.heard = random, size, now
        self.incarnation = 0
        self.entries: dict[str, Entry] = {}
        self.gone: dict[str, Gone] = {}
        self.rumours: dict[str, tuple[Rumour, int]] = {}  # name: what is told of it, and how often yet
        self.name_myself(me)

    # of itself

    def name_myself(self, me: Node) -> None:
        descriptor = Descriptor(me, self.incarnation)
        if len(encode(ShuffleRequest(2**32, descriptor, [descriptor], []))) > LONGEST:
            raise ValueError("a node's names are too long for a datagram")
        self.me = me

    def own(self) -> Descriptor:
        return Descriptor(self.me, self.incarnation)

    def refute(self, incarnation: int) -> None:
        """Something wrong is believed of this member in `incarnation`."""
        if incarnation >= self.incarnation and self.me.state != "leaving":
            self.incarnation = incarnation + 1

    # of others

    def learn(self, now: float, found: Descriptor, room: list[str] | None) -> None:
        """Takes in a descriptor. `room`: entries that may give way to a new one, the first ones first;
        None: any may."""
        node = found.node
        if node.name == self.me.name:
            # An earlier life, a state that is past, or a rumour of an earlier life put on this one.
            if node != self.me or found.incarnation > self.incarnation:
                self.refute(found.incarnation)
            return
        if not node.name or node.address == self.me.address or not addressable(node.address):
            return
        gone, entry = self.gone.get(node.name), self.entries.get(node.name)
        if gone is not None and found.incarnation <= gone.incarnation:
            return
        heard = now - max(0, found.age) / 1000
        if entry is None:
            if self.make_room(room):
                self.gone.pop(node.name, None)
                self.entries[node.name] = Entry(node, found.incarnation, heard, now)
        elif found.incarnation > entry.incarnation:
            entry.node, entry.incarnation, entry.heard = node, found.incarnation, heard
            entry.since, entry.drop_at = now, None
            self.rumours.pop(node.name, None)
        elif found.incarnation == entry.incarnation:
            entry.heard = max(entry.heard, heard)

    def make_room(self, room: list[str] | None) -> bool:
        if len(self.entries) < self.size:
            return True
        if room is None:
            del self.entries[self.random.choice(list(self.entries))]
            return True
        while room:
            if self.entries.pop(room.pop(0), None) is not None:
                return True
        return False

    def hear(self, now: float, rumour: Rumour) -> None:
        if rumour.name == self.me.name:
            self.refute(rumour.incarnation)
            return
        entry, gone = self.entries.get(rumour.name), self.gone.get(rumour.name)
        if entry is None:
            if rumour.fate in (LEFT, DROPPED) and (gone is None or gone.incarnation < rumour.incarnation):
                self.bury(now, Node(rumour.name, ""), rumour.incarnation, rumour.fate)
                self.spread(rumour)
        elif rumour.incarnation >= entry.incarnation:
            entry.incarnation = rumour.incarnation
            if rumour.fate == LEFT or (rumour.fate == DROPPED and entry.drop_at is not None):
                self.drop(now, entry, rumour.fate)
            else:  # another's word alone drops nobody: it may itself have been cut off
                self.suspect(now, entry)

    def suspect(self, now: float, entry: Entry) -> None:
        if entry.drop_at is None:
            entry.drop_at = now + SUSPICION
            self.spread(Rumour(entry.node.name, entry.incarnation, SUSPECTED))

    def suspect_alone(self, now: float, entry: Entry) -> None:
        """Guards against one that is itself cut off and calls all others dead: it waits, and tells nobody."""
        if entry.drop_at is None:
            entry.drop_at = now + ALONE * SUSPICION

    def drop_overdue(self, now: float) -> None:
        for entry in tuple(self.entries.values()):
            if entry.drop_at is not None and now >= entry.drop_at:
                self.drop(now, entry, DROPPED)

    def drop(self, now: float, entry: Entry, fate: str) -> None:
        del self.entries[entry.node.name]
        self.bury(now, entry.node, entry.incarnation, fate)
        if self.heard >= now - SUSPICION:
            self.spread(Rumour(entry.node.name, entry.incarnation, fate))

    def bury(self, now: float, node: Node, incarnation: int, fate: str) -> None:
        self.gone.pop(node.name, None)
        while len(self.gone) >= MOST_GONE:
            del self.gone[next(iter(self.gone))]
        self.gone[node.name] = Gone(node, incarnation, fate, now)

    def lost(self, now: float) -> list[Node]:
        """Who was dropped and may come back. Forgets who is gone for long."""
        self.gone = {name: gone for name, gone in self.gone.items() if now < gone.at + REMEMBERED}
        return [gone.node for gone in self.gone.values() if gone.fate == DROPPED and gone.node.address]

    # what is told

    def spread(self, rumour: Rumour) -> None:
        self.rumours.pop(rumour.name, None)
        self.rumours[rumour.name] = (rumour, RUMOUR_SENDS)

    def news(self) -> list[Rumour]:
        return [rumour for rumour, _ in list(self.rumours.values())[:RUMOURS]]

    def told(self, rumours: list[Rumour]) -> None:
        """These went out once more; the next message begins with others."""
        for rumour in rumours:
            held, left = self.rumours.pop(rumour.name, (rumour, 0))
            if left > 1:
                self.rumours[rumour.name] = (held, left - 1)

    def about(self, name: str) -> list[Rumour]:
        """What the named one should know is believed of it, so that it can refute."""
        gone, entry = self.gone.get(name), self.entries.get(name)
        if entry is not None and entry.drop_at is not None:
            return [Rumour(name, entry.incarnation, SUSPECTED)]
        if entry is None and gone is not None:
            return [Rumour(name, gone.incarnation, gone.fate)]
        return []

    def wrong(self, now: float, said: Descriptor) -> tuple[list[Descriptor], list[Rumour]]:
        """What is believed of one that says otherwise of itself in an incarnation that isn't above it."""
        rumours = [each for each in self.about(said.node.name) if each.incarnation >= said.incarnation]
        entry = self.entries.get(said.node.name)
        if entry is None or entry.incarnation < said.incarnation:
            return [], rumours
        if entry.incarnation == said.incarnation and entry.node == said.node:
            return [], rumours
        return [entry.descriptor(now)], rumours

    def some(self, now: float, most: int, but: str) -> tuple[list[Descriptor], list[Digest]]:
        """Entries to pass on. While the view has room all know all, most likely: digests do for old ones."""
        entries = [entry for name, entry in self.entries.items() if name != but and entry.drop_at is None]
        entries = self.random.sample(entries, min(most, len(entries)))
        old = [entry for entry in entries if now >= entry.since + NEW and len(self.entries) < self.size]
        return (
            [entry.descriptor(now) for entry in entries if entry not in old],
            [entry.digest(now) for entry in old],
        )

    def compare(self, now: float, digests: list[Digest]) -> list[int]:
        """Takes the ages of digests in; returns the marks of which more is to be learnt."""
        entries = {entry.mark: entry for entry in self.entries.values()}
        gone = {mark(name): gone for name, gone in self.gone.items()}
        wanted = []
        for digest in digests:
            heard = now - max(0, digest.age) / 1000
            entry, buried = entries.get(digest.mark), gone.get(digest.mark)
            if entry is not None and entry.incarnation == digest.incarnation:
                entry.heard = max(entry.heard, heard)
            elif entry is not None:
                if digest.incarnation > entry.incarnation:
                    wanted.append(digest.mark)
            elif digest.mark != mark(self.me.name) and (
                buried is None or digest.incarnation > buried.incarnation or heard > buried.at + AFTER
            ):
                wanted.append(digest.mark)
        return wanted

    def returned(self, now: float, found: Descriptor) -> bool:
        """One that is gone here was heard since, in an incarnation that can't be believed: it may be back."""
        gone = self.gone.get(found.node.name)
        return (
            gone is not None
            and found.node.name not in self.entries
            and found.incarnation <= gone.incarnation
            and now - max(0, found.age) / 1000 > gone.at + AFTER
            and addressable(found.node.address)
        )

    def marked(self, now: float, marks: list[int]) -> list[Descriptor]:
        return [
            entry.descriptor(now)
            for entry in self.entries.values()
            if entry.mark in marks and entry.drop_at is None
        ]


def mark(name: str) -> int:
    return crc32(name.encode())


def addressable(address: str) -> bool:
    """Guards against a datagram that names what no datagram can be sent to."""
    try:
        parse_address(address)
    except ValueError:
        return False
    return True


class SendDatagram(msgspec.Struct, frozen=True):
    """A datagram to be sent; `body` is at most 1200 bytes."""

    address: str
    body: bytes
