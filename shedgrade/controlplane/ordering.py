"""The way of an operator's order to the primary and back, whichever member received it.

Orders for zones carry the zone's revision (`orders.py`). The one that they carry must have been current at
a moment when their caller still waited: then whatever that caller, or one who knows its answer, ordered
later is newer. So it is taken only within `ANSWER_TIMEOUT` of the earliest time at which the call can have
arrived, by this process's steady clock alone, and only while the caller has not closed its connection.
"""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from shedgrade.controlplane import channels
from shedgrade.controlplane.channels import ORDERS, Outcome, Relayed
from shedgrade.controlplane.orders import (
    Conflict,
    PatchConfiguration,
    PutConfiguration,
    Reply,
    ZoneOrder,
    zone_revisions,
)
from shedgrade.peer_transport.connection import PeerCallError
from shedgrade.replication import Member, OutcomeUnknown, ReadResult, RedirectToPrimary, Unavailable

ANSWER_TIMEOUT = 0.65  # s until a caller is told to go on: after a second of silence it does so by itself
RELAY_TIMEOUT = 0.4  # s for the primary's answer, before it is asked again, or whoever leads by then
RETRY_DELAY = 0.05  # s before the next try
NO_PRIMARY_TIMEOUT = 2.0  # s without a primary after which no call is held: nobody took over
SLOWEST_BYTES_PER_SECOND = 250_000  # of a large body, as in replication: callers wait longer then
CLOSE_DELAY = 0.1  # s after a zone's order was read, within which the end of its connection may follow:
# both come together, or a round trip apart, when a cut between caller and member ends

Respond = Callable[[Outcome | None], None]


def last_contact(member: Member, now: float) -> float:
    """When this member last knew of a primary that leads, itself included."""
    if member.primary_role.active or member.hears_primary(now) or member.has_primary_hint(now):
        return now
    return max(member.primary_heard_at, member.incarnation_durable_at, member.primary_role.majority_heard_at)


@dataclass(frozen=True, slots=True)
class Caller:
    """Who waits for an answer. `arrived_after`: the steady time before which nothing of its call had come
    (None: it comes now); `gone()`: whether it has closed its connection, as far as that is known here."""

    arrived_after: float | None = None
    gone: Callable[[], bool] = lambda: False


ANYONE = Caller()


class Submission:
    """One order, or a read (`order` is None), from its arrival here until its caller is answered."""

    def __init__(self, ordering: "Ordering", order: object | None, respond: Respond, caller: Caller) -> None:
        self.ordering, self.order, self.respond, self.caller = ordering, order, respond, caller
        self.loop = ordering.loop
        self.extra = ordering.body_size(order) / SLOWEST_BYTES_PER_SECOND
        self.answered = False
        self.timer = self.loop.call_later(ANSWER_TIMEOUT + self.extra, self.finish, None)

    def attempt(self) -> None:
        if not self.answered:
            self.ordering.ask(self.order, self.decided)

    def decided(self, outcome: object) -> None:
        """What the member of this process said."""
        match outcome:
            case RedirectToPrimary(address):
                self.ordering.spawn(self.relay(address))
            case Unavailable():
                self.undecided(isinstance(outcome, OutcomeUnknown))
            case ReadResult():
                self.finish(Outcome(None, channels.read_response(outcome.state)))
            case _:
                self.concluded(Outcome(outcome))

    async def relay(self, address: str) -> None:
        """Asks the primary. Guards a thin link against configurations that are here already."""
        known = self.ordering.member.committed.state if self.order is None else {}
        held = channels.version_of(known)
        message = ORDERS + channels.encode(Relayed(self.order, held))
        try:
            body = await self.ordering.links.call(address, message, RELAY_TIMEOUT + self.extra)
            outcome = channels.decode(body[1:])
        except (PeerCallError, msgspec.DecodeError, ValueError):
            outcome = None
        if isinstance(outcome, Outcome) and (outcome.reply is not None or outcome.state is not None):
            if outcome.state is not None and held and channels.version_of(outcome.state) == held:
                outcome = Outcome(None, channels.read_response(known))
            self.concluded(outcome)
        else:
            self.undecided(True)

    def concluded(self, outcome: Outcome) -> None:
        """The primary decided."""
        self.finish(outcome)

    def undecided(self, unclear: bool) -> None:
        """Nothing is known of the last attempt; `unclear`: it may yet be carried out."""
        if self.caller.gone():
            self.finish(None)
        elif not self.answered:
            self.loop.call_later(RETRY_DELAY, self.attempt)

    def finish(self, outcome: Outcome | None) -> None:
        if not self.answered:
            self.answered = True
            self.timer.cancel()
            self.respond(outcome)


class ZoneSubmission(Submission):
    """An order for a zone, from its arrival here until its caller is answered."""

    def __init__(self, ordering: "Ordering", order: ZoneOrder, respond: Respond, caller: Caller) -> None:
        super().__init__(ordering, order, respond, caller)
        arrived = caller.arrived_after if caller.arrived_after is not None else ordering.clock()
        self.trusted_until = arrived + ANSWER_TIMEOUT
        self.revision: int | None = None
        self.unclear = False  # an attempt may yet be carried out

    def start(self) -> None:
        if self.waited_for():
            self.loop.call_later(CLOSE_DELAY, self.attempt)
        else:
            self.finish(None)

    def waited_for(self) -> bool:
        """Whether the caller surely waits yet, so that what is known now is no newer than its order."""
        return self.ordering.clock() < self.trusted_until and not self.caller.gone()

    def attempt(self) -> None:
        if self.answered:
            return
        if not self.waited_for():
            self.finish(None)
            return
        if self.revision is None:
            self.revision = zone_revisions(self.ordering.member.committed.state).get(self.order.zone, 0)
        self.order = msgspec.structs.replace(self.order, revision=self.revision)
        super().attempt()

    def concluded(self, outcome: Outcome) -> None:
        if not isinstance(outcome.reply, Conflict):
            self.finish(outcome)
        elif self.unclear:
            # An attempt may have been carried out, and a newer order after it.
            self.finish(None)
        else:
            self.revision = outcome.reply.revision
            self.attempt()

    def undecided(self, unclear: bool) -> None:
        self.unclear = self.unclear or unclear
        super().undecided(unclear)


class Ordering:
    """Hands orders and reads to the member of this process, and passes on to the primary what belongs there.

    `respond` of `order` gets the decision's reply, or None: nothing can be said of it, and the caller is to
    send it again, anywhere; the decision knows a change that was accepted before. `clock`: a steady clock
    that is read anew at each call, the loop's if None.
    """

    def __init__(
        self, loop, member: Member, links, pump: Callable[[], None], clock: Callable[[], float] | None = None
    ) -> None:
        self.loop, self.member, self.links, self.pump = loop, member, links, pump
        self.clock = clock or loop.time
        self.tickets: dict[int, Callable[[object], None]] = {}
        self.last = 0
        self.tasks: set = set()

    def answered(self, ticket: int, outcome: object) -> None:
        """The member's outcome of an order or read."""
        on_outcome = self.tickets.pop(ticket, None)
        if on_outcome is not None:
            on_outcome(outcome)

    def ask(self, order: object | None, on_outcome: Callable[[object], None]) -> None:
        """Hands an order, or a read (None), to the member of this process."""
        self.last += 1
        self.tickets[self.last] = on_outcome
        now = self.loop.time()
        if order is None:
            self.member.read(now, self.last)
        else:
            self.member.submit(now, self.last, order)
        self.pump()

    def order(self, order: object, respond: Callable[[Reply | None], None], caller: Caller = ANYONE) -> None:
        """`respond` gets the decision's reply, or None."""

        def concluded(outcome: Outcome | None) -> None:
            respond(outcome.reply if outcome is not None else None)

        self.submit(order, concluded, caller)

    def read(self, respond: Callable[[dict[str, bytes] | None], None], caller: Caller = ANYONE) -> None:
        """`respond` gets the newest finished configuration (`channels.read_response`), confirmed after this
        call, or None."""
        self.submit(None, lambda outcome: respond(outcome.state if outcome is not None else None), caller)

    def submit(self, order: object | None, respond: Respond, caller: Caller) -> None:
        """Follows an order, or a read (None), until its caller has a response."""
        now = self.loop.time()
        if now - last_contact(self.member, now) > NO_PRIMARY_TIMEOUT:
            respond(None)
        elif isinstance(order, ZoneOrder):
            ZoneSubmission(self, order, respond, caller).start()
        else:
            Submission(self, order, respond, caller).attempt()

    def body_size(self, order: object | None) -> int:
        """Bytes of the configuration that goes along: with the order, or with the answer to a read."""
        if isinstance(order, PutConfiguration | PatchConfiguration):
            return len(order.raw)
        return len(self.member.committed.state.get("configuration", b"")) if order is None else 0

    def spawn(self, coroutine) -> None:
        """A task that is not collected before its end."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def relayed(self, body: bytes, answer: Callable[[bytes], None]) -> None:
        """An order that another member passed on."""
        message = channels.decode(body)
        if not isinstance(message, Relayed):
            return

        def concluded(outcome: object) -> None:
            if isinstance(outcome, ReadResult):
                response = Outcome(None, channels.read_response(outcome.state, message.held))
            elif isinstance(outcome, RedirectToPrimary | Unavailable):
                response = Outcome(None)
            else:
                response = Outcome(outcome)
            answer(ORDERS + channels.encode(response))

        self.ask(message.order, concluded)
