"""What differs between the protocols that upstreams speak: one object, handed to whoever sends to them."""

from typing import Protocol

from shedgrade.in_flight import Transmission

UNPROCESSED_STATUSES = (503, 504)  # statuses that may say that a request was not processed


class UpstreamProtocol(Protocol):
    """The headers of one transmission, and which responses prove that the request was not processed."""

    def header_lines(self, transmission: Transmission, wait: int) -> list[bytes]:
        """Header lines of one transmission alone; `wait`: ms that its client waits from now on."""

    def rejected_unprocessed(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        """The upstream says that it did not process the request, and never will."""


class DeadlineHeaderProtocol:
    """The protocol of the sidecar's deployments: `X-Timeout-Ms` out, `X-Not-Processed` back."""

    def header_lines(self, transmission: Transmission, wait: int) -> list[bytes]:
        """`X-Timeout-Ms`; see `UpstreamProtocol`."""
        return [b"X-Timeout-Ms: %d\r\n" % wait]

    def rejected_unprocessed(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        """A 503 or 504 with `X-Not-Processed: 1`; see `UpstreamProtocol`."""
        return status in UNPROCESSED_STATUSES and any(
            name.lower() == b"x-not-processed" and value == b"1" for name, value in headers
        )


DEADLINE_HEADER_PROTOCOL = DeadlineHeaderProtocol()
