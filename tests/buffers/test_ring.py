"""Compares the ring buffer with a bytes object as its model."""

import pytest
from hypothesis import given, seed
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from shedgrade.buffers.ring import Ring, RingFullError

STEP = st.one_of(
    st.tuples(st.just("put"), st.binary(max_size=90)),
    st.tuples(st.just("read"), st.integers(1, 40)),
    st.tuples(st.just("consume"), st.integers(0, 90)),
)


@seed(1)
@hypothesis_settings(max_examples=300, derandomize=True, deadline=None, database=None)
@given(st.lists(STEP, max_size=40))
def test_a_ring_is_a_queue_of_bytes_and_views_stay_valid(steps):
    ring, model, next_byte, views = Ring(16, 128), b"", 0, []
    for operation, value in steps:
        if operation == "consume":
            value = min(value, len(model))
            ring.consume(value)
            model, views = model[value:], []  # views of consumed bytes may be overwritten
        elif operation == "put":
            if len(model) + len(value) > 128:
                with pytest.raises(RingFullError):
                    ring.put(value)
                continue
            ring.put(value)
            model += value
        elif not ring.full():
            space = ring.space()
            assert len(space) > 0
            count = min(value, len(space))
            data = bytes((next_byte + n) % 256 for n in range(count))
            next_byte += count
            space[:count] = data
            ring.filled(count)
            model += data
        ring.check_invariants()
        assert len(ring) == len(model) and b"".join(ring.parts()) == model
        assert b"".join(ring.parts(len(model) // 2)) == model[len(model) // 2 :]
        views.append((ring.parts(), model))
        assert all(b"".join(parts) == content for parts, content in views)
    ring.consume(len(model))
    assert len(ring.storage) == 16
