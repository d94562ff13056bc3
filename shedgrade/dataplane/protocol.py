"""What the system's upstreams speak, where it differs from the protocol in service."""
from shedgrade.memory.in_hand import Transmission

TURNED_AWAY = (400, 421, 429, 503)  # statuses with which an upstream says that it did not run a request


class SystemProtocol:
    """`Time-Remaining` and `Target-Instance` out, `Not-Executed` back."""

    def __init__(self, ids: list[str]) -> None:
        """`ids`: of the upstreams, by index; a list that grows."""
        self.ids = ids

    def lines(self, transmission: Transmission, wait: int) -> list[bytes]:
        lines = [b"Time-Remaining: %d\r\n" % wait,
                 b"Target-Instance: %s\r\n" % self.ids[transmission.upstream].encode()]
        priority = transmission.carried.priority
        if priority is not None:
            lines.append(b"Priority: %d\r\n" % priority)
        return lines

    def turned_away(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        return status == 421 or any(name.lower() == b"not-executed" for name, _ in headers)
