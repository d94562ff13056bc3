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

from shedgrade.ctl.options import Options
from shedgrade.ctl.output import InputError, NoAnswerError, RejectedError
from shedgrade.findings import Finding

MAX_REDIRECTS = 2  # followed from one address
ANSWER_TIMEOUT_S = 1.0  # without an answer, after which the next address is tried
MIN_TIMEOUT_S = 0.001
UPLOAD_BYTES_PER_S = 1_000_000  # at which a large body is thought to be taken in
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.05, 1.0  # before the next attempt
DEADLINE_S = 10.0
ORDER_DEADLINE_S = 5.0  # of evacuate and return: an order may be sent again for `ackMs` at the most
MAX_DEADLINE_S = 3600
FINAL_STATUSES = frozenset((400, 409, 412, 413, 422))
RETRIED_STATUSES = frozenset((408, 429))
MAX_CLIENT_ERRORS = 3  # of any other 4xx
ADDRESS_VARIABLE = "SHEDGRADE_CONTROL"
NETWORK_ERRORS = (OSError, http.client.HTTPException, ValueError)


class Response:
    """`status` and `body` of an answer; `location`: of a 307."""

    def __init__(self, status: int, body: bytes, location: str = "") -> None:
        self.status = status
        self.body = body
        self.location = location

    def is_success(self) -> bool:
        """Whether it is a 2xx."""
        return 200 <= self.status < 300

    def is_client_error(self) -> bool:
        """Whether it is a 4xx that another member would answer alike."""
        return 400 <= self.status < 500 and self.status not in RETRIED_STATUSES

    def findings(self) -> tuple[Finding, ...]:
        """What the control plane said of a refusal; its status where it said nothing that is understood."""
        try:
            items = json.loads(self.body)["findings"]
            found = tuple(Finding(str(item.get("place", "")), str(item["text"])) for item in items)
        except (ValueError, KeyError, TypeError, AttributeError):
            found = ()
        return found or (Finding("", f"refused with status {self.status}"),)


def exchange(
    address: str, method: str, path: str, body: bytes | None, headers: Mapping[str, str], timeout_s: float
) -> Response:
    """One call over a connection of its own. OSError, HTTPException or ValueError if no answer comes."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body, dict(headers))
        response = connection.getresponse()
        return Response(response.status, response.read(), response.getheader("Location") or "")
    finally:
        connection.close()


class ControlClient:
    """Calls the control addresses in turn.

    Attributes:
        addresses: "host:port".
        expires_at: on `clock`, when the deadline of all calls together is over.
        clock: gives seconds; `pause` waits so many of them.
        answer_timeout_s: after which the next address is tried.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        deadline_s: float,
        *,
        random: Random,
        clock: Callable[[], float] = time.monotonic,
        pause: Callable[[float], None] = time.sleep,
        answer_timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> None:
        """`deadline_s`: for all calls together, from now on."""
        self.addresses = list(addresses)
        self.random = random
        self.clock = clock
        self.pause = pause
        self.answer_timeout_s = answer_timeout_s
        self.expires_at = clock() + deadline_s

    def call(
        self, method: str, path: str, body: bytes | None = None, headers: Mapping[str, str] | None = None
    ) -> Response:
        """The 2xx answer. RejectedError with what the control plane found; NoAnswerError with what each
        address said last, if the deadline passes."""
        attempt = 0
        client_errors = 0
        backoff_s = MIN_BACKOFF_S
        last_errors: dict[str, str] = {}
        sent_headers = dict(headers or {})
        if body is not None:
            sent_headers["Content-Type"] = "application/json"
        while True:
            address = self.addresses[attempt % len(self.addresses)]
            try:
                response = self.call_address(address, method, path, body, sent_headers)
            except NETWORK_ERRORS as error:
                last_errors[address] = str(error) or type(error).__name__
            else:
                if response.is_success():
                    return response
                if response.is_client_error():
                    client_errors += 1
                    if response.status in FINAL_STATUSES or client_errors >= MAX_CLIENT_ERRORS:
                        raise RejectedError(*response.findings())
                findings = "; ".join(map(str, response.findings()))
                last_errors[address] = f"status {response.status}: {findings}"
            attempt += 1
            left_s = self.expires_at - self.clock()
            if left_s <= 0:
                raise NoAnswerError(*(Finding(*entry) for entry in last_errors.items()))
            # Guards against operators that call a control plane in trouble in step: pauses are random.
            self.pause(min(left_s, backoff_s * self.random.uniform(0.5, 1.0)))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def call_address(
        self, address: str, method: str, path: str, body: bytes | None, headers: Mapping[str, str]
    ) -> Response:
        """One address, and where it redirects to. Errors as of `exchange`."""
        for _ in range(MAX_REDIRECTS + 1):
            allowed_s = self.answer_timeout_s + (len(body) / UPLOAD_BYTES_PER_S if body else 0.0)
            timeout_s = max(MIN_TIMEOUT_S, min(allowed_s, self.expires_at - self.clock()))
            response = exchange(address, method, path, body, headers, timeout_s)
            if response.status != 307:
                return response
            target = urlsplit(response.location)
            if target.scheme != "http" or not target.netloc:
                raise ValueError(f"is sent on to {response.location!r}")
            address, path = target.netloc, target.path or "/"
        raise ValueError("is sent on too often")


def make_client(options: Options) -> ControlClient:
    """From the command's options. InputError if they can't be used."""
    return ControlClient(control_addresses(options), deadline_s(options), random=Random())


def control_addresses(options: Options) -> list[str]:
    """Those of the options, else of the environment. InputError: none, or one that is no host:port."""
    given = options.control or (os.environ.get(ADDRESS_VARIABLE, ""),)
    addresses = [address for part in given for address in part.split(",") if address]
    if not addresses:
        raise InputError(Finding("--control", f"is not given, and {ADDRESS_VARIABLE} is not set"))
    for address in addresses:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise InputError(Finding("--control", f"{address!r} is no host:port"))
    return addresses


def deadline_s(options: Options) -> float:
    """How long answers are sought. InputError: the option is no number of seconds."""
    is_order = options.command in ("evacuate", "return")
    try:
        seconds = float(options.deadline or (ORDER_DEADLINE_S if is_order else DEADLINE_S))
    except ValueError:
        seconds = 0.0
    if not 0 < seconds < MAX_DEADLINE_S:
        raise InputError(Finding("--deadline", "is no number of seconds"))
    return seconds
