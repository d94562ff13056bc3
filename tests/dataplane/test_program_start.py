"""The data plane as a process: invalid settings, a settings file that changes, and the exit."""

import asyncio
import json
import signal

import programs


def run(scenario):
    asyncio.run(scenario)


def test_invalid_settings_exit_with_2_and_one_line_per_finding(tmp_path):
    async def scenario():
        path = tmp_path / "local.yaml"
        programs.write(path, programs.edge(zone="hall-9", seedNodes="one", limits={"memoryMb": 300}))
        status, out, lines = await programs.ended("dataplane", boot=path)
        assert (status, out) == (2, "") and len(lines) == 3
        assert all(line.startswith("settings: ") for line in lines)
        assert lines[0].startswith("settings: zone: ")
        assert {line.split(": ")[1] for line in lines} == {"zone", "seedNodes", "limits.fileDescriptors"}

    run(scenario())


def test_missing_listen_addresses_are_reported(tmp_path):
    async def scenario():
        path = tmp_path / "local.yaml"
        programs.write(path, programs.edge(listenAddresses={}))
        assert await programs.ended("dataplane", "--settings", str(path)) == (
            2,
            "",
            [
                "settings: listenAddresses.front: is missing",
                "settings: listenAddresses.readiness: is missing",
            ],
        )

    run(scenario())


def test_a_missing_or_incomplete_settings_file_is_reported(tmp_path):
    async def scenario():
        assert await programs.ended("dataplane") == (
            2,
            "",
            ["settings: SHEDGRADE_BOOT: names no settings file"],
        )
        path = tmp_path / "local.yaml"
        status, _, [line] = await programs.ended("dataplane", boot=path)
        assert status == 2 and str(path) in line
        programs.write(path, "nodeName: [")
        status, _, [line] = await programs.ended("dataplane", boot=path)
        assert status == 2 and f"{path}, line " in line

    run(scenario())


def test_an_invalid_file_at_run_time_is_reported_and_the_exit_flushes_the_log(tmp_path):
    async def scenario():
        path, host = tmp_path / "local.yaml", f"{programs.NET}.9"
        programs.write(path, programs.edge())
        async with programs.running("dataplane", path, 1, 2, 3) as process:
            assert (await programs.http(host, 8268))[0] == 503
            programs.write(path, programs.edge(zones=[]))
            process.send_signal(signal.SIGHUP)
            line = json.loads(await programs.said(process, "settings reload rejected"))
            assert (line["process"], line["place"]) == ("edge-9", "zones")
            # This is within the log buffer's write interval: only the exit of the process writes the line.
            programs.write(path, programs.edge(seedNodes=[f"{programs.NET}.7:8262"]))
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
            left, status = await programs.rest(process)
            assert status == 0 and '"needs_restart":"seedNodes"' in left

    run(scenario())
