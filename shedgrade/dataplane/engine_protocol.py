"""The protocol of the system's upstreams, where it differs from `UpstreamProtocol`."""

from shedgrade.in_flight import Transmission

MISDIRECTED = 421  # another incarnation has the address; implies that the request was not run
REFUSALS = frozenset((400, MISDIRECTED, 429, 503))  # statuses that `Not-Executed` is accepted with


class EngineProtocol:
    """Sends `Time-Remaining`, `Target-Instance` and `Priority`; reads `Not-Executed`."""

    def __init__(self, ids: list[str]) -> None:
        """`ids`: upstream ids by index; the list grows."""
        self.ids = ids

    def header_lines(self, transmission: Transmission, wait: int) -> list[bytes]:
        """The request's `Time-Remaining`, `Target-Instance` and `Priority`; see `UpstreamProtocol`."""
        lines = [
            b"Time-Remaining: %d\r\n" % wait,
            b"Target-Instance: %s\r\n" % self.ids[transmission.upstream].encode(),
        ]
        priority = transmission.active_request.priority
        if priority is not None:
            lines.append(b"Priority: %d\r\n" % priority)
        return lines

    def rejected_unprocessed(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        """Whether the upstream says that it did not run the request and never will. `Not-Executed` with a
        failure of another status is a contradiction and is ignored."""
        return status == MISDIRECTED or (
            status in REFUSALS and any(name.lower() == b"not-executed" for name, _ in headers)
        )
