"""Disks of three core members of an earlier program: two PUTs, a PATCH, an evacuation and a cancelled one.

`tests/data/core` holds the folders as a SIGKILL left them; core-1 and core-2 hold the state, core-3 is a
witness.
"""

import json
from pathlib import Path
from random import Random

import pytest

from shedgrade.controlplane import deduplication
from shedgrade.controlplane.commands import make_decision_function, zone_revisions
from shedgrade.controlplane.configuration_validation import read_configuration
from shedgrade.replication import (
    Answer,
    Committed,
    Member,
    Persist,
    ReadResult,
    Send,
)
from shedgrade.storage import Store, StoreState

DATA = Path(__file__).parent.parent / "data" / "core"
NAMES = ("core-1", "core-2", "core-3")
ADDRESSES = {name: f"127.44.1.{number}:7300" for number, name in enumerate(NAMES, 1)}
SEEDS = tuple(ADDRESSES.values())
KEYS = {
    "replication/epoch",
    "replication/founding",
    "replication/incarnation",
    "replication/place",
    "replication/promise",
    "state/accepted",
    "state/accepted/0",
    "state/configuration",
    "state/evacuation-revisions",
    "state/evacuations",
    "state/version",
}


@pytest.fixture(name="folders")
def fixture_folders(tmp_path):
    """Copies the folders; returns the copies by the names of the members."""
    for name in NAMES:
        (tmp_path / name).mkdir()
        for path in (DATA / name).iterdir():
            (tmp_path / name / path.name).write_bytes(path.read_bytes())
    return {name: tmp_path / name for name in NAMES}


def load(folder):
    store = Store(folder)
    found = store.load()
    store.close()
    assert found.state is StoreState.SOUND
    return found.values


class Group:
    """The three members, on a network and disks without delay."""

    def __init__(self, found, skipped=()):
        decide = make_decision_function(("hall-1", "hall-2", "hall-3"))
        self.now, self.disks = 0.0, found
        self.answers, self.committed = {}, {}
        self.members = {
            ADDRESSES[name]: Member(
                name,
                ADDRESSES[name],
                founding=False,
                seeds=SEEDS,
                tolerated=1,
                stored_values=dict(values),
                random=Random(name),
                now=0.0,
                decide=decide,
            )
            for name, values in found.items()
            if name not in skipped
        }
        self.messages = []

    def drain(self, address):
        member = self.members[address]
        while member.effects:
            effect = member.effects.pop(0)
            match effect:
                case Send():
                    self.messages.append((address, effect.to, effect.message))
                case Persist():
                    member.persisted(self.now, effect.token, True)
                case Answer():
                    self.answers[effect.ticket] = effect.outcome
                case Committed():
                    self.committed[address] = effect

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += 0.01
            for address, member in self.members.items():
                member.tick(self.now)
                self.drain(address)
            while self.messages:
                sender, to, message = self.messages.pop(0)
                if to in self.members:
                    self.members[to].receive(self.now, sender, message)
                    self.drain(to)

    @property
    def primary(self):
        return next(member for member in self.members.values() if member.role == "primary")


def test_every_stored_key_is_read(folders):
    assert set(load(folders["core-1"])) == set(load(folders["core-2"])) == KEYS
    assert set(load(folders["core-3"])) == {
        "replication/epoch",
        "replication/founding",
        "replication/incarnation",
        "replication/promise",
    }


@pytest.mark.parametrize("name", NAMES)
def test_a_member_restores_its_identity_and_epoch(folders, name):
    values = load(folders[name])
    member = Member(
        name,
        ADDRESSES[name],
        founding=False,
        seeds=SEEDS,
        tolerated=1,
        stored_values=values,
        random=Random(1),
        now=0.0,
        decide=make_decision_function(()),
    )
    assert member.epoch == 1
    assert {peer.name: peer.address for peer in member.members} == ADDRESSES
    assert member.role == ("witness" if name == "core-3" else "backup")
    assert [effect for effect in member.effects if type(effect) is Persist] == []  # its disk has all of it


def check_state(state):
    assert state["version"] == b"4"
    configuration = read_configuration(state["configuration"]).ok
    assert configuration.version == 4
    assert [(route.name, route.timeout_ms) for route in configuration.routes] == [("chat", 5000)]
    assert [service.name for service in configuration.services] == ["rota-lm", "rota-small"]
    assert json.loads(state["evacuations"]) == ["hall-2"]
    assert zone_revisions(state) == {"hall-2": 1, "hall-3": 2}
    assert deduplication.entry_count(state) == 4
    for version in (1, 2, 3, 4):
        assert (
            deduplication.acceptance_status(state, version, b"something else")
            is deduplication.AcceptanceStatus.NEVER_ACCEPTED
        )


@pytest.mark.parametrize("lost", [(), ("core-1",), ("core-2",), ("core-3",)])
def test_the_members_elect_a_primary_that_has_all_that_was_acknowledged(folders, lost):
    group = Group({name: load(folder) for name, folder in folders.items()}, lost)
    group.run(8.0)
    primary = group.primary
    check_state(primary.committed.state)
    primary.read(group.now, 1)
    group.drain(primary.address)
    group.run(1.0)
    assert isinstance(group.answers[1], ReadResult)
    check_state(group.answers[1].state)


def test_the_storage_check_reads_the_folders(folders):
    from shedgrade.storage.check import report

    assert report(folders["core-1"])[-1].startswith(
        "sound: number 11, from slot-a: replication/epoch 231 bytes"
    )
