"""The settings files of the stand-in system's machines and the processes started with them."""

import asyncio
import os
from random import Random

import pytest
import yaml

from shedgrade.engines import EngineSettings
from shedgrade.lab.system.demo import KINDS, demo_site
from shedgrade.lab.system.fleet import Fleet
from shedgrade.lab.system.history import History
from shedgrade.lab.system.launcher import Launcher
from shedgrade.lab.system.lines import quantile
from shedgrade.lab.system.platform import InstanceDirectory
from shedgrade.lab.system.site import CORE, EDGE
from shedgrade.lab.system.world import World
from shedgrade.process_settings import validation


def test_each_machine_has_its_own_address_and_valid_settings(tmp_path):
    site = demo_site()
    machines = site.machines()
    assert len({machine.ip for machine in machines}) == len(machines) == 7
    for machine in machines:
        path = tmp_path / f"{machine.name}.yaml"
        site.write_settings(machine, path, tmp_path if machine.kind == CORE else None, True)
        settings = validation.validate(yaml.safe_load(path.read_text()))
        assert settings.node_name == machine.name and settings.initial_start
        assert settings.seeds == tuple(site.control_addresses()) and settings.tolerated.machines == 1
        assert set(settings.listen) == (
            {"control", "directory"} if machine.kind == CORE else {"front", "readiness"}
        )
        assert (settings.data_dir is None) == (machine.kind == EDGE)
        assert settings.cloud_api.address == site.platform_address()


async def wait_for_listener(launcher, name, port):
    """Waits until a process listens at the machine's port."""
    address = launcher.machines[name].ip
    async with asyncio.timeout(20):
        while True:
            try:
                _, writer = await asyncio.open_connection(address, port)
            except OSError:
                await asyncio.sleep(0.01)
                continue
            writer.transport.abort()
            return


def test_processes_are_started_stopped_killed_and_wiped_individually(tmp_path):
    async def scenario():
        launcher = Launcher(demo_site(), tmp_path)
        try:
            await asyncio.gather(launcher.start("core-1"), launcher.start("edge-1"))
            await asyncio.gather(
                wait_for_listener(launcher, "core-1", 8262), wait_for_listener(launcher, "edge-1", 8161)
            )
            ids = {name: process.pid for name, process in launcher.processes.items()}
            with pytest.raises(RuntimeError):
                launcher.wipe_disk("core-1")
            await launcher.kill("core-1")
            assert launcher.ended_machines() == ["core-1"] and launcher.running("edge-1")
            (tmp_path / "core-1" / "left").write_bytes(b"on its disk")
            launcher.wipe_disk("core-1")
            assert not (tmp_path / "core-1").exists()
            await launcher.start("core-1")
            settings = yaml.safe_load((tmp_path / "core-1.yaml").read_text())
            assert settings["initialStart"] is False and launcher.processes["core-1"].pid != ids["core-1"]
            assert await launcher.stop("edge-1") == 0
        finally:
            await launcher.close()
        for process in launcher.processes.values():
            with pytest.raises(ProcessLookupError):
                os.kill(process.pid, 0)

    asyncio.run(scenario())


def test_the_platform_list_follows_the_upstreams():
    async def scenario():
        loop, observed = asyncio.get_running_loop(), History()
        site = demo_site()
        directory = InstanceDirectory(0.0, 100)
        engines = {"lm": EngineSettings(cold_s=5.0)}
        fleet = Fleet(loop, site, ["lm", "lm"], engines, directory, observed, Random(1), b"k")
        try:
            first, second = await fleet.start(0), await fleet.start(1, cold=True)
            shown = {entry.instance: entry for entry in directory.entries_shown(loop.time())}
            assert set(shown) == {first.upstream.instance, second.upstream.instance}
            assert shown[second.upstream.instance].cold_until > loop.time() + 4
            fleet.drain(0)
            assert fleet.available() == 1 and first.draining and first.upstream.instance in observed.drained
            fleet.crash(1)
            again = await fleet.start(1)
            assert again.upstream.instance != second.upstream.instance and observed.disturbances
            assert again.upstream.address == second.upstream.address
            fleet.remove(first)
            assert len(fleet.entries) == 2
        finally:
            fleet.close()

    asyncio.run(scenario())


def test_quantiles():
    assert [quantile([5.0, 1.0, 3.0, 2.0, 4.0], part) for part in (0.2, 0.5, 0.99)] == [1.0, 3.0, 5.0]


def test_a_failure_carries_the_output_and_status_of_processes(tmp_path):
    async def scenario():
        async with World(demo_site(), tmp_path, [], {}, KINDS, 1) as world:
            await wait_for_listener(world.launcher, "core-1", 8262)
            await world.launcher.kill("core-2")
            raise ValueError("a failure")

    with pytest.raises(ValueError) as caught:
        asyncio.run(scenario())
    notes = caught.value.__notes__
    assert any(note.startswith("core-1 runs") for note in notes)
    assert any(note.startswith("core-2 does not run") for note in notes)
    assert any(note.startswith("core-1: {'node': 'core-1'") for note in notes)
