"""Decisions on operators' commands, alone and in races."""

from itertools import pairwise

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from shedgrade.controlplane import deduplication
from shedgrade.controlplane.channels import ForwardedRequest, ForwardedResponse, decode, encode
from shedgrade.controlplane.commands import (
    CancelEvacuation,
    CommandReply,
    Evacuate,
    PatchConfiguration,
    PutConfiguration,
    RevisionConflict,
    make_decision_function,
)
from shedgrade.controlplane.state_keys import EVACUATION_REVISIONS
from shedgrade.replication.effects import Decision

decide = make_decision_function({"north-a": "north", "south-a": "south"})


def put(version, base, content=0):
    return PutConfiguration(base, version, orjson.dumps({"configVersion": version, "routeList": [content]}))


def put_routes(version, base, *names):
    """A PUT of a configuration with a route for each name."""
    routes = [{"name": name, "host": "h", "pathPrefix": f"/{name}/", "service": "s"} for name in names]
    raw = orjson.dumps({"configVersion": version, "routeList": routes, "serviceList": [{"name": "s"}]})
    return PutConfiguration(base, version, raw)


def patch(version, base, add=(), remove=(), service="s"):
    routes = [{"name": name, "host": "h", "pathPrefix": f"/{name}/", "service": service} for name in add]
    return PatchConfiguration(
        base,
        version,
        orjson.dumps(
            {
                "configVersion": version,
                "addModify": {"routeList": routes},
                "remove": {"routeList": list(remove)},
            }
        ),
    )


class State(dict):
    """Control state to which commands are applied in turn."""

    def status(self, command):
        decision = decide(self, command)
        for key, value in decision.changes.items():
            if value is None:
                del self[key]
            else:
                self[key] = value
        return decision.outcome.status

    def version(self):
        return int(self.get("version", 0))


def test_a_configuration_must_build_on_the_current_version():
    state = State()
    assert state.status(put(3, 0)) == 200 and state.version() == 3
    assert state.status(put(7, 3)) == 200 and state["configuration"] == put(7, 3).raw
    assert state.status(put(9, 3)) == 412 and state.version() == 7
    assert state.status(put(9, 0)) == 412
    assert state.status(put(9, 8)) == 412
    assert state.status(put(5, 7)) == 400 and state.version() == 7
    assert state.status(PutConfiguration(None, 9, b"{}")) == 412


def test_a_repeated_configuration_is_acknowledged_again():
    state = State()
    first, second = put(3, 0), put(7, 3)
    assert [state.status(command) for command in (first, first, second, second, first)] == [200] * 5
    assert state.version() == 7
    spaced = PutConfiguration(3, 7, b'{ "routeList": [0],\n"configVersion": 7 }')
    assert state.status(spaced) == 200 and state["configuration"] == second.raw


def test_repeats_change_nothing():
    state = State()
    state.status(put(3, 0))
    assert decide(state, put(3, 0)).changes == {}
    assert decide(state, put(9, 1)).changes == {}
    assert decide(state, CancelEvacuation("north-a")).changes.keys() == {EVACUATION_REVISIONS}


def test_only_one_of_two_contents_with_one_version_is_accepted():
    state = State()
    assert state.status(put(3, 0, "mine")) == 200
    assert state.status(put(3, 0, "theirs")) == 412
    assert state.status(put(5, 3)) == 200
    assert state.status(put(3, 0, "theirs")) == 412
    assert state.status(put(3, 0, "mine")) == 200


def test_a_rejection_names_the_place_and_the_reason():
    state = State()
    state.status(put(3, 0))
    assert decide(state, put(9, 1)).outcome == CommandReply(412, "version 3 is in place", "If-Match")
    assert decide(state, put(2, 3)).outcome == CommandReply(400, "is not above 3", "configVersion")
    assert decide(state, put(3, 3, "other")).outcome == CommandReply(400, "is not above 3", "configVersion")
    assert decide(state, Evacuate("west")).outcome == CommandReply(404, "no such zone", "west")


def test_an_accepted_change_is_acknowledged_again_after_thousands_of_changes():
    """With uneven steps between versions. A change that lost, or has another content, is rejected whatever it
    builds on."""
    state, versions = State(), [0]
    for number in range(3000):
        versions.append(versions[-1] + 1 + number % 7)
        assert state.status(put(versions[-1], versions[-2])) == 200
    for base, version in pairwise(versions):
        assert state.status(put(version, base)) == 200
        assert state.status(put(version, base, "theirs")) == 412
        if version - base > 1:
            assert state.status(put(version - 1, base)) == 412
    assert state.version() == versions[-1]


def test_the_size_of_a_change_does_not_grow_with_the_number_of_changes():
    state, sizes = State(), []
    for version in range(1, 2000):
        changes = decide(state, put(version, version - 1)).changes
        sizes.append(sum(len(value) for key, value in changes.items() if key != "configuration"))
        assert state.status(put(version, version - 1)) == 200
    assert max(sizes) < 700
    assert max(sizes[-100:]) <= max(sizes[:100]) + 10  # the decimals of the version and of the count
    assert sum(map(len, state.values())) < 21 * 2000 + 1000


def test_the_outcome_of_a_change_older_than_the_record_is_unknown(monkeypatch):
    """It is neither accepted nor rejected. A change that builds on the current version was not accepted
    before."""
    monkeypatch.setattr(deduplication, "MAX_BLOCKS", 2)
    state = State()
    for number in range(1, 201):
        assert state.status(put(2 * number, 2 * number - 2)) == 200
    kept = [key for key in state if key.startswith("accepted/")]
    assert len(kept) == 2
    oldest = 2 * (192 - deduplication.BLOCK_ENTRIES) + 2
    assert state.status(put(oldest, oldest - 2)) == 200
    assert state.status(put(oldest, oldest - 2, "theirs")) == 412
    assert state.status(put(oldest - 2, oldest - 4)) == 503
    assert state.status(put(oldest - 2, 400)) == 400
    assert state.status(put(399, 398)) == 412 and state.version() == 400


def test_a_state_without_a_record_rejects_no_change_that_it_may_contain():
    state = State({"configuration": put(7, 3).raw, "version": b"7"})
    assert state.status(put(7, 3)) == 200
    assert state.status(put(3, 0)) == 503
    assert state.status(put(9, 7)) == 200
    assert state.status(put(9, 7, "theirs")) == 412


def test_zones_are_evacuated_and_evacuations_are_cancelled():
    state = State()
    assert state.status(Evacuate("south-a")) == 200
    assert state.status(Evacuate("north-a")) == 200
    assert state["evacuations"] == b'["north-a","south-a"]'
    assert decide(state, Evacuate("north-a")).changes.keys() == {EVACUATION_REVISIONS}
    assert state.status(CancelEvacuation("south-a", 1)) == 200 and state["evacuations"] == b'["north-a"]'
    assert state.status(CancelEvacuation("south-a")) == 200 and state["evacuations"] == b'["north-a"]'
    assert state.status(Evacuate("west")) == 404 and state.status(CancelEvacuation("west")) == 404
    assert state.status(put(3, 0)) == 200 and state["evacuations"] == b'["north-a"]'


def test_a_zone_command_builds_on_the_revision_known_when_it_was_sent():
    """No command undoes a newer one, not even a newer one that changed nothing; commands for other zones
    don't matter."""
    state = State()
    late = Evacuate("north-a", 0)
    assert state.status(Evacuate("south-a")) == 200
    assert state.status(CancelEvacuation("north-a", 0)) == 200  # nothing to do, and newer than the late one
    assert decide(state, late) == Decision({}, RevisionConflict(1))
    assert state.status(Evacuate("north-a", 1)) == 200
    assert decide(state, CancelEvacuation("north-a", 1)) == Decision({}, RevisionConflict(2))
    assert state.status(late) == 200 and state["evacuations"] == b'["north-a","south-a"]'
    assert decide(state, CancelEvacuation("north-a", 2)) == Decision({}, RevisionConflict(3))
    assert state.status(CancelEvacuation("north-a", 3)) == 200 and state["evacuations"] == b'["south-a"]'
    assert state.status(CancelEvacuation("south-a", 1)) == 200 and state["evacuations"] == b"[]"


def test_the_evacuation_of_a_zone_removed_from_the_settings_can_be_cancelled():
    state = State({"evacuations": b'["gone"]'})
    assert state.status(CancelEvacuation("gone")) == 200 and state["evacuations"] == b"[]"


def test_an_object_that_is_not_a_command_raises_type_error():
    with pytest.raises(TypeError):
        decide({}, object())


@given(st.lists(st.tuples(st.integers(1, 6), st.integers(0, 6), st.integers(0, 1)), max_size=30))
def test_accepted_versions_form_one_chain(commands):
    """Whatever commands are sent in whatever order: each accepted version is above the one before and builds
    on it, and an acknowledged command is acknowledged again."""
    state, chain = State(), [0]
    acknowledged = set()
    for version, base, content in commands:
        command = put(version, base, content)
        before = state.version()
        status = state.status(command)
        if state.version() != before:
            assert status == 200 and base == before < version and state["configuration"] == command.raw
            chain.append(version)
            assert (version, 1 - content) not in acknowledged
        if status == 200:
            acknowledged.add((version, content))
        assert (status == 200) == ((version, content) in acknowledged)
    assert chain == sorted(set(chain)) and chain[-1] == state.version()
    assert all(state.status(put(version, 99, content)) == 200 for version, content in acknowledged)


@pytest.mark.parametrize(
    "command", [put(3, 0), put(3, None), Evacuate("north-a"), CancelEvacuation("north-a"), None]
)
def test_commands_and_replies_survive_encoding(command):
    assert decode(encode(ForwardedRequest(command))) == ForwardedRequest(command)
    for reply in (CommandReply(412, "another", "If-Match"), RevisionConflict(3), None):
        outcome = ForwardedResponse(reply, {"version": b"3"})
        assert decode(encode(outcome)) == outcome


def test_a_patch_is_one_change_with_one_version():
    state = State()
    assert state.status(put_routes(3, 0, "a", "b")) == 200
    assert state.status(patch(5, 3, add=["c"], remove=["a"])) == 200
    held = orjson.loads(state["configuration"])
    assert state.version() == held["configVersion"] == 5
    assert [route["name"] for route in held["routeList"]] == ["b", "c"]
    assert state.status(patch(9, 3, add=["d"])) == 412
    assert state.status(patch(4, 5, add=["d"])) == 400
    assert state.version() == 5


def test_a_repeated_patch_is_acknowledged_again():
    """Also after later changes of either kind; another change with its version or its bytes is not."""
    state, first = State(), patch(5, 3, add=["c"])
    state.status(put_routes(3, 0, "a"))
    assert [state.status(first), state.status(first)] == [200, 200]
    assert state.status(patch(5, 3, add=["d"])) == 412
    assert state.status(PutConfiguration(3, 5, first.raw)) == 412
    assert state.status(put_routes(7, 5, "z")) == 200 and state.status(patch(9, 7, add=["y"])) == 200
    assert state.status(first) == 200 and decide(state, first).changes == {}
    assert [route["name"] for route in orjson.loads(state["configuration"])["routeList"]] == ["z", "y"]


def test_one_wins_when_a_put_and_a_patch_race_for_one_version():
    for winner, loser in (
        (put_routes(5, 3, "z"), patch(5, 3, add=["c"])),
        (patch(5, 3, add=["c"]), put_routes(5, 3, "z")),
    ):
        state = State()
        state.status(put_routes(3, 0, "a"))
        assert [state.status(winner), state.status(loser), state.status(winner)] == [200, 412, 200]


def test_a_patch_with_invalid_references_changes_nothing_and_reports_all():
    state = State()
    state.status(put_routes(3, 0, "a"))
    reply = decide(state, patch(5, 3, add=["c", "d"], service="none")).outcome
    assert (reply.status, reply.place) == (400, "addModify.routeList[0].service")
    assert [finding.place for finding in reply.further] == ["addModify.routeList[1].service"]
    assert state.status(patch(5, 3, add=["c"], service="none")) == 400 and state.version() == 3
    assert state.status(patch(5, 3, add=["c"])) == 200
