"""Measures in simulated time how long a core lacks a copy of its state, or a member, after a loss."""

from test_control_faults import backup, core, primary, witness

from shedgrade.simulation.register import Put

ROLES = {"primary": primary, "backup": backup, "witness": witness}
STEP = 0.005  # s between two checks


def on_enough_disks(cluster):
    """Returns whether t + 1 running processes hold the state of an epoch that is known to be active."""
    leads = [m for m in cluster.machines if m.up and m.member.role == "primary"]
    if not leads:
        return False
    record = leads[0].member.replica.epoch_config
    alive = {m.member.replica.incarnation for m in cluster.machines if m.up}
    return len(record.holders) > cluster.tolerated and alive.issuperset(record.holders)


def whole(cluster):
    """Returns whether, in addition, every member of the epoch is a running process."""
    if not on_enough_disks(cluster):
        return False
    leader = next(m for m in cluster.machines if m.up and m.member.role == "primary")
    config = leader.member.replica.epoch_config
    alive = {m.member.replica.incarnation for m in cluster.machines if m.up}
    return alive.issuperset(peer.incarnation for peer in config.members)


class Repair:
    """Plays the loss of the disks of machines with these roles at 6.0 s; they start again `down` s later.

    Attributes:
        copied: time from the loss until t + 1 disks hold the state again, s.
        counted: time from the machines' start until all members run again, s.
    """

    def __init__(
        self,
        roles,
        tolerated=1,
        between=0.055,
        size=100,
        bandwidth=0.0,
        down=0.5,
        busy=True,
        successor=False,
        seed=1,
    ):
        self.cluster = cluster = core(seed, tolerated, between, max_pause_s=1e9)
        cluster.network.bandwidth = bandwidth
        self.roles, self.down, self.successor = roles, down, successor
        self.lost_at = self.started_at = self.copied = self.counted = None
        cluster.padding, cluster.decide = size, cluster.decide_padded
        self.busy, self.version, self.taken = busy, 0, 0
        for machine in cluster.machines:
            cluster.clock.at(0.3 * cluster.random.random(), machine.start, True)
        cluster.clock.at(3.0, self.order)
        cluster.clock.at(6.0, self.lose)
        cluster.clock.run(6.0 + down + 12.0)

    def order(self):
        """Submits configurations of this size, each after the previous one is acknowledged."""
        self.version += 1
        self.send(Put(self.version - 1, self.version, "x"))

    def send(self, put):
        up = [m for m in self.cluster.machines if m.up]
        leads = [m for m in up if m.member.role == "primary"]
        (leads or up)[0].submit_command(put, lambda outcome: self.answered(put, outcome))

    def answered(self, put, outcome):
        if outcome != "ok":
            self.cluster.clock.after(0.05, self.send, put)
            return
        self.taken += 1
        if self.busy or self.version < 3:
            self.cluster.clock.after(0.2, self.order)

    def lose(self):
        cluster = self.cluster
        self.lost_at, self.started_at = cluster.clock.now, cluster.clock.now + self.down
        lost = []
        for role in self.roles:
            lost.append(next(m for m in cluster.machines if m.up and m.member.role == role and m not in lost))
        for machine in lost:
            machine.lose_power()
            if self.successor:
                cluster.machines.remove(machine)
                machine = cluster.add(
                    machine.region, machine.address.replace(".0.", ".9."), machine.usual_sync_s
                )
            else:
                machine.wipe()
            cluster.clock.after(self.down, machine.start)
        self.look()

    def look(self):
        cluster = self.cluster
        now = cluster.clock.now
        if self.copied is None and on_enough_disks(cluster):
            self.copied = now - self.lost_at
        if self.counted is None and now > self.started_at and whole(cluster):
            self.counted = now - self.started_at
        if self.copied is None or self.counted is None:
            cluster.clock.after(STEP, self.look)
