"""A network of members that a test controls: messages and disk writes wait until the test releases them."""

from random import Random

from shedgrade.replication import (
    Answer,
    Committed,
    Decision,
    Member,
    Persist,
    Send,
)

SEEDS = ("a:1", "b:1", "c:1")


def decide(state, request):
    """Handles a request (key, value). The outcome is the previous value."""
    key, value = request
    return Decision({key: value}, state.get(key))


class Net:
    def __init__(self, names="abc", tolerated=1, founding=True):
        self.now, self.tolerated = 0.0, tolerated
        self.disks = {f"{name}:1": {} for name in names}
        self.members: dict[str, Member] = {}
        self.held_back: set[str] = set()  # addresses of members whose disk writes wait
        self.writes: dict[str, list[Persist]] = {address: [] for address in self.disks}
        self.messages: list[tuple[str, str, object]] = []
        self.answers: dict[int, object] = {}
        self.committed: dict[str, list[Committed]] = {address: [] for address in self.disks}
        self.drop = lambda sender, to, message: False
        self.seen: list[tuple[str, str, object]] = []
        for address in self.disks:
            self.start(address, founding)

    def start(self, address, founding=False):
        self.members[address] = Member(
            address[0],
            address,
            founding=founding,
            seeds=SEEDS,
            tolerated=self.tolerated,
            stored_values=dict(self.disks[address]),
            random=Random(address + str(self.now)),
            now=self.now,
            decide=decide,
        )
        self.committed[address] = []
        self.drain(address)

    def stop(self, address):
        """Ends the process; its pending disk writes are lost."""
        self.members.pop(address)
        self.writes[address].clear()

    def drain(self, address):
        member = self.members[address]
        member.check_invariants()
        while member.effects:
            effect = member.effects.pop(0)
            if type(effect) is Send:
                self.messages.append((address, effect.to, effect.message))
            elif type(effect) is Persist:
                self.writes[address].append(effect)
                if address not in self.held_back:
                    self.write(address)
            elif type(effect) is Answer:
                self.answers[effect.ticket] = effect.outcome
            elif type(effect) is Committed:
                self.committed[address].append(effect)

    def write(self, address, ok=True):
        """Completes the oldest pending disk write of a member."""
        effect = self.writes[address].pop(0)
        if ok:
            disk = self.disks[address]
            disk.update(effect.changes)
            for key in [key for key, value in disk.items() if value is None]:
                del disk[key]
        self.call(address, "persisted", effect.token, ok)

    def call(self, address, name, *args):
        getattr(self.members[address], name)(self.now, *args)
        self.drain(address)

    def deliver(self):
        """Delivers all messages under way, and those sent in response."""
        while self.messages:
            sender, to, message = self.messages.pop(0)
            if to in self.members and not self.drop(sender, to, message):
                self.seen.append((sender, to, message))
                self.call(to, "receive", sender, message)

    def run(self, seconds, step=0.01):
        until = self.now + seconds
        while self.now < until:
            self.now += step
            for address in list(self.members):
                if self.now >= self.members[address].wake_at():
                    self.call(address, "tick")
            self.deliver()

    def primary(self):
        return next(address for address, member in self.members.items() if member.role == "primary")

    def backup(self):
        return next(address for address, member in self.members.items() if member.role == "backup")

    def witness(self):
        return next(address for address, member in self.members.items() if member.role == "witness")


def founded(**options):
    net = Net(**options)
    net.run(2.0)
    return net
