"""The engine in virtual time: batches, prompts in pieces, memory by parts, preemption, cold starts."""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from shedgrade.engines import (
    Crashed,
    Done,
    Engine,
    EngineSettings,
    Event,
    Late,
    Rejected,
    Started,
    Work,
)

SMALL = EngineSettings(
    slots=2,
    queue=2,
    kv_tokens=1000,
    step_s=0.01,
    crowd_s=0.001,
    prefill_per_s=10_000,
    piece=100,
    stride=4,
    connect_s=0.0,
)


def play(engine, until=1e9):
    """[(time, effect)] until nothing is due."""
    seen = [(None, effect) for effect in engine.effects]
    engine.effects = []
    while (at := engine.wake_at()) <= until:
        engine.advance(at)
        seen += [(at, effect) for effect in engine.effects]
        engine.effects = []
    return seen


def of(seen, number, kind=object):
    return [effect for _, effect in seen if isinstance(effect, kind) and effect.number == number]


def when(seen, effect):
    return next(at for at, one in seen if one == effect)


def first(seen, number):
    return next(at for at, one in seen if one == Started(number))


def test_an_answer_is_events_with_rising_ids_that_hold_several_tokens():
    engine = Engine(SMALL, 0.0)
    number = engine.submit(0.0, Work(prompt=50, out=10))
    seen = play(engine)
    assert [one for _, one in seen] == [
        Started(number),
        Event(number, 1, 4),
        Event(number, 2, 4),
        Event(number, 3, 2),
        Done(number),
    ]


def test_each_token_comes_slower_as_more_run():
    spans = []
    for others in (0, 1):
        engine = Engine(SMALL, 0.0)
        numbers = [engine.submit(0.0, Work(prompt=1, out=41)) for _ in range(1 + others)]
        seen = play(engine)
        spans.append(when(seen, Done(numbers[0])) - first(seen, numbers[0]))
    assert round(spans[0], 3) == 0.4 and round(spans[1], 3) == 0.44


def test_prompts_are_read_in_pieces_between_the_tokens_of_others():
    engine = Engine(SMALL, 0.0)
    early = engine.submit(0.0, Work(prompt=1, out=400))
    engine.advance(0.1)
    late = engine.submit(0.1, Work(prompt=450, out=4))
    seen = play(engine, 0.6)
    begun = first(seen, late)
    between = [at for at, one in seen if at and of([(at, one)], early, Event) and 0.1 < at < begun]
    # Five pieces of at most 100, each with a step of the others' tokens: 11 ms + 10 ms.
    assert 0.09 < begun - 0.1 < 0.13 and between


def test_no_more_than_the_slots_run_at_a_time_and_the_rest_waits():
    engine = Engine(SMALL, 0.0)
    one, two, three = (engine.submit(0.0, Work(prompt=1, out=4)) for _ in range(3))
    seen = play(engine)
    assert first(seen, three) > min(when(seen, Done(one)), when(seen, Done(two)))


def test_beyond_its_queue_a_request_is_rejected_and_has_not_run():
    engine = Engine(SMALL, 0.0)
    numbers = [engine.submit(0.0, Work(prompt=1, out=4)) for _ in range(5)]
    seen = play(engine)
    assert of(seen, numbers[4]) == [Rejected(numbers[4], "full")]
    assert all(of(seen, number, Done) for number in numbers[:4])


def test_a_request_larger_than_the_memory_is_rejected_as_though_it_were_full():
    engine = Engine(SMALL, 0.0)
    number = engine.submit(0.0, Work(prompt=990, out=11))
    assert engine.effects == [Rejected(number, "full")]
    assert of(play(engine), number) == [Rejected(number, "full")]


def test_a_deadline_that_passes_in_the_queue_is_told_as_not_run():
    engine = Engine(SMALL, 0.0)
    for _ in range(2):
        engine.submit(0.0, Work(prompt=1, out=400))
    number = engine.submit(0.0, Work(prompt=1, out=4, deadline=0.5))
    assert of(play(engine), number) == [Rejected(number, "deadline")]


def test_a_deadline_that_comes_while_it_runs_ends_it_as_run():
    engine = Engine(SMALL, 0.0)
    number = engine.submit(0.0, Work(prompt=1, out=400, deadline=0.5))
    seen = play(engine)
    assert of(seen, number, Started) and when(seen, Late(number)) == 0.5
    assert engine.memory.used == 0 and not engine.running


def test_a_kept_part_is_not_read_again_if_every_part_before_it_is_kept():
    parts = (("a", 200), ("b", 200))
    engine = Engine(SMALL, 0.0)
    engine.submit(0.0, Work(prompt=400, out=1, parts=parts))
    play(engine)
    read = engine.read_tokens
    assert read == 400
    engine.submit(1.0, Work(prompt=400, out=1, parts=parts))
    play(engine)
    assert engine.read_tokens - read <= 1  # the step that makes the token
    read = engine.read_tokens
    engine.submit(2.0, Work(prompt=400, out=1, parts=(("x", 200), ("b", 200))))
    play(engine)
    assert engine.read_tokens - read == 400
    assert engine.memory.used == 0 and engine.memory.cached_tokens == 600


def test_parts_are_kept_for_the_same_model_and_the_same_weights():
    engine = Engine(replace(SMALL, models=("m", "n")), 0.0)
    for now, model, version, expected in (
        (0.0, "m", 1, 200),
        (1.0, "n", 1, 200),
        (2.0, "m", 1, 1),
        (3.0, "m", 2, 200),
    ):
        engine.load_weights(model, version)
        read = engine.read_tokens
        engine.submit(now, Work(prompt=200, out=1, parts=(("a", 200),), model=model))
        play(engine)
        assert engine.read_tokens - read == expected, (model, version)


def test_the_parts_unused_longest_give_way():
    engine = Engine(SMALL, 0.0)
    for now, name in enumerate(("a", "b", "a", "c", "d")):
        engine.submit(float(now), Work(prompt=300, out=1, parts=((name, 300),)))
        play(engine)
    assert [key[2] for key in engine.memory.parts] == ["a", "c", "d"]


def test_parts_in_use_do_not_give_way():
    engine = Engine(SMALL, 0.0)
    engine.submit(0.0, Work(prompt=300, out=300, parts=(("a", 300),)))
    engine.advance(1.0)
    engine.submit(1.0, Work(prompt=600, out=1, parts=(("b", 600),)))
    engine.advance(1.2)
    assert ("m", 1, "a") in engine.memory.parts and engine.memory.used <= 1000


def test_without_memory_the_newest_of_the_least_urgent_is_preempted_and_read_anew():
    roomy = replace(SMALL, slots=3, kv_tokens=400)
    engine = Engine(roomy, 0.0)
    urgent = engine.submit(0.0, Work(prompt=100, out=100, priority=0))
    older = engine.submit(0.0, Work(prompt=100, out=100, priority=5))
    newer = engine.submit(0.0, Work(prompt=100, out=100, priority=5))
    seen = play(engine)
    ends = [when(seen, Done(number)) for number in (urgent, older, newer)]
    assert engine.preemptions >= 1 and ends[2] > ends[1] >= ends[0]
    assert engine.read_tokens > 300  # what was preempted was read again, with what it had made
    for number in (urgent, older, newer):
        assert [one.id for one in of(seen, number, Event)] == list(range(1, 26))
        assert len(of(seen, number, Started)) == 1


def test_more_urgent_requests_are_admitted_first():
    engine = Engine(SMALL, 0.0)
    for _ in range(2):
        engine.submit(0.0, Work(prompt=1, out=20, priority=0))
    later = engine.submit(0.0, Work(prompt=1, out=4, priority=7))
    sooner = engine.submit(0.0, Work(prompt=1, out=4, priority=2))
    seen = play(engine)
    assert first(seen, sooner) < first(seen, later)


def test_a_more_urgent_request_displaces_one_that_waits_and_one_that_runs():
    engine = Engine(SMALL, 0.0)
    numbers = [engine.submit(0.0, Work(prompt=1, out=100)) for _ in range(4)]
    engine.advance(0.1)
    urgent = engine.submit(0.1, Work(prompt=1, out=4, priority=0))
    seen = play(engine)
    assert of(seen, numbers[3]) == [Rejected(numbers[3], "full")]
    assert when(seen, Done(urgent)) < min(when(seen, Done(number)) for number in numbers[:3])
    assert [one.id for one in of(seen, numbers[1], Event)] == list(range(1, 26))


def test_a_stream_is_taken_up_where_another_run_left_it():
    engine = Engine(SMALL, 0.0)
    number = engine.submit(0.0, Work(prompt=50, out=20, resumed_tokens=8))
    seen = play(engine)
    assert [one.id for one in of(seen, number, Event)] == [3, 4, 5]
    assert engine.read_tokens == 58  # the prompt, and what was made before


def test_an_event_tells_the_version_of_the_weights_where_it_changes():
    engine = Engine(SMALL, 0.0)
    number = engine.submit(0.0, Work(prompt=1, out=16))
    engine.advance(0.06)
    engine.load_weights("m", 2)
    assert [one.version for one in of(play(engine), number, Event)] == [None, 2, None, None]


def test_work_stops_when_its_client_leaves():
    engine = Engine(SMALL, 0.0)
    number = engine.submit(0.0, Work(prompt=100, out=400))
    engine.advance(0.2)
    engine.cancel(0.2, number)
    engine.effects = []
    assert not play(engine) and engine.memory.used == 0 and engine.wake_at() == float("inf")


def test_a_cold_engine_is_slow_and_says_how_long():
    settings_cold = replace(SMALL, cold_s=3.0, cold_slow=4.0)
    cold, warm = Engine(settings_cold, 0.0, cold=True), Engine(settings_cold, 0.0)
    assert cold.cold_remaining_s(1.0) == 2.0 and warm.cold_remaining_s(1.0) == 0.0
    took = []
    for engine in (cold, warm):
        number = engine.submit(0.0, Work(prompt=1, out=4))
        took.append(when(play(engine), Done(number)))
    assert took[0] > 3.9 * took[1]
    warm.become_cold(5.0)
    assert warm.cold_remaining_s(6.0) == 2.0


def test_a_cold_engine_falls_over_well_above_its_rate():
    engine = Engine(replace(SMALL, cold_s=3.0, cold_rate=5.0, cold_fall=2.0), 0.0, cold=True)
    for turn in range(10):
        engine.submit(0.05 * turn, Work(span_s=0.001))
    assert Crashed() not in engine.effects
    engine.submit(0.6, Work(span_s=0.001))
    assert Crashed() in engine.effects and engine.wake_at() == float("inf")


def test_some_slow_down_close_to_full():
    took = []
    for slow in (1.0, 3.0):
        engine = Engine(replace(SMALL, full_slow=slow), 0.0)
        numbers = [engine.submit(0.0, Work(prompt=1, out=40)) for _ in range(2)]
        took.append(when(play(engine), Done(numbers[0])))
    assert took[1] > 2.5 * took[0]


def test_a_new_connection_takes_a_slot_for_a_moment():
    engine = Engine(replace(SMALL, slots=1, connect_s=0.5), 0.0)
    engine.connected(0.0)
    number = engine.submit(0.0, Work(prompt=1, out=1))
    assert first(play(engine), number) >= 0.5


def test_requests_that_are_no_generations_take_their_span():
    engine = Engine(SMALL, 0.0)
    number = engine.submit(0.0, Work(span_s=0.25))
    assert when(play(engine), Done(number)) == 0.25


def test_a_report_is_some_hundred_ms_old():
    engine = Engine(SMALL, 0.0)
    engine.advance(0.0)
    for turn in range(3):
        engine.submit(1.0, Work(prompt=10 + turn, out=400))
    engine.advance(1.2)
    assert engine.report(1.2)["active"] == 0
    told = engine.report(1.6)
    assert told["active"] == 2 and told["queued"] == 1 and told["kvTotal"] == 1000 and told["kvUsed"] > 21


ASKS = st.tuples(
    st.integers(1, 400),
    st.integers(0, 120),
    st.integers(0, 9),
    st.sampled_from("abc"),
    st.floats(0, 0.4),
    st.booleans(),
)


@settings(max_examples=150, deadline=None)
@given(st.lists(ASKS, max_size=25), st.integers(2, 4))
def test_each_request_ends_once_in_order_and_memory_is_never_over(asks, slots):
    engine = Engine(replace(SMALL, slots=slots, kv_tokens=600), 0.0)
    now, seen, left = 0.0, [], set()
    for prompt, out, priority, part, pause, leaves in asks:
        number = engine.submit(
            now,
            Work(
                prompt,
                out,
                ((part, prompt // 2), (part * 2, prompt - prompt // 2)),
                priority=priority,
                span_s=0.02,
                deadline=now + 3.0,
            ),
        )
        now += pause
        while engine.wake_at() <= now:
            engine.advance(engine.wake_at())
            assert (
                engine.memory.request_tokens + engine.memory.cached_tokens <= 600
                and len(engine.running) <= slots
            )
        if leaves and number in engine.jobs:
            left.add(number)
            engine.cancel(now, number)
        seen += engine.effects
        engine.effects = []
    seen += [effect for _, effect in play(engine)]
    for number in range(1, len(asks) + 1):
        told = [one for one in seen if one.number == number]
        ends = [one for one in told if isinstance(one, (Done, Rejected, Late))]
        assert len(ends) == (number not in left)
        ids = [one.id for one in told if isinstance(one, Event)]
        assert ids == list(range(1, len(ids) + 1))
        if any(isinstance(one, Rejected) for one in ends):
            assert len(told) == 1
    memory = engine.memory
    assert memory.used == 0 and not engine.jobs and not memory.user_counts
    assert memory.cached_tokens == sum(memory.parts.values())
