"""SIGHUP while a program of the system starts, before its event loop handles signals."""

import asyncio
import os
import signal

import programs
import pytest


@pytest.mark.parametrize("program", ["dataplane", "controlplane"])
def test_sighup_before_the_settings_are_read_does_not_end_the_program(program, tmp_path):
    """The settings file is a named pipe, so the program waits in its read until the test writes."""
    path = tmp_path / "local.yaml"
    os.mkfifo(path)

    async def run():
        process = await programs.start(program, boot=path)
        try:
            async with asyncio.timeout(programs.LONGEST):
                pipe = await asyncio.to_thread(open, path, "w")
            process.send_signal(signal.SIGHUP)
            await asyncio.to_thread(pipe.write, "nodeName: [")
            await asyncio.to_thread(pipe.close)
            stderr, status = await programs.rest(process)
            assert status == 2 and stderr.startswith("settings: ")
        finally:
            if process.returncode is None:
                process.kill()

    asyncio.run(run())
