"""What an earlier program sent or stored is read, field by field, and written in the same bytes.

`tests/data/structs.json` has an encoded value of each struct as that program wrote it. Its names stay as they
were then; `MODULES` and `CLASSES` of `struct_examples.py` and `FIELDS` here say what they are called now. So
a class or field may be renamed, and a changed tag, key or order of fields is found.
"""

import json
from pathlib import Path

import pytest
import struct_examples

EXAMPLES = json.loads((Path(__file__).parent.parent / "data" / "structs.json").read_text())

# Name then: name of the field then: name now.
FIELDS: dict[str, dict[str, str]] = {
    "core.learnt:Export": {
        "v": "version",
        "ups": "upstreams",
        "shapes": "machine_types",
        "used": "last_used",
    },
    "quota.state:Counted": {"parts": "slots"},
    "quota.state:Saved": {"v": "version", "counted": "use"},
}


@pytest.mark.parametrize("name", EXAMPLES)
def test_a_struct_of_an_earlier_program_is_read_field_by_field(name):
    expected = EXAMPLES[name]["fields"]
    value = struct_examples.decode(EXAMPLES[name]["encoded"], struct_examples.current_class(name))
    renamed = FIELDS.get(name, {})
    found = {then: struct_examples.plain(getattr(value, renamed.get(then, then))) for then in expected}
    assert found == expected


@pytest.mark.parametrize("name", EXAMPLES)
def test_a_struct_is_written_in_the_bytes_of_an_earlier_program(name):
    """Which an earlier program, still running beside this one or started again, reads."""
    encoded = EXAMPLES[name]["encoded"]
    assert (
        struct_examples.encode(struct_examples.decode(encoded, struct_examples.current_class(name)))
        == encoded
    )


def test_each_struct_that_is_sent_or_stored_has_an_example():
    assert list(struct_examples.missing(EXAMPLES)) == []


def test_names_of_then_that_are_mapped_have_an_example():
    assert set(struct_examples.CLASSES) <= set(EXAMPLES)
    for name, fields in FIELDS.items():
        assert set(fields) <= set(EXAMPLES[name]["fields"])
