"""What depends on the protocol of an upstream: header lines of requests, and the meaning of rejections."""

from typing import Protocol

from shedgrade.in_flight import Transmission

UNPROCESSED_STATUSES = (503, 504)  # statuses that may say that a request was not processed


class UpstreamProtocol(Protocol):
    """Headers of one transmission, and the responses that prove that the request was not processed."""

    def header_lines(self, transmission: Transmission, wait: int) -> list[bytes]:
        """Returns header lines for one transmission; `wait`: ms that its client will still wait."""

    def rejected_unprocessed(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        """Whether the response states that the request was not processed, and never will be."""


class DeadlineHeaderProtocol:
    """The sidecar's own protocol: sends `X-Timeout-Ms`, and understands `X-Not-Processed`."""

    def header_lines(self, transmission: Transmission, wait: int) -> list[bytes]:
        """Returns `X-Timeout-Ms`; see `UpstreamProtocol`."""
        return [b"X-Timeout-Ms: %d\r\n" % wait]

    def rejected_unprocessed(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        """True for a 503 or 504 with `X-Not-Processed: 1`; see `UpstreamProtocol`."""
        return status in UNPROCESSED_STATUSES and any(
            name.lower() == b"x-not-processed" and value == b"1" for name, value in headers
        )


DEADLINE_HEADER_PROTOCOL = DeadlineHeaderProtocol()
