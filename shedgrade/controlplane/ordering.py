"""The way of an operator's order to the primary and back, whichever member took it."""
from collections.abc import Callable

import msgspec

from shedgrade.controlplane import channels
from shedgrade.controlplane.channels import ORDERS, Outcome, Relayed
from shedgrade.link.peer import LinkError
from shedgrade.replication import Elsewhere, Reading, Unavailable

PATIENCE = 2.0          # s that an order is followed up here: its caller asks another member after a second
RELAY = 0.9             # s for the primary's answer
PAUSE = 0.05            # s before the next try


class Ordering:
    """Hands orders and reads to the member of this process, and passes on to the primary what belongs there.

    `tell` of `order` gets the decision's reply, or None: nothing can be said of it, and the caller is to
    send it again, anywhere; the decision knows a change that it has taken before.
    """

    def __init__(self, loop, member, links, pump: Callable[[], None]) -> None:
        self.loop, self.member, self.links, self.pump = loop, member, links, pump
        self.tickets: dict[int, Callable[[object], None]] = {}
        self.last = 0
        self.tasks: set = set()

    def answered(self, ticket: int, outcome: object) -> None:
        told = self.tickets.pop(ticket, None)
        if told is not None:
            told(outcome)

    def ask(self, order: object | None, told: Callable[[object], None]) -> None:
        self.last += 1
        self.tickets[self.last] = told
        now = self.loop.time()
        if order is None:
            self.member.read(now, self.last)
        else:
            self.member.order(now, self.last, order)
        self.pump()

    def order(self, order: object, tell: Callable[[object | None], None]) -> None:
        self.follow(order, lambda outcome: tell(outcome.reply if outcome is not None else None))

    def read(self, tell: Callable[[dict[str, bytes] | None], None]) -> None:
        """`tell` gets the newest finished state, confirmed after this call, or None."""
        self.follow(None, lambda outcome: tell(outcome.state if outcome is not None else None))

    def follow(self, order: object | None, tell: Callable[[Outcome | None], None]) -> None:
        until = self.loop.time() + PATIENCE

        def again() -> None:
            self.ask(order, told)

        def told(outcome: object) -> None:
            if isinstance(outcome, Elsewhere):
                task = self.loop.create_task(self.relay(outcome.address, order, done))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            elif isinstance(outcome, Unavailable):
                done(None)
            elif isinstance(outcome, Reading):
                tell(Outcome(None, dict(outcome.state)))
            else:
                tell(Outcome(outcome))

        def done(outcome: Outcome | None) -> None:
            if outcome is not None or self.loop.time() >= until:
                tell(outcome)
            else:
                self.loop.call_later(PAUSE, again)

        again()

    async def relay(self, address: str, order: object | None, done: Callable[[Outcome | None], None]) -> None:
        try:
            body = await self.links.call(address, ORDERS + channels.encode(Relayed(order)), RELAY)
            outcome = channels.decode(body[1:])
            usable = isinstance(outcome, Outcome) and (outcome.reply is not None or outcome.state is not None)
        except (LinkError, msgspec.DecodeError, ValueError):
            usable = False
        done(outcome if usable else None)

    def relayed(self, body: bytes, answer: Callable[[bytes], None]) -> None:
        """An order that another member passed on."""
        message = channels.decode(body)
        if not isinstance(message, Relayed):
            return

        def told(outcome: object) -> None:
            if isinstance(outcome, Reading):
                said = Outcome(None, dict(outcome.state))
            elif isinstance(outcome, Elsewhere | Unavailable):
                said = Outcome(None)
            else:
                said = Outcome(outcome)
            answer(ORDERS + channels.encode(said))

        self.ask(message.order, told)
