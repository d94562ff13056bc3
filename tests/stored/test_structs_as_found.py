"""Structs that an earlier program sent or stored are read field by field, and written in the same bytes.

`tests/data/structs.json` has an encoded value of each struct, as that program wrote it and under its names.
`MODULES` and `CLASSES` of `struct_examples.py` and `FIELDS` here map these to the current names. So a class
or field may be renamed, but a changed tag, key or order of fields fails a test.
"""

import json
from pathlib import Path

import msgspec
import pytest
import struct_examples

EXAMPLES = json.loads((Path(__file__).parent.parent / "data" / "structs.json").read_text())

# Earlier class name: earlier field name: current field name.
EDGE_STATUS_FIELDS = {"front": "listen_address", "life": "incarnation"}
FIELDS: dict[str, dict[str, str]] = {
    "controlplane.channels:Relayed": {"order": "command", "held": "held_version"},
    "controlplane.duties:Acknowledgement": {"duty": "role", "known": "highest_term"},
    "controlplane.duties:Ballot": {"duty": "role"},
    "controlplane.duties:Heartbeat": {"duty": "role"},
    "controlplane.duties:Vacated": {"duty": "role"},
    "controlplane.duties:Vote": {"duty": "role", "known": "highest_term"},
    "knowledge:Ask": {
        "control": "control_version",
        "upstreams": "endpoints_version",
        "wait": "wait_s",
        "version": "configuration_version",
        "age_s": "endpoints_age_s",
        "reads": "observed_prefixes",
        "record": "prefix_index_version",
    },
    "knowledge:ControlChange": {"version": "configuration_version"},
    "knowledge:EdgeHeard": {"wait": "wait_s"},
    "knowledge:EdgeSeen": EDGE_STATUS_FIELDS | {"ending_since": "shutdown_stage_since"},
    "knowledge:EdgeState": EDGE_STATUS_FIELDS,
    "knowledge:Instance": {
        "cold_left_ms": "warmup_remaining_ms",
        "time_left_ms": "time_until_removal_ms",
    },
    "knowledge:Told": {
        "upstreams": "endpoints",
        "edges": "edge_count",
        "fresh_s": "primary_age_s",
        "age_s": "endpoints_age_s",
        "record": "prefix_index",
        "cover": "drain_target",
    },
    "core.learnt:Export": {
        "v": "version",
        "ups": "upstreams",
        "shapes": "machine_types",
        "used": "last_used",
    },
    "quota.state:Counted": {"parts": "slots"},
    "quota.state:Saved": {"v": "version", "counted": "use"},
    "replication.messages:EpochRecord": {"before": "previous_members"},
    "replication.messages:Hello": {"record": "known_epoch", "finished": "committed"},
    "replication.messages:Whereabouts": {"record": "epoch_config"},
    "replication.messages:PreVote": {"record": "known_epoch", "accepted": "accepted_epoch"},
    "replication.messages:PreVoteReply": {"promised": "promised_epoch", "record": "epoch_config"},
    "replication.messages:Prepare": {"record": "epoch_config"},
    "replication.messages:Promise": {
        "record": "epoch_config",
        "accepted": "accepted_epoch",
        "mark": "log_position",
        "finished": "committed",
        "leaving": "is_leaving",
    },
    "replication.messages:Refusal": {"promised": "promised_epoch", "record": "epoch_config"},
    "replication.messages:Fetch": {"mark": "log_position", "finished": "committed"},
    "replication.messages:Transfer": {"mark": "log_position"},
    "replication.messages:Install": {"record": "epoch_config", "mark": "log_position"},
    "replication.messages:Replicate": {"finished": "committed"},
    "replication.messages:Learn": {"mark": "log_position"},
    "replication.messages:Heartbeat": {
        "round": "read_index_round",
        "finished": "committed",
        "record": "epoch_config",
    },
    "replication.messages:Ack": {
        "round": "read_index_round",
        "received": "received_sequence",
        "durable": "durable_sequence",
        "finished": "committed",
        "record": "known_epoch",
        "promised": "promised_epoch",
        "healthy": "is_healthy",
        "leaving": "is_leaving",
        "synced": "durable_position",
    },
    "loads.messages:LoadReport": {"near": "home_region", "whole": "is_full"},
    "loads.messages:LoadsShared": {"whole": "is_full"},
    "loads.messages:LoadsTold": {"whole": "is_full"},
    "record.ledger:RecordMoved": {"gone": "removed"},
    "membership.messages:Descriptor": {"age": "age_ms"},
    "membership.messages:Digest": {"mark": "name_hash", "age": "age_ms"},
    "membership.messages:Finding": {"found": "descriptor"},
    "membership.messages:Node": {"life": "boot_id", "link": "link_address", "front": "front_address"},
    "membership.messages:Query": {"marks": "name_hashes"},
    "membership.messages:Rumour": {"fate": "status"},
}

# Fields that were added later, with the value that each has if it is absent.
ADDED: dict[str, dict[str, object]] = {"replication.messages:Heartbeat": {"acknowledged_round": -1}}


@pytest.mark.parametrize("name", EXAMPLES)
def test_a_struct_of_an_earlier_program_is_read_field_by_field(name):
    expected = EXAMPLES[name]["fields"]
    value = struct_examples.decode(EXAMPLES[name]["encoded"], struct_examples.current_class(name))
    renamed = FIELDS.get(name, {})
    found = {
        earlier_name: struct_examples.to_json_types(getattr(value, renamed.get(earlier_name, earlier_name)))
        for earlier_name in expected
    }
    assert found == expected


@pytest.mark.parametrize("name", sorted(EXAMPLES.keys() - ADDED.keys()))
def test_a_struct_is_written_in_the_bytes_of_an_earlier_program(name):
    """An earlier program reads them, which still runs beside this one or was started again."""
    encoded = EXAMPLES[name]["encoded"]
    assert (
        struct_examples.encode(struct_examples.decode(encoded, struct_examples.current_class(name)))
        == encoded
    )


@pytest.mark.parametrize("name", ADDED)
def test_an_added_field_follows_all_fields_that_an_earlier_program_reads(name):
    """The field is a further array element; an earlier program reads the elements it knows, by position."""
    encoded = bytes.fromhex(EXAMPLES[name]["encoded"])
    value = msgspec.msgpack.decode(encoded, type=struct_examples.current_class(name))
    assert {field: getattr(value, field) for field in ADDED[name]} == ADDED[name]
    written = msgspec.msgpack.encode(value)
    earlier_array = msgspec.msgpack.decode(encoded)
    assert msgspec.msgpack.decode(written) == [*earlier_array, *ADDED[name].values()]
    fields = [field.name for field in msgspec.structs.fields(type(value))][: len(earlier_array) - 1]
    earlier_class = msgspec.defstruct("Earlier", fields, array_like=True, tag=earlier_array[0])
    decoded_by_earlier = msgspec.msgpack.decode(written, type=earlier_class)
    assert msgspec.msgpack.encode(decoded_by_earlier) == encoded


def test_each_struct_that_is_sent_or_stored_has_an_example():
    assert list(struct_examples.missing_examples(EXAMPLES)) == []


def test_mapped_earlier_names_have_an_example():
    assert set(struct_examples.CLASSES) <= set(EXAMPLES)
    for name, fields in FIELDS.items():
        assert set(fields) <= set(EXAMPLES[name]["fields"])
