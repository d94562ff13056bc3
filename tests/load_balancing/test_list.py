"""Messages of discovery about upstreams that this sidecar does not know."""

import pytest
from helpers import settings

from shedgrade import load_balancing
from shedgrade.http.endpoint_discovery import ListError, ListReader


def list_entry(name, lifecycle, **more):
    return {"instanceId": name, "lifecycle": lifecycle, **more}


def complete_entry(name, lifecycle="in_service"):
    return list_entry(name, lifecycle, hostPort="127.0.0.1:9001", zone="0", startedAtMs=5)


def changes_message(number, *entries):
    return {"generation": number, "reset": False, "instances": list(entries)}


def test_the_removal_of_an_unknown_upstream_does_not_block_the_rest_of_the_list():
    reader = ListReader({**settings(zones=1), "zones": ["0"]})
    reader.read({"generation": 1, "reset": True, "instances": [complete_entry("a"), complete_entry("b")]})
    # c started and terminated between two requests; the same answer drains b, which must not be lost.
    rows, _, _ = reader.read(
        changes_message(2, list_entry("c", "terminated"), list_entry("b", "terminating"))
    )
    assert [row[2] for row in rows] == [load_balancing.DRAINING] and reader.version == 2
    rows, _, _ = reader.read(changes_message(3, list_entry("b", "terminated")))
    assert [row[2] for row in rows] == [load_balancing.REMOVED]
    reader.forget(rows[0][0])
    rows, _, _ = reader.read(
        changes_message(4, list_entry("b", "terminated"), complete_entry("d"))
    )  # b is removed once more
    assert [row[2] for row in rows] == [load_balancing.READY] and reader.version == 4
    rows, _, _ = reader.read(
        changes_message(5, list_entry("e", "terminating"), list_entry("d", "terminating"))
    )
    assert [row[2] for row in rows] == [load_balancing.DRAINING] and reader.version == 5


@pytest.mark.parametrize(
    "entry", [list_entry("e", "in_service"), list_entry("f", "gone"), complete_entry("g", "asleep"), {}, 7]
)
def test_an_invalid_answer_changes_nothing_of_the_list(entry):
    reader = ListReader({**settings(zones=1), "zones": ["0"]})
    reader.read({"generation": 1, "reset": True, "instances": [complete_entry("a")]})
    with pytest.raises(ListError):
        reader.read(
            changes_message(2, list_entry("a", "terminating"), entry)
        )  # an entry in service must be complete
    assert reader.version == 1 and reader.known_entries["a"]["lifecycle"] == "in_service"
