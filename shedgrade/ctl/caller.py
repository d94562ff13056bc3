"""Calls on the control plane, as an operator makes them.

Source: the operators' PROTOCOL, "The operator's API": addresses are tried in turn; 307 is followed twice; a
failure, a 5xx, 408, 429 or a second of silence (longer for large bodies) moves on to the next, with growing
pauses; 400, 409, 412, 413 and 422 end a call, any other 4xx at the third time.
"""

import http.client
import json
import os
import time
from collections.abc import Callable, Mapping, Sequence
from random import Random
from urllib.parse import urlsplit

from shedgrade.ctl.output import EndError, InputError, RefusedError
from shedgrade.findings import Finding

REDIRECTS = 2  # followed from one address
SILENCE = 1.0  # s without an answer after which the next address is tried
SLOW = 1_000_000  # bytes a second at which a large body is thought to be taken in
FIRST_PAUSE, LONGEST_PAUSE = 0.05, 1.0  # s before the next try
USUAL, ORDER = 10.0, 5.0  # s for an answer; an order may be sent again for `ackMs` at the most
ENDS = frozenset((400, 409, 412, 413, 422))
AGAIN = frozenset((408, 429))
TRIES = 3  # of any other 4xx
VARIABLE = "SHEDGRADE_CONTROL"
FAILURES = (OSError, http.client.HTTPException, ValueError)


class SilenceError(EndError):
    """Nobody gave a clear answer by the deadline."""


class Answer:
    """`status` and `body` of an answer; `location`: of a 307."""

    def __init__(self, status: int, body: bytes, location: str = "") -> None:
        self.status, self.body, self.location = status, body, location

    def findings(self) -> tuple[Finding, ...]:
        """What the control plane said of a refusal; its status where it said nothing that is understood."""
        try:
            told = json.loads(self.body)["findings"]
            found = tuple(Finding(str(one.get("place", "")), str(one["text"])) for one in told)
        except (ValueError, KeyError, TypeError, AttributeError):
            found = ()
        return found or (Finding("", f"refused with status {self.status}"),)


def exchange(
    address: str, method: str, path: str, body: bytes | None, headers: Mapping[str, str], timeout: float
) -> Answer:
    """One call over a connection of its own. OSError, HTTPException or ValueError if no answer comes."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, dict(headers))
        response = connection.getresponse()
        return Answer(response.status, response.read(), response.getheader("Location") or "")
    finally:
        connection.close()


class Caller:
    """`addresses`: "host:port"; `deadline`: s for all calls together; `clock` gives seconds, `pause` waits so
    many of them."""

    def __init__(
        self,
        addresses: Sequence[str],
        deadline: float,
        *,
        random: Random,
        clock: Callable[[], float] = time.monotonic,
        pause: Callable[[float], None] = time.sleep,
        silence: float = SILENCE,
    ) -> None:
        self.addresses, self.random = list(addresses), random
        self.clock, self.pause, self.silence = clock, pause, silence
        self.until = clock() + deadline

    def call(
        self, method: str, path: str, body: bytes | None = None, headers: Mapping[str, str] | None = None
    ) -> Answer:
        """The 2xx answer. RefusedError with what the control plane found; SilenceError with what each address
        said last, if the deadline passes."""
        until, turn, others = self.until, 0, 0
        wait, last = FIRST_PAUSE, {}
        sent = dict(headers or {})
        if body is not None:
            sent["Content-Type"] = "application/json"
        while True:
            address = self.addresses[turn % len(self.addresses)]
            try:
                answer = self.follow(address, method, path, body, sent, until)
            except FAILURES as failure:
                last[address] = str(failure) or type(failure).__name__
            else:
                status = answer.status
                if 200 <= status < 300:
                    return answer
                if 400 <= status < 500 and status not in AGAIN:
                    others += 1
                    if status in ENDS or others >= TRIES:
                        raise RefusedError(*answer.findings())
                last[address] = f"status {status}: " + "; ".join(map(str, answer.findings()))
            turn += 1
            left = until - self.clock()
            if left <= 0:
                raise SilenceError(*(Finding(one, said) for one, said in last.items()))
            # Guards against operators that ask a control plane in trouble in step: pauses are by chance.
            self.pause(min(left, wait * self.random.uniform(0.5, 1.0)))
            wait = min(2 * wait, LONGEST_PAUSE)

    def follow(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str],
        until: float,
    ) -> Answer:
        """One address, and where it sends on to."""
        for _ in range(REDIRECTS + 1):
            allowed = self.silence + (len(body) / SLOW if body else 0.0)
            timeout = max(0.001, min(allowed, until - self.clock()))
            answer = exchange(address, method, path, body, headers, timeout)
            if answer.status != 307:
                return answer
            target = urlsplit(answer.location)
            if target.scheme != "http" or not target.netloc:
                raise ValueError(f"is sent on to {answer.location!r}")
            address, path = target.netloc, target.path or "/"
        raise ValueError("is sent on too often")


def make_caller(options: Mapping[str, object]) -> Caller:
    """From the command's options. InputError if they can't be used."""
    told = options["--control"] or [os.environ.get(VARIABLE, "")]
    addresses = [address for part in told for address in part.split(",") if address]
    if not addresses:
        raise InputError(Finding("--control", f"is not given, and {VARIABLE} is not set"))
    for address in addresses:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise InputError(Finding("--control", f"{address!r} is no host:port"))
    order = options["evacuate"] or options["return"]
    try:
        deadline = float(options["--deadline"] or (ORDER if order else USUAL))
    except ValueError:
        deadline = 0.0
    if not 0 < deadline < 3600:
        raise InputError(Finding("--deadline", "is no number of seconds"))
    return Caller(addresses, deadline, random=Random())
