"""SIGHUP while a program of the system still starts, before its event loop can take it."""

import asyncio
import os
import signal

import programs
import pytest


@pytest.mark.parametrize("program", ["dataplane", "controlplane"])
def test_sighup_before_the_settings_are_read_ends_nothing(program, tmp_path):
    """The settings file is a pipe: once its reader is there, the program waits for what is written."""
    path = tmp_path / "local.yaml"
    os.mkfifo(path)

    async def story():
        process = await programs.start(program, boot=path)
        try:
            async with asyncio.timeout(programs.LONGEST):
                pipe = await asyncio.to_thread(open, path, "w")
            process.send_signal(signal.SIGHUP)
            await asyncio.to_thread(pipe.write, "nodeName: [")
            await asyncio.to_thread(pipe.close)
            said, status = await programs.rest(process)
            assert status == 2 and said.startswith("settings: ")
        finally:
            if process.returncode is None:
                process.kill()

    asyncio.run(story())
