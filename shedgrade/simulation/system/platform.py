"""A stand-in for the platform's list of upstreams, on the program's own HTTP server."""

from __future__ import annotations

import asyncio
from random import Random

import orjson

from shedgrade.http.server import HttpServer, Reply
from shedgrade.runtime.log import logger

PORT = 8266


class PlatformList:
    """Serves `GET /instances`. An instance changes its state now and then; `calls` counts."""

    def __init__(self, loop, ip: str, zones: list[str], random: Random, per_zone: int = 2) -> None:
        self.loop, self.random = loop, random
        self.server = HttpServer(loop, (ip, PORT), self.handle, logger)
        self.instances = [self.instance(zone, number) for zone in zones for number in range(per_zone)]
        self.calls = 0

    @staticmethod
    def instance(zone: str, number: int) -> dict:
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

    def handle(self, request, tell) -> None:
        self.calls += 1
        if self.random.random() < 0.05:
            one = self.random.choice(self.instances)
            one["state"] = "draining" if one["state"] == "available" else "available"
        tell(Reply(200, orjson.dumps({"instanceList": self.instances, "nextToken": None})))

    async def serve(self) -> None:
        await self.server.start()
        await asyncio.Event().wait()
