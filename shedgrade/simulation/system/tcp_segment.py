"""What travels on a simulated TCP connection: bytes, and the end of a direction in line with them."""

from __future__ import annotations

from enum import Enum

SEND_BUFFER = 128 * 1024  # bytes that the sender's kernel takes from its process
SEGMENT = 32 * 1024  # bytes that travel together at the most
NEVER = float("inf")  # s


class EndOfStream(Enum):
    """The end of one direction: nothing follows it."""

    FIN = "FIN"
    RESET = "RST"


FIN, RESET = EndOfStream.FIN, EndOfStream.RESET

Payload = bytes | EndOfStream
Received = Payload | OSError  # an OSError: the receiver's own kernel has given the connection up


class Segment:
    """Bytes, or an end, on their way. Times in s.

    `acknowledged_at`: when its sender knows that it has arrived; infinite until that is known.
    """

    __slots__ = ("payload", "size", "sent_at", "delivered", "acknowledged_at")

    def __init__(self, payload: Payload, sent_at: float) -> None:
        self.payload = payload
        self.sent_at = sent_at
        self.size = len(payload) if isinstance(payload, bytes) else 0
        self.delivered = False
        self.acknowledged_at = NEVER
