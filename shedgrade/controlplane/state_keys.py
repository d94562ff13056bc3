"""Keys of the control state, as members store them and send them to each other. Their values must not change.

`tests/stored` reads a member's folder, written by an earlier version of the program, that has all of them.
"""

from collections.abc import Mapping

CONFIGURATION = "configuration"  # bytes as the operator sent them, or as a delta was merged into them
VERSION = "version"  # version of the configuration, decimal
EVACUATIONS = "evacuations"  # sorted JSON list of zones
EVACUATION_REVISIONS = "evacuation-revisions"  # JSON object: number of acknowledged commands by zone
ACCEPTED_COUNT = "accepted"  # entries ever written to the record of accepted changes, decimal
ACCEPTED_BLOCK = "accepted/{}"  # entries of one block of that record, by the block's number


def configuration_version(state: Mapping[str, bytes]) -> int:
    """The version of the configuration in force; 0 if there is none."""
    return int(state.get(VERSION) or 0)
