"""Calls of the control plane's operator API over HTTP.

Source: the operators' PROTOCOL, "The operator's API". Addresses are tried in turn, and up to two 307
redirects are followed from each. A network error, a 5xx, 408, 429 or one second without an answer (more for
large bodies) leads to the next address, with growing pauses in between. 400, 409, 412, 413 and 422 end a
call; any other 4xx ends it when it is the third.
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

MAX_REDIRECTS = 2  # redirects followed for a request to one address
ANSWER_TIMEOUT_S = 1.0  # time without an answer after which the next address is tried
MIN_TIMEOUT_S = 0.001
UPLOAD_BYTES_PER_S = 1_000_000  # rate at which a server is assumed to receive a large body
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.05, 1.0  # before the next attempt
DEADLINE_S = 10.0
# Default deadline of evacuate and return, which may be repeated for no longer than the bound `ackMs`, 5 s.
EVACUATION_DEADLINE_S = 5.0
MAX_DEADLINE_S = 3600
FINAL_STATUSES = frozenset((400, 409, 412, 413, 422))
RETRIED_STATUSES = frozenset((408, 429))
MAX_CLIENT_ERRORS = 3  # responses with any other 4xx, after which a call ends
ADDRESS_VARIABLE = "SHEDGRADE_CONTROL"
NETWORK_ERRORS = (OSError, http.client.HTTPException, ValueError)


class Response:
    """A response of the control plane. `location`: target of a 307, otherwise empty."""

    def __init__(self, status: int, body: bytes, location: str = "") -> None:
        self.status = status
        self.body = body
        self.location = location

    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

    def is_client_error(self) -> bool:
        """Whether the status is a 4xx that another member would return too: none of RETRIED_STATUSES."""
        return 400 <= self.status < 500 and self.status not in RETRIED_STATUSES

    def findings(self) -> tuple[Finding, ...]:
        """The findings in the body; one that names the status if the body has none or can't be parsed."""
        try:
            items = json.loads(self.body)["findings"]
            found = tuple(Finding(str(item.get("place", "")), str(item["text"])) for item in items)
        except (ValueError, KeyError, TypeError, AttributeError):
            found = ()
        return found or (Finding("", f"refused with status {self.status}"),)


def send_request(
    address: str, method: str, path: str, body: bytes | None, headers: Mapping[str, str], timeout_s: float
) -> Response:
    """One request over its own connection. OSError, HTTPException or ValueError if there is no response."""
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
        addresses: each "host:port".
        random: draws the pauses between attempts.
        clock: returns the time in seconds.
        sleep: waits for a number of seconds.
        answer_timeout_s: time without an answer after which the next address is tried.
        expires_at: deadline of all calls together, on `clock`.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        deadline_s: float,
        *,
        random: Random,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
        answer_timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> None:
        """`deadline_s`: time limit for all calls together, from now on."""
        self.addresses = list(addresses)
        self.random = random
        self.clock = clock
        self.sleep = sleep
        self.answer_timeout_s = answer_timeout_s
        self.expires_at = clock() + deadline_s

    def call(
        self, method: str, path: str, body: bytes | None = None, headers: Mapping[str, str] | None = None
    ) -> Response:
        """The 2xx response. RejectedError with the control plane's findings; NoAnswerError with the last
        error of each address if the deadline passes."""
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
            # Random pauses guard against operators' clients that call an overloaded control plane in step.
            self.sleep(min(left_s, backoff_s * self.random.uniform(0.5, 1.0)))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def call_address(
        self, address: str, method: str, path: str, body: bytes | None, headers: Mapping[str, str]
    ) -> Response:
        """The response of one address, or of where it redirects to. Raises the errors of `send_request`."""
        for _ in range(MAX_REDIRECTS + 1):
            allowed_s = self.answer_timeout_s + (len(body) / UPLOAD_BYTES_PER_S if body else 0.0)
            timeout_s = max(MIN_TIMEOUT_S, min(allowed_s, self.expires_at - self.clock()))
            response = send_request(address, method, path, body, headers, timeout_s)
            if response.status != 307:
                return response
            target = urlsplit(response.location)
            if target.scheme != "http" or not target.netloc:
                raise ValueError(f"redirects to {response.location!r}, which is not an http address")
            address, path = target.netloc, target.path or "/"
        raise ValueError("redirects too often")


def make_client(options: Options) -> ControlClient:
    """The client for a command's options. InputError if they are invalid."""
    return ControlClient(control_addresses(options), requested_deadline_s(options), random=Random())


def control_addresses(options: Options) -> list[str]:
    """Addresses in the options, else in the environment. InputError if there is none, or an invalid one."""
    given = options.control or (os.environ.get(ADDRESS_VARIABLE, ""),)
    addresses = [address for part in given for address in part.split(",") if address]
    if not addresses:
        raise InputError(Finding("--control", f"is not given, and {ADDRESS_VARIABLE} is not set"))
    for address in addresses:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise InputError(Finding("--control", f"{address!r} is not a host:port address"))
    return addresses


def requested_deadline_s(options: Options) -> float:
    """The time limit for all calls of a command. InputError if the option is no valid number of seconds."""
    is_evacuation = options.command in ("evacuate", "return")
    try:
        seconds = float(options.deadline or (EVACUATION_DEADLINE_S if is_evacuation else DEADLINE_S))
    except ValueError:
        seconds = 0.0
    if not 0 < seconds < MAX_DEADLINE_S:
        raise InputError(Finding("--deadline", "is not a valid number of seconds"))
    return seconds
