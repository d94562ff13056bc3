"""Segments of a simulated TCP connection: bytes, or the end of a direction in order with them."""

from __future__ import annotations

from enum import Enum

SEND_BUFFER_BYTES = 128 * 1024  # in the sender's kernel
MAX_SEGMENT_BYTES = 32 * 1024
NEVER = float("inf")  # s


class EndOfStream(Enum):
    """The end of one direction: nothing follows it."""

    FIN = "FIN"
    RESET = "RST"


FIN, RESET = EndOfStream.FIN, EndOfStream.RESET

Payload = bytes | EndOfStream
Received = Payload | OSError  # an OSError: the receiver's own kernel has ended the connection


class Segment:
    """Bytes or an end in transit. Times in s.

    Attributes:
        acknowledged_at: when the sender gets the acknowledgement; infinite until that time is known.
    """

    __slots__ = ("payload", "size", "sent_at", "delivered", "acknowledged_at")

    def __init__(self, payload: Payload, sent_at: float) -> None:
        self.payload = payload
        self.sent_at = sent_at
        self.size = len(payload) if isinstance(payload, bytes) else 0
        self.delivered = False
        self.acknowledged_at = NEVER
