"""Without faults an epoch lasts, and a process that restarts receives the committed state."""

from random import Random

from shedgrade.replication import Committed, Decision, Member, Persist, Send

ADDRESSES = ("10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7")
DELAY = 0.05


class Core:
    """Three members on a network and disks without faults."""

    def __init__(self):
        self.now, self.in_flight, self.committed, self.epochs = 0.0, [], {}, set()
        self.disks = {address: {} for address in ADDRESSES}
        self.members = {address: self.start(address, True) for address in ADDRESSES}

    def start(self, address, founding=False):
        self.committed[address] = (0, 0)
        return Member(
            f"core-{address}",
            address,
            founding=founding,
            seeds=ADDRESSES,
            tolerated=1,
            stored_values=dict(self.disks[address]) or None,
            random=Random(address),
            now=self.now,
            decide=lambda state, command: Decision({"key": command}, command),
        )

    def restart(self, address):
        self.members[address] = self.start(address)

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            for address, member in self.members.items():
                self.carry_out(address, member)
            due = [one for one in self.in_flight if one[0] <= self.now]
            self.in_flight = [one for one in self.in_flight if one[0] > self.now]
            for _, sender, to, message in due:
                self.members[to].receive(self.now, sender, message)
            for member in self.members.values():
                if member.wake_at() <= self.now:
                    member.tick(self.now)
            self.epochs |= {member.epoch for member in self.members.values()}
            self.now += 0.01

    def carry_out(self, address, member):
        while member.effects:
            effects, member.effects[:] = list(member.effects), []
            for effect in effects:
                match effect:
                    case Send(to, message):
                        self.in_flight.append((self.now + DELAY, address, to, message))
                    case Persist(token, changes):
                        self.disks[address].update(changes)
                        member.persisted(self.now, token, True)
                    case Committed(epoch, sequence, _):
                        self.committed[address] = (epoch, sequence)

    def by_role(self, role):
        return next(address for address, member in self.members.items() if member.role == role)


def test_an_epoch_without_commands_lasts():
    core = Core()
    core.run(3.0)
    core.epochs.clear()
    core.run(17.0)
    assert core.epochs == {1}
    assert sorted(member.role for member in core.members.values()) == ["backup", "primary", "witness"]


def test_a_restarted_process_is_sent_the_committed_state():
    for role in ("witness", "backup"):
        core = Core()
        core.run(3.0)
        core.members[core.by_role("primary")].submit(core.now, 1, b"value")
        core.run(1.0)
        committed = set(core.committed.values())
        assert committed == {(1, 1)}
        core.restart(core.by_role(role))
        core.run(2.0)
        assert set(core.committed.values()) == committed
