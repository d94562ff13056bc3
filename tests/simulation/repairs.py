"""How long a core is short of a copy or of a member after a loss, in simulated time."""

from test_control_faults import backup, core, primary, witness

from shedgrade.simulation.register import Put

ROLES = {"primary": primary, "backup": backup, "witness": witness}
STEP = 0.005  # s between two looks


def on_enough_disks(cluster):
    """Whether t + 1 processes that run hold an epoch that is known to be active."""
    leads = [m for m in cluster.machines if m.up and m.member.role == "primary"]
    if not leads:
        return False
    record = leads[0].member.replica.epoch_config
    alive = {m.member.replica.incarnation for m in cluster.machines if m.up}
    return len(record.holders) > cluster.tolerated and alive.issuperset(record.holders)


def whole(cluster):
    """And whether every place is taken by a process that runs."""
    if not on_enough_disks(cluster):
        return False
    leader = next(m for m in cluster.machines if m.up and m.member.role == "primary")
    config = leader.member.replica.epoch_config
    alive = {m.member.replica.incarnation for m in cluster.machines if m.up}
    return alive.issuperset(peer.incarnation for peer in config.members)


class Repair:
    """One loss of `count` machines' disks at 6.0 s; they start again after `down` s. `copied` and `counted`:
    s from the loss until t + 1 disks hold the state again, and from their start until all count again."""

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
        """Configurations of this size, each sent when the one before is answered."""
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
