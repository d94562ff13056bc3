"""Replicas that are absent for up to thousands of changes: none leads with old state, and all catch up.

`INJECTED_FAULTS` lists faults of members, snapshots and disks, and the seeds within which each is found.
"""

import pytest

from shedgrade.replication import Member, acceptor, primary
from shedgrade.replication.change_index import ChangeIndex
from shedgrade.replication.messages import Installed
from shedgrade.replication.replica_state import merge
from shedgrade.simulation.machine import Machine
from shedgrade.simulation.replica_outages import ReplicaOutageRun


@pytest.mark.parametrize(("tolerated", "seeds"), [(1, range(4)), (2, range(1, 2))])
def test_seeds_without_findings(tolerated, seeds):
    changes = []
    for seed in seeds:
        run = ReplicaOutageRun(seed, tolerated)
        assert run.play() == [], seed
        changes.append(sum(run.history.acknowledged))
    assert max(changes) > 2_000


class AcknowledgesBeforeTheSync(Member):
    """A holder that reports the state as installed before it is on its disk."""

    class Acceptor(acceptor.Acceptor):
        def on_install(self, now, sender, install):
            super().on_install(now, sender, install)
            replica = self.member.replica
            if replica.accepted_epoch == install.epoch_config.number:
                self.member.send(sender, Installed(replica.incarnation, replica.accepted_epoch))
                replica.installed_epoch, replica.durable_position = (
                    replica.accepted_epoch,
                    replica.log_position,
                )

        def on_replicate(self, now, sender, write):
            super().on_replicate(now, sender, write)
            replica = self.member.replica
            replica.durable_position = replica.log_position
            self.send_ack(now, sender, write.epoch, 0)

    def make_roles(self):
        primary_role, candidate, _ = super().make_roles()
        return primary_role, candidate, self.Acceptor(self)


class IncompleteChangeIndex(ChangeIndex):
    """Records only one key of each change."""

    def record(self, base, position, changes):
        super().record(base, position, dict(list(changes.items())[:1]))


class SendsIncompleteDelta(Member):
    """Sends a difference that lacks keys, so that the receiver mixes the states of two positions."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.replica.change_index = IncompleteChangeIndex(self.replica.log_position)


class SendsNewestStateUnderOlderPosition(Member):
    """Sends the newest state, which has uncommitted changes, under the committed position."""

    class Primary(primary.Primary):
        def send_catch_up(self, now, follower):
            replica = self.member.replica
            committed, replica.committed = replica.committed, replica.committed._replace(state=replica.state)
            super().send_catch_up(now, follower)
            replica.committed = committed

    def make_roles(self):
        _, candidate, voters = super().make_roles()
        return self.Primary(self), candidate, voters


class AppliesDeltaFromAnyPosition(Member):
    """Applies a difference without checking that its base is the position it has."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        replica = self.replica

        def apply_committed(base, position, changes):
            replica.commit_state(position, merge(replica.committed.state, changes))

        replica.apply_committed = apply_committed


class RecoversFromTheOlderSlot(Machine):
    """A disk that after a power loss recovers an older slot."""

    def __init__(self, *args):
        super().__init__(*args)
        self.older, self.writes = {}, 0

    def apply(self, changes):
        if self.writes % 40 == 0:
            self.older = dict(self.durable)
        self.writes += 1
        super().apply(changes)

    def lose_power(self):
        was_up = self.up
        super().lose_power()
        if was_up:
            self.durable = dict(self.older)


INJECTED_FAULTS = [  # (injected fault, seeds within which it is found)
    ({"member_class": AcknowledgesBeforeTheSync}, range(20)),
    ({"member_class": SendsIncompleteDelta}, range(2)),
    ({"member_class": SendsNewestStateUnderOlderPosition}, range(2)),
    ({"member_class": AppliesDeltaFromAnyPosition}, range(4)),
    ({"machine_class": RecoversFromTheOlderSlot}, range(2)),
]


@pytest.mark.parametrize(("injected", "seeds"), INJECTED_FAULTS)
def test_an_injected_fault_is_found(injected, seeds):
    assert any(ReplicaOutageRun(seed, 1, length=25.0, **injected).play() for seed in seeds)
