"""A stand-in for the operators' tools, and a sidecar with a second address."""

import asyncio
from dataclasses import replace

from addresses import free_address
from helpers import World, read_message

from shedgrade.sidecar.lifecycle.sidecar import Sidecar


class Operated(World):
    """A sidecar in this process with a second address."""

    def prepare(self):
        self.config = replace(self.config, admin=free_address())
        self.sidecar = Sidecar(self.config, asyncio.get_running_loop())

    async def call(self, target, verb="POST", head=""):
        """Status and body of one call's answer, after which its connection has ended."""
        reader, writer = await asyncio.open_connection(*self.config.admin)
        writer.write(f"{verb} {target} HTTP/1.1\r\nHost: admin\r\n{head}\r\n".encode())
        async with asyncio.timeout(20):
            head, body = await read_message(reader)
            assert await reader.read() == b""
        writer.close()
        return int(head[0].split()[1]), body
