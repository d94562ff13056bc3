"""Encodes messages so that each fits one datagram."""

from collections.abc import Iterator
from dataclasses import dataclass

from shedgrade.membership.messages import (
    MAX_MESSAGE_BYTES,
    Descriptor,
    MembershipUpdate,
    Rumour,
    ShuffleRequest,
    ShuffleResponse,
    encode,
)
from shedgrade.membership.table import Sample


@dataclass(frozen=True, slots=True)
class FittedShuffle:
    """An encoded shuffle, and the descriptors and rumours that it contains."""

    body: bytes
    descriptors: list[Descriptor]
    rumours: list[Rumour]


def fit_shuffle(
    message_type: type[ShuffleRequest] | type[ShuffleResponse],
    number: int,
    sender: Descriptor,
    sample: Sample,
    rumours: list[Rumour],
) -> FittedShuffle:
    """Encodes a shuffle. Leaves out what doesn't fit: descriptors from the last one on, then rumours."""
    descriptors = sample.descriptors
    while (
        len(body := encode(message_type(number, sender, descriptors, rumours, sample.digests)))
        > MAX_MESSAGE_BYTES
    ):
        if descriptors:
            descriptors = descriptors[:-1]
        else:
            rumours = rumours[:-1]
    return FittedShuffle(body, descriptors, rumours)


def split_updates(descriptors: list[Descriptor]) -> Iterator[MembershipUpdate]:
    """Yields updates that together contain all descriptors, each as many as fit a datagram."""
    while descriptors:
        count = len(descriptors)
        while count > 1 and len(encode(MembershipUpdate(descriptors[:count], []))) > MAX_MESSAGE_BYTES:
            count -= 1
        yield MembershipUpdate(descriptors[:count], [])
        descriptors = descriptors[count:]
