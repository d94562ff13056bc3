"""A partial view of the members, shuffled between neighbours. No I/O; the caller's time is handed in.

Shuffles as in Cyclon (Voulgaris, Gavidia, van Steen, 2005): once a period with the neighbour that was longest
not heard of. A neighbour that doesn't answer is pinged through two others, then suspected, and dropped unless
it refutes; what becomes of nodes travels with shuffles (SWIM: Das, Gupta, Motivala, 2002).

Departures from Cyclon: while the view has room nothing is removed, so a small system is known whole, and
digests take the place of descriptors (what a digest names and isn't known is asked for). Dropped nodes are
pinged for a while, so that a healed partition joins again.
"""

from collections.abc import Iterable
from random import Random

import msgspec

from shedgrade.membership.fitting import fit_shuffle, split_updates
from shedgrade.membership.messages import (
    Ack,
    Descriptor,
    DescriptorRequest,
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
from shedgrade.membership.table import DROPPED, LEFT, MAX_RUMOURS_SENT, Entry, Sample, Table, is_address
from shedgrade.peer_transport.address import parse_address

SHUFFLE_TIMEOUT_S = 0.4  # a shuffle is answered in it, or others are asked
INDIRECT_PING_TIMEOUT_S = 0.6
FAST_PERIOD_S = 0.4  # between shuffles while there are fewer than FEW_NEIGHBOURS
FEW_NEIGHBOURS = 3
FIRST_SHUFFLE_S = 0.2  # the first shuffle is at random within it
REJOIN_PING_PERIODS = 2  # between pings of a dropped node
MAX_CONTACT_PING_PERIODS = 25  # between pings of contacts that nobody mentions
CONTACT_SILENCE_S = 120.0  # without a descriptor of a contact: its system may have fallen apart from ours
CONTACTS_PINGED = 3  # at once
INDIRECT_PING_HELPERS = 2  # asked about one that doesn't answer
MAX_RELAYED_PINGS = 64


class SendDatagram(msgspec.Struct, frozen=True):
    """An instruction to the caller: a datagram to be sent; `body` is at most MAX_MESSAGE_BYTES long."""

    address: str
    body: bytes


class PendingShuffle:
    """A shuffle that waits for its answer.

    Attributes:
        name, address, incarnation: of the partner, as it was known then; a contact has the name "".
        sent_names: of the entries that went with it; they give way to those that come back.
        sent_at: when the request went out.
        deadline: when it counts as unanswered; moved on once, for the indirect pings.
        is_indirect: whether others were asked to ping the partner.
    """

    __slots__ = ("name", "address", "incarnation", "sent_names", "sent_at", "deadline", "is_indirect")

    def __init__(self, name: str, address: str, incarnation: int, sent_names: list[str], now: float) -> None:
        self.name = name
        self.address = address
        self.incarnation = incarnation
        self.sent_names = sent_names
        self.sent_at = now
        self.deadline = now + SHUFFLE_TIMEOUT_S
        self.is_indirect = False


class RelayedPing:
    """A ping sent for another member. `requester`: its address; `number`: of its request; `deadline`: after
    it the requester no longer waits."""

    __slots__ = ("requester", "number", "deadline")

    def __init__(self, requester: str, number: int, deadline: float) -> None:
        self.requester = requester
        self.number = number
        self.deadline = deadline


class PartialView:
    """One member's view, a state machine: calls and datagrams in, instructions out.

    Instructions gather in `instructions`; the caller takes them out after each call and calls `tick` when
    `wake_at` is due. All times are seconds of the caller's steady clock. ValueError: `me` is too long for a
    datagram.

    A neighbour is alive, suspected (`Entry.drop_at` is set), or departed (`Table.departed`). A shuffle that
    isn't answered goes on to indirect pings, and then to suspicion. The member itself is active until
    `leave`; after it, `has_left` is set for good, nothing is due any more, and requests are answered by a
    farewell.

    Attributes:
        shuffle_length: the most entries that are exchanged; of what comes in, no more are taken.
        period: seconds between shuffles.
        table: the beliefs about other members, and the own node.
        estimator: counts members beyond the view by the descriptors that come in.
        instructions: datagrams that the caller has not taken yet.
        contacts: addresses learnt elsewhere, with the time at which a descriptor mentioned them last.
        pending_shuffles: by the number of the request. At most one for each partner that is in the table.
        relayed_pings: by the number of the own ping; at most MAX_RELAYED_PINGS.
        last_number: of the last request or ping; numbers only rise.
        has_left: whether `leave` was called. Never unset.
        shuffle_at, rejoin_ping_at, contact_ping_at: when the next one is due.
        contact_ping_pause: seconds between pings of contacts, doubled up to MAX_CONTACT_PING_PERIODS.
    """

    def __init__(
        self, me: Node, random: Random, now: float, size: int = 16, shuffle: int = 8, period: float = 1.2
    ) -> None:
        """`size`: most neighbours; `shuffle`: entries exchanged; `period`: seconds between shuffles."""
        self.random = random
        self.shuffle_length = shuffle
        self.period = period
        self.table = Table(me, random, now, size)
        self.estimator = PopulationEstimator()
        self.instructions: list[SendDatagram] = []
        self.contacts: dict[str, float] = {}
        self.pending_shuffles: dict[int, PendingShuffle] = {}
        self.relayed_pings: dict[int, RelayedPing] = {}
        self.last_number = 0
        self.has_left = False
        self.shuffle_at = now + random.uniform(0, FIRST_SHUFFLE_S)
        self.rejoin_ping_at = now + REJOIN_PING_PERIODS * period * random.uniform(0.5, 1)
        self.contact_ping_pause = period
        self.contact_ping_at = now + period * random.uniform(0.5, 1)

    def check_invariants(self) -> None:
        """AssertionError if an attribute breaks what the class says of it. For tests and the simulation."""
        self.table.check_invariants()
        assert len(self.relayed_pings) <= MAX_RELAYED_PINGS
        assert max((*self.pending_shuffles, *self.relayed_pings), default=0) <= self.last_number
        assert not self.pending_shuffles.keys() & self.relayed_pings.keys()
        partners = [pending.name for pending in self.pending_shuffles.values() if pending.name]
        assert len(partners) == len(set(partners))
        assert self.table.me.name not in partners
        assert self.table.me.address not in self.contacts
        assert self.period <= self.contact_ping_pause <= MAX_CONTACT_PING_PERIODS * self.period
        if self.has_left:
            assert self.table.me.state == "leaving"
            assert self.wake_at() == float("inf")

    # --- queries

    def nodes(self) -> tuple[Node, ...]:
        """Who is believed to be alive, this one first; suspected ones are, until they are dropped."""
        return self.table.me, *(entry.node for entry in self.table.entries.values())

    def count(self, kind: str) -> int:
        """How many of a kind there are, this one too: exact while the view has room, else an estimate."""
        others = sum(entry.node.kind == kind for entry in self.table.entries.values())
        if len(self.table.entries) >= self.table.size:
            others = max(others, self.estimator.count(kind))
        return others + (self.table.me.kind == kind)

    def wake_at(self) -> float:
        """When `tick` is due next; infinity after `leave`."""
        if self.has_left:
            return float("inf")
        times = [self.shuffle_at, self.rejoin_ping_at, self.contact_ping_at]
        times += [pending.deadline for pending in self.pending_shuffles.values()]
        times += [entry.drop_at for entry in self.table.entries.values() if entry.drop_at is not None]
        return min(times)

    # --- calls of the program

    def add_contacts(self, nodes: Iterable[Node]) -> None:
        """Contacts learnt elsewhere. With a name they enter the view if it has room; by an address alone they
        are only asked. ValueError: an address that is none."""
        table = self.table
        for node in nodes:
            parse_address(node.address)
            if node.address == table.me.address or node.name == table.me.name:
                continue
            self.contacts.setdefault(node.address, float("-inf"))
            if node.name and node.name not in table.departed and len(table.entries) < table.size:
                heard_at = table.last_heard_at
                table.entries.setdefault(node.name, Entry(node, -1, heard_at - self.period, heard_at))

    def update(self, me: Node) -> None:
        """The own node changed, not its name or address: a new incarnation. ValueError: too long."""
        if me != self.table.me:
            self.table.set_own_node(me)
            self.table.incarnation += 1

    def leave(self, now: float) -> None:
        """Sends a farewell to all neighbours; nothing is shuffled any more."""
        if self.has_left:
            return
        self.update(msgspec.structs.replace(self.table.me, state="leaving"))
        self.has_left = True
        for entry in self.table.entries.values():
            self.send(entry.node.address, self.farewell())

    # --- timers

    def tick(self, now: float) -> None:
        """Does what is due."""
        if self.has_left:
            return
        late_s = now - self.wake_at()
        if late_s > SHUFFLE_TIMEOUT_S:
            self.postpone_timeouts(late_s)
        for number, pending in tuple(self.pending_shuffles.items()):
            if now >= pending.deadline:
                self.on_shuffle_timeout(now, number, pending)
        self.table.drop_unrefuted(now)
        if now >= self.shuffle_at:
            self.send_shuffle(now)
        if now >= self.rejoin_ping_at:
            pause = REJOIN_PING_PERIODS * self.period * self.random.uniform(0.8, 1.2)
            self.rejoin_ping_at = now + pause
            self.ping_dropped(now)
        if now >= self.contact_ping_at:
            self.contact_ping_pause = min(2 * self.contact_ping_pause, MAX_CONTACT_PING_PERIODS * self.period)
            self.contact_ping_at = now + self.contact_ping_pause * self.random.uniform(0.8, 1.2)
            self.ping_contacts(now)

    def postpone_timeouts(self, late_s: float) -> None:
        """Guards against a process that was stopped: its neighbours had no time to answer it."""
        for pending in self.pending_shuffles.values():
            pending.deadline += late_s
        for entry in self.table.entries.values():
            if entry.drop_at is not None:
                entry.drop_at += late_s

    def send_shuffle(self, now: float) -> None:
        """Shuffles with the neighbour longest not heard of; with a contact if there is no neighbour."""
        has_few = len(self.table.entries) < FEW_NEIGHBOURS
        pause = FAST_PERIOD_S if has_few else self.period
        self.shuffle_at = now + pause * self.random.uniform(0.9, 1.1)
        self.ping_suspected()
        partners = self.shuffle_partners()
        if partners:
            partner = min(partners, key=lambda entry: (entry.last_alive_at, self.random.random()))
            name, address, incarnation = partner.node.name, partner.node.address, partner.incarnation
        elif self.contacts:
            name, address, incarnation = "", self.random.choice(sorted(self.contacts)), -1
        else:
            return
        self.last_number += 1
        sample = self.table.sample(now, self.shuffle_length - 1, name)
        sent_names = self.exchange(address, ShuffleRequest, self.last_number, sample, [])
        pending = PendingShuffle(name, address, incarnation, sent_names, now)
        self.pending_shuffles[self.last_number] = pending

    def shuffle_partners(self) -> list[Entry]:
        """Neighbours that are not suspected and owe no answer."""
        pending_names = {pending.name for pending in self.pending_shuffles.values()}
        return [
            entry
            for name, entry in self.table.entries.items()
            if entry.drop_at is None and name not in pending_names
        ]

    def ping_suspected(self) -> None:
        """Guards against a refutation that was lost."""
        for entry in self.table.entries.values():
            if entry.drop_at is not None:
                self.ping(entry.node.address, self.table.rumours_about(entry.node.name))

    def ping_dropped(self, now: float) -> None:
        """Pings one that was dropped: guards against a healed partition in which none knows the others."""
        dropped = self.table.dropped_nodes(now)
        if dropped:
            node = self.random.choice(dropped)
            self.ping(node.address, self.table.rumours_about(node.name))

    def ping_contacts(self, now: float) -> None:
        """Pings contacts that nobody mentions: guards against two systems at the start, or after a
        partition.
        """
        known = {entry.node.address for entry in self.table.entries.values()}
        unmentioned = [
            address
            for address, mentioned_at in self.contacts.items()
            if address not in known and mentioned_at < now - CONTACT_SILENCE_S
        ]
        for address in self.random.sample(unmentioned, min(CONTACTS_PINGED, len(unmentioned))):
            self.ping(address, [])

    def on_shuffle_timeout(self, now: float, number: int, pending: PendingShuffle) -> None:
        """Asks others to ping the partner; suspects it if they have been asked before."""
        table = self.table
        entry = table.entries.get(pending.name)
        if entry is None or entry.last_alive_at >= pending.sent_at or entry.incarnation > pending.incarnation:
            del self.pending_shuffles[number]
        elif not pending.is_indirect:
            self.send_indirect_pings(number, pending, entry)
            pending.is_indirect = True
            pending.deadline = now + INDIRECT_PING_TIMEOUT_S
            self.shuffle_at = now  # guards against many dead at once, each of which would take a period
        else:
            del self.pending_shuffles[number]
            if table.last_heard_at >= pending.sent_at:
                table.suspect(now, entry)
                self.send(pending.address, MembershipUpdate([], table.rumours_about(pending.name)))
            else:
                table.suspect_while_isolated(now, entry)

    def send_indirect_pings(self, number: int, pending: PendingShuffle, partner: Entry) -> None:
        """Asks some neighbours, drawn at random, to ping the partner (SWIM)."""
        helpers = [
            entry for entry in self.table.entries.values() if entry is not partner and entry.drop_at is None
        ]
        for helper in self.random.sample(helpers, min(INDIRECT_PING_HELPERS, len(helpers))):
            self.send(helper.node.address, IndirectPing(number, pending.address))

    # --- datagrams that come in

    def receive(self, now: float, sender: str, body: bytes) -> None:
        """`sender`: the UDP address that `body` came from. What is no message is ignored."""
        try:
            message = decode(body)
        except (msgspec.MsgspecError, RecursionError):
            return
        if sender == self.table.me.address:
            return
        self.table.last_heard_at = now
        if self.has_left:
            if isinstance(message, ShuffleRequest | Ping):
                self.send(sender, self.farewell())
            return
        match message:
            case ShuffleRequest():
                self.on_shuffle_request(now, sender, message)
            case ShuffleResponse():
                self.on_shuffle_response(now, sender, message)
            case Ping():
                self.on_ping(now, sender, message)
            case Ack():
                self.on_ack(now, message)
            case IndirectPing():
                self.on_indirect_ping(now, sender, message)
            case IndirectAck():
                self.on_indirect_ack(now, message)
            case MembershipUpdate():
                self.on_update(now, sender, message)
            case DescriptorRequest():
                wanted = message.name_hashes[: self.shuffle_length]
                for update in split_updates(self.table.descriptors_of(now, wanted)):
                    self.send(sender, update)

    def on_shuffle_request(self, now: float, sender: str, message: ShuffleRequest) -> None:
        """Answers with as many own entries, which may give way to those that came."""
        name = message.sender.node.name
        self.apply_rumours(now, message.rumours)
        sample = self.table.sample(now, self.shuffle_length, name)
        rumours = self.table.rumours_about(name)
        sent_names = self.exchange(sender, ShuffleResponse, message.number, sample, rumours)
        self.merge_shuffle(now, sender, message, sent_names)
        self.correct(now, sender, message.sender)

    def on_shuffle_response(self, now: float, sender: str, message: ShuffleResponse) -> None:
        """The partner and the entries that were sent to it may give way to those that came."""
        self.apply_rumours(now, message.rumours)
        pending = self.pending_shuffles.pop(message.number, None)
        if pending is None:  # late, or a stranger's: worth knowing, but no entry gives way to it
            self.merge_shuffle(now, sender, message, [])
            return
        entry = self.table.entries.get(pending.name)
        if entry is not None and message.sender.node.name != pending.name:
            self.table.drop(now, entry, DROPPED)  # another process has its address now
        elif entry is not None:
            entry.last_alive_at = now  # whatever its incarnation: else it would be the next partner for ever
        self.merge_shuffle(now, sender, message, [pending.name, *pending.sent_names])

    def merge_shuffle(
        self, now: float, sender: str, message: ShuffleRequest | ShuffleResponse, replaceable: list[str]
    ) -> None:
        """Takes in the descriptors and digests of a shuffle; `replaceable` as for the table."""
        table = self.table
        descriptors = [message.sender, *message.entries[: self.shuffle_length]]
        self.merge_descriptors(now, descriptors, replaceable)
        for descriptor in descriptors:
            if descriptor.node.address in self.contacts:
                self.contacts[descriptor.node.address] = now
        self.estimator.sample(
            now,
            [
                (descriptor.node.name, descriptor.node.kind)
                for descriptor in descriptors
                if descriptor.node.name != table.me.name and descriptor.node.name not in table.departed
            ],
        )
        wanted = table.merge_digests(now, message.digests[: self.shuffle_length])
        if wanted:
            self.send(sender, DescriptorRequest(wanted))

    def on_ping(self, now: float, sender: str, message: Ping) -> None:
        """Answers, and corrects what the sender says of itself if that isn't believed here."""
        self.apply_rumours(now, message.rumours)
        self.table.merge_descriptor(now, message.sender, [])
        self.send(sender, Ack(message.number, self.table.own_descriptor()))
        self.correct(now, sender, message.sender)

    def on_ack(self, now: float, message: Ack) -> None:
        """Sends the answer on to who asked for an indirect ping."""
        relayed = self.relayed_pings.pop(message.number, None)
        if relayed is None:  # one that was dropped, or a contact: it is to be a neighbour
            self.table.merge_descriptor(now, message.sender, None)
            return
        self.table.merge_descriptor(now, message.sender, [])
        if now < relayed.deadline:
            self.send(relayed.requester, IndirectAck(relayed.number, message.sender))

    def on_indirect_ping(self, now: float, sender: str, message: IndirectPing) -> None:
        """Pings for the sender."""
        if not is_address(message.address):
            return
        for number, relayed in tuple(self.relayed_pings.items()):
            if now >= relayed.deadline or len(self.relayed_pings) >= MAX_RELAYED_PINGS:
                del self.relayed_pings[number]
        number = self.ping(message.address, [])
        self.relayed_pings[number] = RelayedPing(sender, message.number, now + INDIRECT_PING_TIMEOUT_S)

    def on_indirect_ack(self, now: float, message: IndirectAck) -> None:
        """The partner of a shuffle that wasn't answered is alive."""
        self.pending_shuffles.pop(message.number, None)
        self.table.merge_descriptor(now, message.descriptor, [])
        self.correct(now, message.descriptor.node.address, message.descriptor)

    def on_update(self, now: float, sender: str, message: MembershipUpdate) -> None:
        """Takes the news in; answers if some of it is wrong about this member."""
        incarnation_before = self.table.incarnation
        self.apply_rumours(now, message.rumours)
        self.merge_descriptors(now, message.entries[: self.shuffle_length], [])
        if self.table.incarnation != incarnation_before:
            self.send(sender, MembershipUpdate([self.table.own_descriptor()], []))

    def correct(self, now: float, sender: str, said: Descriptor) -> None:
        """Tells a node that is believed dropped, suspected or different, so that it refutes."""
        corrections = self.table.corrections(now, said)
        if (corrections.descriptors or corrections.rumours) and is_address(sender):
            self.send(sender, MembershipUpdate(corrections.descriptors, corrections.rumours))

    def merge_descriptors(self, now: float, descriptors: list[Descriptor], replaceable: list[str]) -> None:
        """Takes in descriptors; pings a departed node that may be back."""
        returned = [
            descriptor.node for descriptor in descriptors if self.table.may_have_returned(now, descriptor)
        ]
        for descriptor in descriptors:
            self.table.merge_descriptor(now, descriptor, replaceable)
        if returned:  # one at a time; it learns what is believed of it and refutes
            node = self.random.choice(returned)
            self.ping(node.address, self.table.rumours_about(node.name))

    def apply_rumours(self, now: float, rumours: list[Rumour]) -> None:
        """Takes in rumours; lets a node refute that is suspected here from now on."""
        for rumour in rumours[: 2 * MAX_RUMOURS_SENT]:
            entry = self.table.entries.get(rumour.name)
            was_alive = entry is not None and entry.drop_at is None
            self.table.apply_rumour(now, rumour)
            if was_alive and entry is not None and entry.drop_at is not None:
                # Let it refute here too: that spreads no faster.
                self.ping(entry.node.address, self.table.rumours_about(rumour.name))
            if rumour.name in self.table.departed:
                self.estimator.remove(rumour.name)

    # --- datagrams that go out

    def farewell(self) -> MembershipUpdate:
        """This member has left."""
        return MembershipUpdate([], [Rumour(self.table.me.name, self.table.incarnation, LEFT)])

    def ping(self, address: str, rumours: list[Rumour]) -> int:
        """Sends a ping; returns its number."""
        self.last_number += 1
        self.send(address, Ping(self.last_number, self.table.own_descriptor(), rumours))
        return self.last_number

    def exchange(
        self,
        address: str,
        kind: type[ShuffleRequest] | type[ShuffleResponse],
        number: int,
        sample: Sample,
        rumours: list[Rumour],
    ) -> list[str]:
        """Sends a shuffle with what fits a datagram of the sample, `rumours` and those that are spread;
        returns the names of the descriptors that went."""
        rumours = rumours + self.table.next_rumours()
        fitted = fit_shuffle(kind, number, self.table.own_descriptor(), sample, rumours)
        self.table.count_sends(fitted.rumours)
        self.instructions.append(SendDatagram(address, fitted.body))
        return [descriptor.node.name for descriptor in fitted.descriptors]

    def send(self, address: str, message: Message) -> None:
        """Adds the instruction to send a message."""
        self.instructions.append(SendDatagram(address, encode(message)))
