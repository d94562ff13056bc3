"""A partial view of who is there, shuffled between neighbours.

Shuffles as in Cyclon (Voulgaris, Gavidia, van Steen, 2005): once a period with the neighbour that was longest
not heard of. A neighbour that doesn't answer is asked about through two others, then suspected, and dropped
unless it refutes; what becomes of nodes travels with shuffles (SWIM: Das, Gupta, Motivala, 2002).

Departures from Cyclon: while the view has room nothing is removed, so a small system is known whole, and
digests take the place of descriptors (what a digest names and isn't known is asked for). Dropped nodes are
pinged for a while, so that a healed partition joins again.
"""

from collections.abc import Iterable
from random import Random

import msgspec

from shedgrade.membership.messages import (
    LONGEST,
    Ack,
    Descriptor,
    DescriptorRequest,
    Digest,
    IndirectAck,
    IndirectPing,
    MembershipUpdate,
    Message,
    Node,
    Ping,
    Rumour,
    ShuffleRequest,
    ShuffleResponse,
    decode,
    encode,
)
from shedgrade.membership.population import PopulationEstimator
from shedgrade.membership.table import (
    DROPPED,
    LEFT,
    RUMOURS,
    Entry,
    SendDatagram,
    Table,
    addressable,
)
from shedgrade.peer_transport.address import parse_address

PROMPT = 0.4  # s: a shuffle is answered in it, or others are asked
INQUIRED = 0.6  # s that the inquiry through others takes
FEW = 3  # neighbours; with fewer, shuffles are PROMPT apart
FIRST = 0.2  # s: the first shuffle is by chance within
LOST_EVERY = 2  # periods between pings of a dropped node
SEED_EVERY = 25  # at most so many periods between pings of contacts that nobody speaks of
UNSPOKEN = 120.0  # s without a descriptor of a contact: its system may have fallen apart from ours
SEEDS = 3  # contacts pinged at once
HELPERS = 2  # asked about one that doesn't answer
MOST_RELAYS = 64


class Pending:
    """A shuffle that waits for its answer. `sent`: names of the entries that went with it."""

    __slots__ = ("name", "address", "incarnation", "sent", "since", "until", "inquired")

    def __init__(self, name: str, address: str, incarnation: int, sent: list[str], now: float) -> None:
        self.name, self.address, self.incarnation, self.sent = name, address, incarnation, sent
        self.since, self.until, self.inquired = now, now + PROMPT, False


class PartialView:
    """One member's view. `size`: most neighbours; `shuffle`: entries exchanged; `period`: s between shuffles.

    Effects (Send) gather in `effects`; the caller takes them out after each call and calls `tick` when
    `wake_at` is due. All times are seconds of the caller's steady clock. ValueError: `me` is too long for a
    datagram.
    """

    def __init__(
        self, me: Node, random: Random, now: float, size: int = 16, shuffle: int = 8, period: float = 1.2
    ) -> None:
        self.random, self.length, self.period = random, shuffle, period
        self.table = Table(me, random, now, size)
        self.census = PopulationEstimator()
        self.instructions: list[SendDatagram] = []
        self.contacts: dict[str, float] = {}  # addresses learnt elsewhere: when one spoke of them last
        self.pending: dict[int, Pending] = {}
        self.relays: dict[int, tuple[str, int, float]] = {}  # own number: asker, its number, until
        self.number = 0
        self.left = False
        self.shuffle_at = now + random.uniform(0, FIRST)
        self.lost_at = now + LOST_EVERY * period * random.uniform(0.5, 1)
        self.seed_pause = period
        self.seed_at = now + period * random.uniform(0.5, 1)

    # what is asked

    def nodes(self) -> tuple[Node, ...]:
        """Who is believed to be alive, this one first; suspected ones are, until they are dropped."""
        return self.table.me, *(entry.node for entry in self.table.entries.values())

    def count(self, kind: str) -> int:
        """How many of a kind there are, this one too: exact while the view has room, else an estimate."""
        held = sum(entry.node.kind == kind for entry in self.table.entries.values())
        if len(self.table.entries) >= self.table.size:
            held = max(held, self.census.count(kind))
        return held + (self.table.me.kind == kind)

    def wake_at(self) -> float:
        """When `tick` is due next; infinity after `leave`."""
        if self.left:
            return float("inf")
        times = [self.shuffle_at, self.lost_at, self.seed_at]
        times += [pending.until for pending in self.pending.values()]
        times += [entry.drop_at for entry in self.table.entries.values() if entry.drop_at is not None]
        return min(times)

    # what is told from outside

    def add_contacts(self, nodes: Iterable[Node]) -> None:
        """Contacts learnt elsewhere. With a name they enter the view if it has room; by an address alone they
        are only asked. ValueError: an address that is none."""
        table = self.table
        for node in nodes:
            parse_address(node.address)
            if node.address == table.me.address or node.name == table.me.name:
                continue
            self.contacts.setdefault(node.address, float("-inf"))
            if node.name and node.name not in table.gone and len(table.entries) < table.size:
                table.entries.setdefault(node.name, Entry(node, -1, table.heard - self.period, table.heard))

    def update(self, me: Node) -> None:
        """The own node changed, not its name or address: a new incarnation. ValueError: too long."""
        if me != self.table.me:
            self.table.name_myself(me)
            self.table.incarnation += 1

    def leave(self, now: float) -> None:
        """Says so to all neighbours, and shuffles no more."""
        if self.left:
            return
        self.update(msgspec.structs.replace(self.table.me, state="leaving"))
        self.left = True
        for entry in self.table.entries.values():
            self.send(entry.node.address, self.farewell())

    # time passes

    def tick(self, now: float) -> None:
        if self.left:
            return
        late = now - self.wake_at()
        if late > PROMPT:
            self.postpone(late)
        for number, pending in tuple(self.pending.items()):
            if now >= pending.until:
                self.unanswered(now, number, pending)
        self.table.drop_overdue(now)
        if now >= self.shuffle_at:
            self.shuffle(now)
        if now >= self.lost_at:
            self.lost_at = now + LOST_EVERY * self.period * self.random.uniform(0.8, 1.2)
            self.ping_lost(now)
        if now >= self.seed_at:
            self.seed_pause = min(2 * self.seed_pause, SEED_EVERY * self.period)
            self.seed_at = now + self.seed_pause * self.random.uniform(0.8, 1.2)
            self.ping_seeds(now)

    def postpone(self, late: float) -> None:
        """Guards against a process that was stopped: its neighbours had no time to answer it."""
        for pending in self.pending.values():
            pending.until += late
        for entry in self.table.entries.values():
            if entry.drop_at is not None:
                entry.drop_at += late

    def shuffle(self, now: float) -> None:
        few = len(self.table.entries) < FEW
        self.shuffle_at = now + (PROMPT if few else self.period) * self.random.uniform(0.9, 1.1)
        waited = {pending.name for pending in self.pending.values()}
        sound = [
            entry
            for name, entry in self.table.entries.items()
            if entry.drop_at is None and name not in waited
        ]
        for entry in self.table.entries.values():
            if entry.drop_at is not None:  # guards against a refutation that was lost
                self.ping(entry.node.address, self.table.about(entry.node.name))
        if sound:
            partner = min(sound, key=lambda entry: (entry.heard, self.random.random()))
            name, address, incarnation = partner.node.name, partner.node.address, partner.incarnation
        elif self.contacts:
            name, address, incarnation = "", self.random.choice(sorted(self.contacts)), -1
        else:
            return
        self.number += 1
        sent = self.exchange(
            address, ShuffleRequest, self.number, self.table.some(now, self.length - 1, name), []
        )
        self.pending[self.number] = Pending(name, address, incarnation, sent, now)

    def ping_lost(self, now: float) -> None:
        """Pings one that was dropped: guards against a healed partition in which none knows the others."""
        lost = self.table.lost(now)
        if lost:
            node = self.random.choice(lost)
            self.ping(node.address, self.table.about(node.name))

    def ping_seeds(self, now: float) -> None:
        """Pings contacts that nobody speaks of: guards against two systems at the start, or after a cut."""
        known = {entry.node.address for entry in self.table.entries.values()}
        strange = [
            address for address, at in self.contacts.items() if address not in known and at < now - UNSPOKEN
        ]
        for address in self.random.sample(strange, min(SEEDS, len(strange))):
            self.ping(address, [])

    def unanswered(self, now: float, number: int, pending: Pending) -> None:
        table = self.table
        entry = table.entries.get(pending.name)
        if entry is None or entry.heard >= pending.since or entry.incarnation > pending.incarnation:
            del self.pending[number]
        elif not pending.inquired:
            others = [
                other for other in table.entries.values() if other is not entry and other.drop_at is None
            ]
            for helper in self.random.sample(others, min(HELPERS, len(others))):
                self.send(helper.node.address, IndirectPing(number, pending.address))
            pending.inquired, pending.until = True, now + INQUIRED
            self.shuffle_at = now  # guards against many dead at once, each of which would take a period
        else:
            del self.pending[number]
            if table.heard >= pending.since:
                table.suspect(now, entry)
                self.send(pending.address, MembershipUpdate([], table.about(pending.name)))
            else:
                table.suspect_alone(now, entry)

    # messages

    def receive(self, now: float, sender: str, body: bytes) -> None:
        """`sender`: the UDP address that `body` came from. What is no message is ignored."""
        try:
            message = decode(body)
        except (msgspec.MsgspecError, RecursionError):
            return
        if sender == self.table.me.address:
            return
        self.table.heard = now
        if self.left:
            if isinstance(message, ShuffleRequest | Ping):
                self.send(sender, self.farewell())
            return
        match message:
            case ShuffleRequest():
                self.shuffled(now, sender, message)
            case ShuffleResponse():
                self.answered(now, sender, message)
            case Ping():
                self.pinged(now, sender, message)
            case Ack():
                self.ponged(now, message)
            case IndirectPing():
                self.inquire(now, sender, message)
            case IndirectAck():
                self.pending.pop(message.number, None)
                self.table.learn(now, message.found, [])
                self.contradict(now, message.found.node.address, message.found)
            case MembershipUpdate():
                self.noticed(now, sender, message)
            case DescriptorRequest():
                self.tell(sender, self.table.marked(now, message.marks[: self.length]))

    def shuffled(self, now: float, sender: str, message: ShuffleRequest) -> None:
        name = message.sender.node.name
        self.hear(now, message.rumours)
        some = self.table.some(now, self.length, name)
        room = self.exchange(sender, ShuffleResponse, message.number, some, self.table.about(name))
        self.take_in(now, sender, message, room)
        self.contradict(now, sender, message.sender)

    def answered(self, now: float, sender: str, message: ShuffleResponse) -> None:
        self.hear(now, message.rumours)
        pending = self.pending.pop(message.number, None)
        if pending is None:  # late, or a stranger's: worth knowing, but no entry gives way to it
            self.take_in(now, sender, message, [])
            return
        entry = self.table.entries.get(pending.name)
        if entry is not None and message.sender.node.name != pending.name:
            self.table.drop(now, entry, DROPPED)  # another process has its address now
        elif entry is not None:
            entry.heard = now  # whatever its incarnation: else it would be the next partner for ever
        self.take_in(now, sender, message, [pending.name, *pending.sent])

    def take_in(
        self, now: float, sender: str, message: ShuffleRequest | ShuffleResponse, room: list[str]
    ) -> None:
        table, found = self.table, [message.sender, *message.entries[: self.length]]
        self.learn(now, found, room)
        for descriptor in found:
            if descriptor.node.address in self.contacts:
                self.contacts[descriptor.node.address] = now
        self.census.sample(
            now,
            [
                (each.node.name, each.node.kind)
                for each in found
                if each.node.name != table.me.name and each.node.name not in table.gone
            ],
        )
        wanted = table.compare(now, message.digests[: self.length])
        if wanted:
            self.send(sender, DescriptorRequest(wanted))

    def pinged(self, now: float, sender: str, message: Ping) -> None:
        self.hear(now, message.rumours)
        self.table.learn(now, message.sender, [])
        self.send(sender, Ack(message.number, self.table.own()))
        self.contradict(now, sender, message.sender)

    def ponged(self, now: float, message: Ack) -> None:
        relay = self.relays.pop(message.number, None)
        if relay is None:  # one that was dropped, or a contact: it is to be a neighbour
            self.table.learn(now, message.sender, None)
            return
        self.table.learn(now, message.sender, [])
        if now < relay[2]:
            self.send(relay[0], IndirectAck(relay[1], message.sender))

    def inquire(self, now: float, sender: str, message: IndirectPing) -> None:
        if not addressable(message.address):
            return
        for number, relay in tuple(self.relays.items()):
            if now >= relay[2] or len(self.relays) >= MOST_RELAYS:
                del self.relays[number]
        self.relays[self.ping(message.address, [])] = (sender, message.number, now + INQUIRED)

    def noticed(self, now: float, sender: str, message: MembershipUpdate) -> None:
        before = self.table.incarnation
        self.hear(now, message.rumours)
        self.learn(now, message.entries[: self.length], [])
        if self.table.incarnation != before:
            self.send(sender, MembershipUpdate([self.table.own()], []))

    def contradict(self, now: float, sender: str, said: Descriptor) -> None:
        """Tells one that is believed dead, suspected or another, so that it refutes."""
        entries, rumours = self.table.wrong(now, said)
        if (entries or rumours) and addressable(sender):
            self.send(sender, MembershipUpdate(entries, rumours))

    def learn(self, now: float, found: list[Descriptor], room: list[str]) -> None:
        returned = [each.node for each in found if self.table.returned(now, each)]
        for descriptor in found:
            self.table.learn(now, descriptor, room)
        if returned:  # one at a time; it learns what is believed of it and refutes
            node = self.random.choice(returned)
            self.ping(node.address, self.table.about(node.name))

    def hear(self, now: float, rumours: list[Rumour]) -> None:
        for rumour in rumours[: 2 * RUMOURS]:
            entry = self.table.entries.get(rumour.name)
            sound = entry is not None and entry.drop_at is None
            self.table.hear(now, rumour)
            if sound and entry is not None and entry.drop_at is not None:
                # Let it refute here too: that spreads no faster.
                self.ping(entry.node.address, self.table.about(rumour.name))
            if rumour.name in self.table.gone:
                self.census.remove(rumour.name)

    # what is sent

    def farewell(self) -> MembershipUpdate:
        return MembershipUpdate([], [Rumour(self.table.me.name, self.table.incarnation, LEFT)])

    def ping(self, address: str, rumours: list[Rumour]) -> int:
        self.number += 1
        self.send(address, Ping(self.number, self.table.own(), rumours))
        return self.number

    def tell(self, address: str, entries: list[Descriptor]) -> None:
        while entries:
            fit = len(entries)
            while fit > 1 and len(encode(MembershipUpdate(entries[:fit], []))) > LONGEST:
                fit -= 1
            self.send(address, MembershipUpdate(entries[:fit], []))
            entries = entries[fit:]

    def exchange(
        self,
        address: str,
        kind: type,
        number: int,
        some: tuple[list[Descriptor], list[Digest]],
        rumours: list[Rumour],
    ) -> list[str]:
        """Sends a shuffle or its answer with what fits a datagram; the names of the descriptors that went."""
        (entries, digests), rumours = some, rumours + self.table.news()
        while len(body := encode(kind(number, self.table.own(), entries, rumours, digests))) > LONGEST:
            entries, rumours = (entries[:-1], rumours) if entries else (entries, rumours[:-1])
        self.table.told(rumours)
        self.instructions.append(SendDatagram(address, body))
        return [entry.node.name for entry in entries]

    def send(self, address: str, message: Message) -> None:
        self.instructions.append(SendDatagram(address, encode(message)))
