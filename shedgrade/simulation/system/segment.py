"""What travels on a simulated connection: bytes and the ends of a direction in line with them."""

from __future__ import annotations

SEND_BUFFER = 128 * 1024  # bytes that the sender's kernel takes from its process
SEGMENT = 32 * 1024  # bytes that travel together at the most
FIN, RESET = object(), object()  # stand in line with the bytes


class Segment:
    """Bytes, or FIN or RESET, on their way. `acknowledged_at`: when its sender knows that it came."""

    __slots__ = ("data", "size", "sent_at", "delivered", "acknowledged_at")

    def __init__(self, data, sent_at: float) -> None:
        self.data, self.sent_at = data, sent_at
        self.size = len(data) if type(data) is bytes else 0
        self.delivered = False
        self.acknowledged_at = float("inf")
