"""What the system's upstreams speak, where it differs from the protocol in service."""

from shedgrade.in_flight import Transmission

MISDIRECTED = 421  # another incarnation has the address: by itself it says so
REFUSALS = frozenset((400, MISDIRECTED, 429, 503))  # statuses with which `Not-Executed` may stand


class EngineProtocol:
    """`Time-Remaining` and `Target-Instance` out, `Not-Executed` back."""

    def __init__(self, ids: list[str]) -> None:
        """`ids`: of the upstreams, by index; a list that grows."""
        self.ids = ids

    def header_lines(self, transmission: Transmission, wait: int) -> list[bytes]:
        """`Time-Remaining`, `Target-Instance` and `Priority`; see `UpstreamProtocol`."""
        lines = [
            b"Time-Remaining: %d\r\n" % wait,
            b"Target-Instance: %s\r\n" % self.ids[transmission.upstream].encode(),
        ]
        priority = transmission.active_request.priority
        if priority is not None:
            lines.append(b"Priority: %d\r\n" % priority)
        return lines

    def rejected_unprocessed(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        """The upstream says that it did not run the request, and never will. A failure of another status
        contradicts `Not-Executed`, and of what contradicts itself nothing is believed."""
        return status == MISDIRECTED or (
            status in REFUSALS and any(name.lower() == b"not-executed" for name, _ in headers)
        )
