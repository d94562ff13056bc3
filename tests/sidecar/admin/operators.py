"""A client for the admin address, and a sidecar that has one."""

import asyncio
from dataclasses import replace

from addresses import free_address
from helpers import World, read_message

from shedgrade.sidecar.lifecycle.sidecar import Sidecar


class AdminWorld(World):
    """A sidecar in this process with an admin address."""

    def prepare(self):
        self.config = replace(self.config, admin=free_address())
        self.sidecar = Sidecar(self.config, asyncio.get_running_loop())

    async def call(self, target, method="POST", head=""):
        """Sends one call; returns status and body of the response, after which the connection has closed."""
        reader, writer = await asyncio.open_connection(*self.config.admin)
        writer.write(f"{method} {target} HTTP/1.1\r\nHost: admin\r\n{head}\r\n".encode())
        async with asyncio.timeout(20):
            head, body = await read_message(reader)
            assert await reader.read() == b""
        writer.close()
        return int(head[0].split()[1]), body
