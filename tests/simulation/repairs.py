"""Measures in simulated time how long a core lacks a copy of its state, or a member, after a loss."""

from test_control_faults import backup, core, primary, witness

from shedgrade.simulation.register import Put

ROLES = {"primary": primary, "backup": backup, "witness": witness}
CHECK_INTERVAL_S = 0.005  # s between two checks


def has_enough_copies(cluster):
    """Returns whether t + 1 running processes hold the state of an epoch that is known to be active."""
    primaries = [m for m in cluster.machines if m.up and m.member.role == "primary"]
    if not primaries:
        return False
    config = primaries[0].member.replica.epoch_config
    running = {m.member.replica.incarnation for m in cluster.machines if m.up}
    return len(config.holders) > cluster.tolerated and running.issuperset(config.holders)


def has_all_members(cluster):
    """Returns whether, in addition, every member of the epoch is a running process."""
    if not has_enough_copies(cluster):
        return False
    primary_machine = next(m for m in cluster.machines if m.up and m.member.role == "primary")
    config = primary_machine.member.replica.epoch_config
    running = {m.member.replica.incarnation for m in cluster.machines if m.up}
    return running.issuperset(peer.incarnation for peer in config.members)


class Repair:
    """Plays the loss of the disks of the machines with `roles` at 6.0 s, which start again `down` s later.

    Attributes:
        replaced: whether new machines at other addresses start in their places.
        copies_restored_s: time from the loss until t + 1 disks hold the state again, s.
        members_restored_s: time from the machines' start until all members run again, s.
    """

    def __init__(
        self,
        roles,
        tolerated=1,
        between=0.055,
        size=100,
        bandwidth=0.0,
        down=0.5,
        keep_submitting=True,
        replaced=False,
        seed=1,
    ):
        self.cluster = cluster = core(seed, tolerated, between, max_pause_s=1e9)
        cluster.network.bandwidth = bandwidth
        self.roles, self.down, self.replaced = roles, down, replaced
        self.lost_at = self.started_at = self.copies_restored_s = self.members_restored_s = None
        cluster.padding, cluster.decide = size, cluster.decide_padded
        self.keep_submitting, self.version, self.acknowledged = keep_submitting, 0, 0
        for machine in cluster.machines:
            cluster.clock.at(0.3 * cluster.random.random(), machine.start, True)
        cluster.clock.at(3.0, self.submit_next)
        cluster.clock.at(6.0, self.lose_machines)
        cluster.clock.run(6.0 + down + 12.0)

    def submit_next(self):
        """Submits configurations of this size, each after the previous one is acknowledged."""
        self.version += 1
        self.submit(Put(self.version - 1, self.version, "x"))

    def submit(self, put):
        up = [m for m in self.cluster.machines if m.up]
        primaries = [m for m in up if m.member.role == "primary"]
        (primaries or up)[0].submit_command(put, lambda outcome: self.answered(put, outcome))

    def answered(self, put, outcome):
        if outcome != "ok":
            self.cluster.clock.after(0.05, self.submit, put)
            return
        self.acknowledged += 1
        if self.keep_submitting or self.version < 3:
            self.cluster.clock.after(0.2, self.submit_next)

    def lose_machines(self):
        cluster = self.cluster
        self.lost_at, self.started_at = cluster.clock.now, cluster.clock.now + self.down
        lost = []
        for role in self.roles:
            lost.append(next(m for m in cluster.machines if m.up and m.member.role == role and m not in lost))
        for machine in lost:
            machine.lose_power()
            if self.replaced:
                cluster.machines.remove(machine)
                machine = cluster.add(
                    machine.region, machine.address.replace(".0.", ".9."), machine.usual_sync_s
                )
            else:
                machine.wipe()
            cluster.clock.after(self.down, machine.start)
        self.check()

    def check(self):
        cluster = self.cluster
        now = cluster.clock.now
        if self.copies_restored_s is None and has_enough_copies(cluster):
            self.copies_restored_s = now - self.lost_at
        if self.members_restored_s is None and now > self.started_at and has_all_members(cluster):
            self.members_restored_s = now - self.started_at
        if self.copies_restored_s is None or self.members_restored_s is None:
            cluster.clock.after(CHECK_INTERVAL_S, self.check)
