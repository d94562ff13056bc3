"""Runs scenarios of whole systems in one event loop."""

import asyncio

import pytest
import uvloop
from planes_rig import configured_system


@pytest.fixture
def run_scenario(tmp_path):
    """Runs a scenario with the system, which is configured first unless `running_system` is given."""

    def run(scenario, system_context=configured_system):
        async def main():
            async with asyncio.timeout(60), system_context(tmp_path) as system:
                await scenario(system)

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(main())

    return run
