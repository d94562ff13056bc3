"""Channels of links and keys of the control state are the same in every version."""

from shedgrade.controlplane import channels, state_keys


def test_the_bytes_that_tell_channels_apart_are_those_of_earlier_programs():
    assert (
        channels.REPLICATION_CHANNEL,
        channels.CONTROL_CHANNEL,
        channels.ROLE_CHANNEL,
        channels.COMMAND_CHANNEL,
    ) == (
        b"R",
        b"K",
        b"D",
        b"O",
    )


def test_the_keys_of_the_control_state_are_those_of_earlier_programs():
    assert (
        state_keys.CONFIGURATION,
        state_keys.VERSION,
        state_keys.EVACUATIONS,
        state_keys.EVACUATION_REVISIONS,
        state_keys.ACCEPTED_COUNT,
        state_keys.ACCEPTED_BLOCK,
    ) == ("configuration", "version", "evacuations", "evacuation-revisions", "accepted", "accepted/{}")
