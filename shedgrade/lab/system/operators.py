"""Operators, who put configurations, evacuate zones and read back.

Source: PROTOCOL, "The operator's API".
"""

import asyncio
import json
from collections.abc import Sequence
from random import Random
from urllib.parse import urlsplit

from shedgrade.lab.system.calls import FAILURES, Answer, call
from shedgrade.lab.system.history import History, Order

FINAL_STATUSES = frozenset((400, 409, 412, 413, 422))  # clear refusals
RETRIED_STATUSES = frozenset((408, 429))  # retried without a limit on their number
MAX_OTHER_REFUSALS = 3  # answers with any other 4xx after which the last one counts
CALL_TIMEOUT_S = 1.0
FIRST_PAUSE_S, LONGEST_PAUSE_S = 0.05, 0.5  # s between two calls


class Operator:
    """An operator.

    addresses: addresses of the control plane
    observed: the history to which orders are added
    clock: returns the time, s
    retry_limit: time for which an evacuation may be retried, s; a configuration has four times as long
    """

    def __init__(
        self, addresses: Sequence[str], observed: History, random: Random, clock, retry_limit: float
    ) -> None:
        self.addresses, self.history, self.random = list(addresses), observed, random
        self.clock, self.retry_limit = clock, retry_limit

    async def put(self, configuration: dict, base: int, *, valid: bool = True) -> Order:
        """Sends a configuration, unchanged, until it gets a clear answer."""
        body = json.dumps(configuration).encode()
        version = configuration.get("configVersion", 0)
        order = Order("put", self.clock(), base=base, version=version, body=body, valid=valid)
        headers = {"If-Match": str(base)}
        return await self.send_order(order, "PUT", "/configuration", body, headers, 4 * self.retry_limit)

    async def evacuate(self, zone: str) -> Order:
        order = Order("evacuate", self.clock(), zone=zone)
        empty = {"Content-Length": "0"}
        return await self.send_order(order, "POST", f"/evacuation/{zone}", None, empty, self.retry_limit)

    async def return_zone(self, zone: str) -> Order:
        order = Order("return", self.clock(), zone=zone)
        return await self.send_order(order, "DELETE", f"/evacuation/{zone}", None, {}, self.retry_limit)

    async def send_order(
        self, order: Order, method: str, path: str, body: bytes | None, headers: dict, limit: float
    ) -> Order:
        self.history.orders.append(order)
        answer = await self.call_until_clear(method, path, body, headers, self.clock() + limit)
        order.ended_at = self.clock()
        if answer is not None:
            order.status, order.answer_text = answer.status, answer.body[:300].decode(errors="replace")
        return order

    async def read_back(self, limit: float) -> bytes | None:
        """Returns the newest configuration; None if none arrives within `limit` seconds."""
        answer = await self.call_until_clear("GET", "/configuration", None, {}, self.clock() + limit)
        return answer.body if answer is not None and answer.status == 200 else None

    async def call_until_clear(
        self, method: str, path: str, body: bytes | None, headers: dict, deadline: float
    ) -> Answer | None:
        """Returns the first clear answer; None if none arrives by the time `deadline`."""
        turn, other_refusals, pause = self.random.randrange(len(self.addresses)), 0, FIRST_PAUSE_S
        while (time_left := deadline - self.clock()) > 0:
            address = self.addresses[turn % len(self.addresses)]
            try:
                answer = await self.call_with_redirects(
                    address, method, path, body, headers, min(CALL_TIMEOUT_S, time_left)
                )
            except (*FAILURES, ValueError):
                answer = None
            if answer is not None and (answer.status < 300 or answer.status in FINAL_STATUSES):
                return answer
            if answer is not None and 400 <= answer.status < 500 and answer.status not in RETRIED_STATUSES:
                other_refusals += 1
                if other_refusals >= MAX_OTHER_REFUSALS:
                    return answer
            turn += 1
            await asyncio.sleep(max(0.0, min(pause * self.random.uniform(0.5, 1.0), deadline - self.clock())))
            pause = min(2 * pause, LONGEST_PAUSE_S)
        return None

    async def call_with_redirects(
        self, address: str, method: str, path: str, body: bytes | None, headers: dict, timeout: float
    ) -> Answer:
        """Calls one address and follows at most two redirects. Raises ValueError beyond that."""
        for _ in range(3):
            answer = await call(address, method, path, body, headers, timeout=timeout)
            if answer.status != 307:
                return answer
            target = urlsplit(answer.headers.get("location", ""))
            address, path = target.netloc, target.path
        raise ValueError("more than two redirects")


async def statuses(addresses: Sequence[str]) -> list[dict]:
    """Returns the status reported by each member that answers."""

    async def status_of(address: str) -> dict | None:
        try:
            answer = await call(address, "GET", "/status", timeout=0.5)
            return json.loads(answer.body) if answer.status == 200 else None
        except (*FAILURES, ValueError):
            return None

    answers = await asyncio.gather(*map(status_of, addresses))
    return [status for status in answers if status is not None]
