"""What one member knows about the others: its neighbours, suspected and departed nodes, and the rumours that
it spreads.

Suspicion and incarnations as in SWIM (Das, Gupta, Motivala, 2002). Times are seconds of the caller's clock.
"""

from dataclasses import dataclass
from random import Random
from zlib import crc32

from shedgrade.membership.messages import (
    MAX_MESSAGE_BYTES,
    Descriptor,
    Digest,
    Node,
    Rumour,
    ShuffleRequest,
    encode,
)
from shedgrade.peer_transport.address import parse_address

SUSPICION_TIMEOUT_S = 2.0  # in which a suspected node has to refute
ISOLATED_TIMEOUT_FACTOR = 5  # multiplies SUSPICION_TIMEOUT_S while no datagram at all arrives
DEPARTED_RETENTION_S = 90.0  # for which a dropped or left node is remembered
MAX_DEPARTED = 256
# A departed node may be back if it was alive this long after it departed here. Shorter differences occur
# without a return, since ages lag with each hop.
RETURN_MARGIN_S = 1.0
NEW_DESCRIPTOR_S = 10.0  # for which a new descriptor is sent in full even if the view has room
SENDS_PER_RUMOUR = 8  # messages that carry a rumour
MAX_RUMOURS_SENT = 6  # in one message
SUSPECTED, DROPPED, LEFT = "suspected", "dropped", "left"


class Entry:
    """A neighbour.

    Attributes:
        node: as it described itself in its newest incarnation.
        name_hash: CRC-32 of the name, which digests contain.
        incarnation: the highest one that is known; -1 for a node that was not learnt by gossip.
        last_alive_at: when the node was last known to be alive, directly or by other members.
        learnt_at: when `node` was received.
        drop_at: when the node is dropped unless it refutes; None if it isn't suspected.
    """

    __slots__ = ("node", "name_hash", "incarnation", "last_alive_at", "learnt_at", "drop_at")

    def __init__(self, node: Node, incarnation: int, last_alive_at: float, now: float) -> None:
        self.node = node
        self.name_hash = hash_name(node.name)
        self.incarnation = incarnation
        self.last_alive_at = last_alive_at
        self.learnt_at = now
        self.drop_at: float | None = None

    def descriptor(self, now: float) -> Descriptor:
        """Returns the descriptor that is sent to other members."""
        return Descriptor(self.node, self.incarnation, self.age_ms(now))

    def digest(self, now: float) -> Digest:
        """Returns the digest that is sent in place of the descriptor to members that know the node."""
        return Digest(self.name_hash, self.incarnation, self.age_ms(now))

    def age_ms(self, now: float) -> int:
        """Returns the milliseconds since the node was last known to be alive."""
        return max(0, int((now - self.last_alive_at) * 1000))


class Departed:
    """A node that was dropped or left. Only a higher incarnation of it is accepted.

    Attributes:
        node: as it was known; with the address "" if only a rumour about it was received.
        status: DROPPED or LEFT.
        at: when this member learnt that it departed.
    """

    __slots__ = ("node", "incarnation", "status", "at")

    def __init__(self, node: Node, incarnation: int, status: str, at: float) -> None:
        self.node = node
        self.incarnation = incarnation
        self.status = status
        self.at = at


class SpreadingRumour:
    """A rumour that is being spread. `sends_left`: messages that will still carry it, at least one."""

    __slots__ = ("rumour", "sends_left")

    def __init__(self, rumour: Rumour) -> None:
        self.rumour = rumour
        self.sends_left = SENDS_PER_RUMOUR


@dataclass(frozen=True, slots=True)
class Sample:
    """Entries for a shuffle: new ones as descriptors, old ones as digests."""

    descriptors: list[Descriptor]
    digests: list[Digest]


@dataclass(frozen=True, slots=True)
class Corrections:
    """Descriptors and rumours that are sent to the node that they are about, so that it refutes."""

    descriptors: list[Descriptor]
    rumours: list[Rumour]


class Table:
    """The membership state of one member. Raises ValueError if `own_node` is too long for a datagram.

    Attributes:
        own_node: the own node, as it is described to others.
        incarnation: of the own node; raised to refute and with each change of `own_node`, never lowered.
        size: largest number of entries.
        last_heard_at: when any datagram last arrived; before the first, when the table was created.
        entries: neighbours by name, alive or suspected; neither this member nor a node in `departed`.
        departed: by name, oldest first, at most MAX_DEPARTED.
        rumours: rumours that are being spread, by the name of their node, the next to be sent first.
    """

    def __init__(self, own_node: Node, random: Random, now: float, size: int) -> None:
        self.random = random
        self.size = size
        self.last_heard_at = now
        self.incarnation = 0
        self.entries: dict[str, Entry] = {}
        self.departed: dict[str, Departed] = {}
        self.rumours: dict[str, SpreadingRumour] = {}
        self.set_own_node(own_node)

    def check_invariants(self) -> None:
        """Raises AssertionError if an attribute breaks its description. For tests and the simulation."""
        assert self.incarnation >= 0
        assert len(self.entries) <= self.size
        assert len(self.departed) <= MAX_DEPARTED
        assert self.own_node.name not in self.entries
        assert not self.entries.keys() & self.departed.keys()
        for name, entry in self.entries.items():
            assert name
            assert name == entry.node.name
            assert entry.name_hash == hash_name(name)
            assert entry.node.address != self.own_node.address
        for name, departed in self.departed.items():
            assert name == departed.node.name
            assert departed.status in (DROPPED, LEFT)
        for name, spreading in self.rumours.items():
            assert name == spreading.rumour.name
            assert 1 <= spreading.sends_left <= SENDS_PER_RUMOUR

    # --- the own node

    def set_own_node(self, own_node: Node) -> None:
        """Replaces the own node. Raises ValueError if it is too long for a datagram."""
        descriptor = Descriptor(own_node, self.incarnation)
        if len(encode(ShuffleRequest(2**32, descriptor, [descriptor], []))) > MAX_MESSAGE_BYTES:
            raise ValueError("node is too long for a datagram")
        self.own_node = own_node

    def own_descriptor(self) -> Descriptor:
        """Returns the descriptor of the own node."""
        return Descriptor(self.own_node, self.incarnation)

    def refute(self, incarnation: int) -> None:
        """Raises the own incarnation above `incarnation`, in which others hold wrong information about this
        member. A member that leaves doesn't refute."""
        if incarnation >= self.incarnation and self.own_node.state != "leaving":
            self.incarnation = incarnation + 1

    # --- other nodes

    def merge_descriptor(self, now: float, descriptor: Descriptor, replaceable: list[str] | None) -> None:
        """Applies a descriptor. `replaceable`: names of entries that a new entry may replace, the first ones
        first; None: it may replace any."""
        node = descriptor.node
        if node.name == self.own_node.name:
            # From an earlier process of this name, an earlier state, or a rumour about an earlier process.
            if node != self.own_node or descriptor.incarnation > self.incarnation:
                self.refute(descriptor.incarnation)
            return
        if not node.name or node.address == self.own_node.address or not is_address(node.address):
            return
        departed, entry = self.departed.get(node.name), self.entries.get(node.name)
        if departed is not None and descriptor.incarnation <= departed.incarnation:
            return
        last_alive_at = alive_at(now, descriptor.age_ms)
        if entry is None:
            if self.make_room(replaceable):
                self.departed.pop(node.name, None)
                self.entries[node.name] = Entry(node, descriptor.incarnation, last_alive_at, now)
        elif descriptor.incarnation > entry.incarnation:
            entry.node = node
            entry.incarnation = descriptor.incarnation
            entry.last_alive_at = last_alive_at
            entry.learnt_at = now
            entry.drop_at = None
            self.rumours.pop(node.name, None)
        elif descriptor.incarnation == entry.incarnation:
            entry.last_alive_at = max(entry.last_alive_at, last_alive_at)

    def make_room(self, replaceable: list[str] | None) -> bool:
        """Returns whether one more entry fits; removes a replaceable one if necessary."""
        if len(self.entries) < self.size:
            return True
        if replaceable is None:
            del self.entries[self.random.choice(list(self.entries))]
            return True
        while replaceable:
            if self.entries.pop(replaceable.pop(0), None) is not None:
                return True
        return False

    def apply_rumour(self, now: float, rumour: Rumour) -> None:
        """Applies a rumour unless a higher incarnation is known; refutes one about this member."""
        if rumour.name == self.own_node.name:
            self.refute(rumour.incarnation)
            return
        entry, departed = self.entries.get(rumour.name), self.departed.get(rumour.name)
        if entry is None:
            newer = departed is None or departed.incarnation < rumour.incarnation
            if rumour.status in (LEFT, DROPPED) and newer:
                self.add_departed(now, Node(rumour.name, ""), rumour.incarnation, rumour.status)
                self.spread(rumour)
        elif rumour.incarnation >= entry.incarnation:
            entry.incarnation = rumour.incarnation
            if rumour.status == LEFT or (rumour.status == DROPPED and entry.drop_at is not None):
                self.drop(now, entry, rumour.status)
            else:  # a rumour alone drops no node: its origin may itself have been cut off
                self.suspect(now, entry)

    def suspect(self, now: float, entry: Entry) -> None:
        """Suspects a node: it is dropped after SUSPICION_TIMEOUT_S unless it refutes. Spreads the rumour."""
        if entry.drop_at is None:
            entry.drop_at = now + SUSPICION_TIMEOUT_S
            self.spread(Rumour(entry.node.name, entry.incarnation, SUSPECTED))

    def suspect_while_isolated(self, now: float, entry: Entry) -> None:
        """Suspects a node while no datagrams arrive. This member may be the one that is cut off, so it waits
        longer and spreads no rumour."""
        if entry.drop_at is None:
            entry.drop_at = now + ISOLATED_TIMEOUT_FACTOR * SUSPICION_TIMEOUT_S

    def drop_unrefuted(self, now: float) -> None:
        """Drops the suspected nodes whose time-out has passed."""
        for entry in tuple(self.entries.values()):
            if entry.drop_at is not None and now >= entry.drop_at:
                self.drop(now, entry, DROPPED)

    def drop(self, now: float, entry: Entry, status: str) -> None:
        """Moves a neighbour to `departed`; spreads the rumour unless this member may itself be cut off."""
        del self.entries[entry.node.name]
        self.add_departed(now, entry.node, entry.incarnation, status)
        if self.last_heard_at >= now - SUSPICION_TIMEOUT_S:
            self.spread(Rumour(entry.node.name, entry.incarnation, status))

    def add_departed(self, now: float, node: Node, incarnation: int, status: str) -> None:
        """Adds a departed node; removes the oldest ones above MAX_DEPARTED."""
        self.departed.pop(node.name, None)
        while len(self.departed) >= MAX_DEPARTED:
            del self.departed[next(iter(self.departed))]
        self.departed[node.name] = Departed(node, incarnation, status, now)

    def dropped_nodes(self, now: float) -> list[Node]:
        """Returns dropped nodes that may come back, with an address. Removes nodes that departed more than
        DEPARTED_RETENTION_S ago."""
        self.departed = {
            name: departed
            for name, departed in self.departed.items()
            if now < departed.at + DEPARTED_RETENTION_S
        }
        return [
            departed.node
            for departed in self.departed.values()
            if departed.status == DROPPED and departed.node.address
        ]

    def may_have_returned(self, now: float, descriptor: Descriptor) -> bool:
        """Returns whether a departed node was alive after it departed here, in an incarnation that is not
        accepted: it may be back.
        """
        departed = self.departed.get(descriptor.node.name)
        return (
            departed is not None
            and descriptor.node.name not in self.entries
            and descriptor.incarnation <= departed.incarnation
            and alive_at(now, descriptor.age_ms) > departed.at + RETURN_MARGIN_S
            and is_address(descriptor.node.address)
        )

    # --- messages to other members

    def spread(self, rumour: Rumour) -> None:
        """Spreads a rumour with the next messages, in place of an earlier one about the same node."""
        self.rumours.pop(rumour.name, None)
        self.rumours[rumour.name] = SpreadingRumour(rumour)

    def next_rumours(self) -> list[Rumour]:
        """Returns the rumours that the next message carries."""
        return [spreading.rumour for spreading in list(self.rumours.values())[:MAX_RUMOURS_SENT]]

    def count_sends(self, rumours: list[Rumour]) -> None:
        """Counts that a message carried these rumours; the next message starts with others."""
        for rumour in rumours:
            spreading = self.rumours.pop(rumour.name, None)
            if spreading is not None and spreading.sends_left > 1:
                spreading.sends_left -= 1
                self.rumours[rumour.name] = spreading

    def rumours_about(self, name: str) -> list[Rumour]:
        """Returns the rumours that the named node should receive, so that it can refute."""
        departed, entry = self.departed.get(name), self.entries.get(name)
        if entry is not None and entry.drop_at is not None:
            return [Rumour(name, entry.incarnation, SUSPECTED)]
        if entry is None and departed is not None:
            return [Rumour(name, departed.incarnation, departed.status)]
        return []

    def corrections(self, now: float, received: Descriptor) -> Corrections:
        """Returns the rumours about a node, and its known descriptor if that differs from `received`, which
        the node sent of itself. Leaves out those with a lower incarnation than `received`."""
        rumours = [
            rumour
            for rumour in self.rumours_about(received.node.name)
            if rumour.incarnation >= received.incarnation
        ]
        entry = self.entries.get(received.node.name)
        if entry is None or entry.incarnation < received.incarnation:
            return Corrections([], rumours)
        if entry.incarnation == received.incarnation and entry.node == received.node:
            return Corrections([], rumours)
        return Corrections([entry.descriptor(now)], rumours)

    def sample(self, now: float, count: int, excluded: str) -> Sample:
        """Returns at most `count` random entries for a shuffle, neither suspected ones nor the one named
        `excluded`.

        While the view has room, all members probably know all others, so old entries are sent as digests.
        """
        entries = [
            entry for name, entry in self.entries.items() if name != excluded and entry.drop_at is None
        ]
        entries = self.random.sample(entries, min(count, len(entries)))
        view_has_room = len(self.entries) < self.size
        old = [entry for entry in entries if now >= entry.learnt_at + NEW_DESCRIPTOR_S and view_has_room]
        return Sample(
            [entry.descriptor(now) for entry in entries if entry not in old],
            [entry.digest(now) for entry in old],
        )

    def merge_digests(self, now: float, digests: list[Digest]) -> list[int]:
        """Applies the ages of digests; returns the name hashes whose descriptors are to be requested."""
        entries = {entry.name_hash: entry for entry in self.entries.values()}
        departed_by_hash = {hash_name(name): departed for name, departed in self.departed.items()}
        wanted = []
        for digest in digests:
            last_alive_at = alive_at(now, digest.age_ms)
            entry, departed = entries.get(digest.name_hash), departed_by_hash.get(digest.name_hash)
            if entry is not None and entry.incarnation == digest.incarnation:
                entry.last_alive_at = max(entry.last_alive_at, last_alive_at)
            elif entry is not None:
                if digest.incarnation > entry.incarnation:
                    wanted.append(digest.name_hash)
            elif digest.name_hash != hash_name(self.own_node.name) and (
                departed is None
                or digest.incarnation > departed.incarnation
                or last_alive_at > departed.at + RETURN_MARGIN_S
            ):
                wanted.append(digest.name_hash)
        return wanted

    def descriptors_of(self, now: float, name_hashes: list[int]) -> list[Descriptor]:
        """Returns the descriptors of the nodes with these name hashes, except suspected ones."""
        return [
            entry.descriptor(now)
            for entry in self.entries.values()
            if entry.name_hash in name_hashes and entry.drop_at is None
        ]


def alive_at(now: float, age_ms: int) -> float:
    """Returns when a node with this age was alive. Ages received from other members may be negative."""
    return now - max(0, age_ms) / 1000


def hash_name(name: str) -> int:
    """Returns the CRC-32 of a node's name, which digests contain."""
    return crc32(name.encode())


def is_address(address: str) -> bool:
    """Returns whether datagrams can be sent to the address; received messages may contain any string."""
    try:
        parse_address(address)
    except ValueError:
        return False
    return True
