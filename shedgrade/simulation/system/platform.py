"""A simulated platform API that lists the upstream instances, on the program's own HTTP server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import orjson

from shedgrade.http.server import HttpServer, Reply
from shedgrade.runtime.log import logger
from shedgrade.simulation.system.process_loop import ProcessLoop

PORT = 8266
STATE_CHANGE_PROBABILITY = 0.05  # of one instance, at each poll


class PlatformList:
    """Serves `GET /instances`. Instances change their states from time to time.

    Attributes:
        polled_at: virtual times of the requests, s, in order.
    """

    def __init__(
        self, loop: ProcessLoop, ip: str, zones: list[str], random: Random, per_zone: int = 2
    ) -> None:
        self.loop = loop
        self.random = random
        self.server = HttpServer(loop, (ip, PORT), self.handle, logger)
        self.instances = [self.instance(zone, number) for zone in zones for number in range(per_zone)]
        self.polled_at: list[float] = []

    @staticmethod
    def instance(zone: str, number: int) -> dict[str, object]:
        """An instance as the platform's API lists it."""
        return {
            "instanceId": f"i-{zone}-{number}",
            "service": "lm",
            "zone": zone,
            "state": "available",
            "address": f"10.128.0.{number + 1}:8080",
            "configVersion": "v1",
            "capacitySlots": 8,
            "coldLeftMs": 0,
        }

    def handle(self, request: object, respond: Callable[[Reply], None]) -> None:
        """Answers any request with the whole list."""
        self.polled_at.append(self.loop.virtual_time.now)
        if self.random.random() < STATE_CHANGE_PROBABILITY:
            instance = self.random.choice(self.instances)
            instance["state"] = "draining" if instance["state"] == "available" else "available"
        respond(Reply(200, orjson.dumps({"instanceList": self.instances, "nextToken": None})))

    async def serve(self) -> None:
        """Serves until the process ends."""
        await self.server.start()
        await asyncio.Event().wait()
