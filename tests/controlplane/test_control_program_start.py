"""The control plane as a process: invalid settings, reloaded settings, and its end."""

import asyncio
import json
import signal

import programs


def run(scenario):
    asyncio.run(scenario)


def test_invalid_settings_end_the_program_with_status_2_and_a_line_per_finding(tmp_path):
    async def scenario():
        path = tmp_path / "local.yaml"
        programs.write(path, programs.core(1, tmp_path, ipAddress="core-1", toleratedLosses={}))
        status, output, lines = await programs.ended("controlplane", boot=path)
        assert (status, output) == (2, "") and len(lines) == 2
        assert {line.split(": ")[1] for line in lines} == {"ipAddress", "toleratedLosses.machines"}
        programs.write(path, programs.core(1, tmp_path, dataDir=None))
        assert await programs.ended("controlplane", "--settings", str(path)) == (
            2,
            "",
            ["settings: dataDir: is missing"],
        )

    run(scenario())


def test_an_invalid_reload_is_logged_and_ignored_and_the_end_writes_buffered_log_lines(tmp_path):
    async def scenario():
        path, host = tmp_path / "local.yaml", f"{programs.NET}.1"
        programs.write(path, programs.core(1, tmp_path / "data"))
        (tmp_path / "data").mkdir()
        async with programs.running("controlplane", path, 2, 3) as process:
            status, body = await programs.http(host, 8262, target="/status")
            assert status == 200 and json.loads(body)["node"] == "core-1"
            assert (await programs.http(host, 8264, target="/resolution?region=north&zone=hall-1"))[0] == 503
            programs.write(path, programs.core(1, tmp_path / "data", cloudApi={"ratePerS": 5}))
            process.send_signal(signal.SIGHUP)
            line = await programs.said(process, "settings reload rejected")
            assert json.loads(line)["place"] == "cloudApi.address"
            programs.write(path, programs.core(1, tmp_path / "data", seedNodes=[f"{programs.NET}.7:8262"]))
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
            remaining_output, status = await programs.rest(process)
            assert status == 0 and '"needs_restart":"seedNodes"' in remaining_output

    run(scenario())
