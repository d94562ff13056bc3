"""The first byte of a body says which part of a core member it is for, in every version alike."""

from shedgrade.controlplane import channels


def test_the_bytes_that_tell_channels_apart_are_those_of_earlier_programs():
    assert (channels.REPLICATION, channels.KNOWLEDGE, channels.DUTIES, channels.ORDERS) == (
        b"R",
        b"K",
        b"D",
        b"O",
    )
