"""A core member is cut off for 20 s: the control state that it hands out, and the version that edges
serve."""

import pytest
from controlplane.cut_world import APPLY_LIMIT_S, PartitionTestCluster
from controlplane.virtual_loop import run_scenario

from shedgrade.replication.acceptor import Acceptor
from shedgrade.replication.majority_contact import MajorityContact

CUT_S = 20
STALE_CONTROL_S = 0.8  # `core_member.STALE_CONTROL_S`


async def start_cluster(loop, folder, cores=3) -> PartitionTestCluster:
    """Returns a cluster with a first version, and one edge that serves it."""
    cluster = PartitionTestCluster(loop, folder, cores, cores // 2)
    await cluster.run(3.0)
    await cluster.put(1)
    cluster.start_edge(11, 1, 2, 3)
    await cluster.run(2.0)
    assert [cluster.version(edge) for edge in cluster.edges.values()] == [1]
    return cluster


def member_with_role(cluster, name):
    return next(core for core in cluster.cores.values() if core.plane.member.role == name)


def place_near(cluster, edge, core):
    """Makes the member by far the nearest to the edge, which asks it from now on."""
    for other in cluster.cores.values():
        delay_s = 0.001 if other is core else 0.04
        cluster.delay_s[edge.address, other.address] = cluster.delay_s[other.address, edge.address] = delay_s


async def cut_off_for_long(cluster, edge, role, ways):
    """Cuts the member with that role off while versions 2 to 21 are acknowledged. Returns the age of its
    control state, as the member states it, after each version."""
    cut_off = member_with_role(cluster, role)
    place_near(cluster, edge, cut_off)
    await cluster.run(40.0)
    assert edge.plane.watcher.preferred_member.address == cut_off.address
    cluster.cut(cut_off, *cluster.others(cut_off), ways=ways)
    ages_s = []
    for version in range(2, CUT_S + 2):
        await cluster.put(version, *cluster.others(cut_off))
        await cluster.run(1.0)
        ages_s.append(cluster.control_age_s(cut_off))
    cluster.heal()
    await cluster.run(APPLY_LIMIT_S)
    return ages_s


@pytest.mark.parametrize("ways", ["both", "out", "in"])
@pytest.mark.parametrize("role", ["primary", "backup", "witness"])
@pytest.mark.parametrize("cores", [3, 5])
def test_an_edge_that_prefers_the_isolated_member_serves_the_newest_version(tmp_path, role, ways, cores):
    async def scenario(loop):
        cluster = await start_cluster(loop, tmp_path, cores)
        edge = next(iter(cluster.edges.values()))
        ages_s = await cut_off_for_long(cluster, edge, role, ways)
        assert cluster.violations == [] and min(ages_s[1:]) > STALE_CONTROL_S
        assert cluster.version(edge) == CUT_S + 1
        assert all(cluster.control_age_s(core) < STALE_CONTROL_S for core in cluster.cores.values())

    run_scenario(scenario)


def confirm_on_any_heartbeat(self, now, sender, heartbeat):
    """Planted fault: any heartbeat confirms the state, even at a member that receives no state."""
    if self.follow_primary(now, sender, heartbeat.epoch, heartbeat.epoch_config):
        self.commit(heartbeat.epoch, heartbeat.committed)
        self.member.confirm_up_to_date(now)
        self.send_ack(now, sender, heartbeat.epoch, heartbeat.read_index_round)


def primary_confirms_itself(self, now, others, needed):
    """Planted fault: a primary confirms itself."""
    self.confirmed_at = now
    return now


@pytest.mark.parametrize("role", ["primary", "backup", "witness"])
def test_the_checker_finds_a_follower_that_confirms_on_any_heartbeat(tmp_path, monkeypatch, role):
    async def scenario(loop):
        cluster = await start_cluster(loop, tmp_path)
        monkeypatch.setattr(Acceptor, "on_heartbeat", confirm_on_any_heartbeat)
        await cut_off_for_long(cluster, next(iter(cluster.edges.values())), role, "out")
        assert any("claims to be up to date" in violation for violation in cluster.violations)
        assert any("serves" in violation for violation in cluster.violations)

    run_scenario(scenario)


@pytest.mark.parametrize("with_fault", [False, True])
def test_a_primary_is_up_to_date_as_of_its_last_confirmed_round(tmp_path, monkeypatch, with_fault):
    """The primary is cut off at twelve different times between its heartbeats, while the others accept a
    change."""
    if with_fault:
        monkeypatch.setattr(MajorityContact, "confirm", primary_confirms_itself)
    violations = []

    async def scenario(loop, offset):
        cluster = PartitionTestCluster(loop, tmp_path / str(offset))
        await cluster.run(3.0)
        await cluster.put(1)
        await cluster.run(2.0 + offset / 10)
        cut_off = cluster.primary()
        cluster.cut(cut_off, *cluster.others(cut_off))
        await cluster.put(2, *cluster.others(cut_off))
        await cluster.run(1.0)
        violations.extend(cluster.violations)

    for offset in range(12):
        run_scenario(lambda loop, offset=offset: scenario(loop, offset))
    assert bool(violations) == with_fault


@pytest.mark.parametrize("seed", range(6))
def test_two_members_that_receive_nothing_do_not_prevent_an_election(tmp_path, seed):
    """Two of five members, the primary and a backup, receive nothing but are heard. They repeat pre-votes,
    which can't succeed."""

    async def scenario(loop):
        cluster = PartitionTestCluster(loop, tmp_path, 5, 2, seed)
        await cluster.run(3.0)
        await cluster.put(1)
        await cluster.run(2.0 + seed / 10)
        side = [member_with_role(cluster, "primary"), member_with_role(cluster, "backup")]
        for core in side:
            cluster.cut(core, *cluster.others(*side), ways="in")
        started_at = loop.time()
        await cluster.put(2, *cluster.others(*side))
        assert loop.time() - started_at < 6.0

    run_scenario(scenario)
