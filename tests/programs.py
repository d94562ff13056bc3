"""Runs the two programs as real processes on loopback, each with its own settings file and address."""

import asyncio
import os
import sys
from contextlib import asynccontextmanager
from pathlib import Path

import yaml
from addresses import NETWORK as NET

ROOT = Path(__file__).resolve().parents[1]
LONGEST = 30.0  # s, the limit of each wait in this module

TOLD = {
    "servedRoles": [],
    "zone": "hall-1",
    "region": "north",
    "zones": {"hall-1": "north", "hall-2": "south"},
    "internalPortRange": [7300, 7315],
    "seedNodes": [f"{NET}.{number}:8262" for number in (1, 2, 3)],
    "initialStart": True,
    "limits": {"memoryMb": 300, "fileDescriptors": 4100},
    "toleratedLosses": {"machines": 1},
    "timingBounds": {"graceS": 8},
    "cloudApi": {"address": f"{NET}.250:8266", "ratePerS": 40.0, "maxLagMs": 100},
}


def edge(number=9, **more):
    host = f"{NET}.{number}"
    return (
        TOLD
        | {
            "nodeName": f"edge-{number}",
            "ipAddress": host,
            "listenAddresses": {"front": f"{host}:8263", "readiness": f"{host}:8268"},
        }
        | more
    )


def core(number, data_dir, **more):
    host = f"{NET}.{number}"
    return (
        TOLD
        | {
            "nodeName": f"core-{number}",
            "ipAddress": host,
            "dataDir": str(data_dir),
            "listenAddresses": {"control": f"{host}:8262", "directory": f"{host}:8264"},
        }
        | more
    )


def write(path, told):
    """Writes settings to a new file and renames it to `path`, so that no reader sees a part of them."""
    new = path.with_suffix(".new")
    new.write_text(told if isinstance(told, str) else yaml.safe_dump(told))
    new.rename(path)


async def start(program, *arguments, boot=None):
    env = {key: value for key, value in os.environ.items() if key != "SHEDGRADE_BOOT"}
    if boot is not None:
        env["SHEDGRADE_BOOT"] = str(boot)
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        f"shedgrade.{program}",
        *arguments,
        cwd=ROOT,
        env=env,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )


async def ended(program, *arguments, boot=None):
    """Runs a program until it ends; returns exit status, standard output and the lines of standard error."""
    process = await start(program, *arguments, boot=boot)
    try:
        out, err = await asyncio.wait_for(process.communicate(), LONGEST)
    finally:
        if process.returncode is None:
            process.kill()
    return process.returncode, out.decode(), err.decode().splitlines()


@asynccontextmanager
async def running(program, path, *seeds):
    """Starts a program and yields its process once it has connected to one of the seeds.

    `seeds`: host numbers of core machines whose stand-ins accept connections and send nothing.
    """
    connected = asyncio.Event()

    async def accept(reader, writer):
        connected.set()
        await reader.read()
        writer.close()

    servers = [await asyncio.start_server(accept, f"{NET}.{seed}", 7300) for seed in seeds]
    process = await start(program, boot=path)
    try:
        async with asyncio.timeout(LONGEST):
            await connected.wait()
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        for server in servers:
            server.close()


async def said(process, text):
    """Returns the next line of standard error that contains `text`. Fails if the process ends without it."""
    async with asyncio.timeout(LONGEST):
        while line := (await process.stderr.readline()).decode():
            if text in line:
                return line
    raise AssertionError(f"not in standard error: {text}")


async def rest(process):
    """Returns the rest of standard error and the exit status."""
    remaining = await asyncio.wait_for(process.stderr.read(), LONGEST)
    return remaining.decode(), await asyncio.wait_for(process.wait(), LONGEST)


async def http(host, port, verb="GET", target="/", body=b"", headers=()):
    """Sends a request on a new connection; returns status and body of the response."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [
            f"{verb} {target} HTTP/1.1",
            f"Host: {host}",
            f"Content-Length: {len(body)}",
            "Connection: close",
            *headers,
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        answer = await asyncio.wait_for(reader.read(), LONGEST)
    finally:
        writer.close()
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), body
