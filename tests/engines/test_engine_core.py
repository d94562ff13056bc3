"""The engine in virtual time: batches, chunked prompts, cached parts, preemption, cold starts."""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from shedgrade.engines import (
    Crashed,
    DeadlineExceeded,
    Done,
    Engine,
    EngineSettings,
    Event,
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


def run_engine(engine, until=1e9):
    """Advances the engine to each due time up to `until`. Returns its effects as [(time, effect)]; the time
    is None for those that were pending before.
    """
    timeline = [(None, effect) for effect in engine.effects]
    engine.effects = []
    while (at := engine.wake_at()) <= until:
        engine.advance(at)
        timeline += [(at, effect) for effect in engine.effects]
        engine.effects = []
    return timeline


def effects_of(timeline, number, kind=object):
    return [effect for _, effect in timeline if isinstance(effect, kind) and effect.number == number]


def time_of(timeline, effect):
    return next(at for at, item in timeline if item == effect)


def start_time(timeline, number):
    return next(at for at, item in timeline if item == Started(number))


def test_a_generation_is_sent_as_events_of_several_tokens_with_ascending_ids():
    engine = Engine(SMALL, 0.0)
    number = engine.submit(0.0, Work(prompt=50, out=10))
    timeline = run_engine(engine)
    assert [effect for _, effect in timeline] == [
        Started(number),
        Event(number, 1, 4),
        Event(number, 2, 4),
        Event(number, 3, 2),
        Done(number),
    ]


def test_tokens_take_longer_in_a_larger_batch():
    durations = []
    for others in (0, 1):
        engine = Engine(SMALL, 0.0)
        numbers = [engine.submit(0.0, Work(prompt=1, out=41)) for _ in range(1 + others)]
        timeline = run_engine(engine)
        durations.append(time_of(timeline, Done(numbers[0])) - start_time(timeline, numbers[0]))
    assert round(durations[0], 3) == 0.4 and round(durations[1], 3) == 0.44


def test_prompts_are_read_in_chunks_while_other_requests_generate():
    engine = Engine(SMALL, 0.0)
    earlier = engine.submit(0.0, Work(prompt=1, out=400))
    engine.advance(0.1)
    later = engine.submit(0.1, Work(prompt=450, out=4))
    timeline = run_engine(engine, 0.6)
    started_at = start_time(timeline, later)
    event_times = [
        at
        for at, effect in timeline
        if at and effects_of([(at, effect)], earlier, Event) and 0.1 < at < started_at
    ]
    # The prompt is read in five chunks of at most 100 tokens; a step takes 11 ms, and 10 ms for the chunk.
    assert 0.09 < started_at - 0.1 < 0.13 and event_times


def test_requests_beyond_the_slots_wait():
    engine = Engine(SMALL, 0.0)
    first, second, third = (engine.submit(0.0, Work(prompt=1, out=4)) for _ in range(3))
    timeline = run_engine(engine)
    assert start_time(timeline, third) > min(time_of(timeline, Done(first)), time_of(timeline, Done(second)))


def test_a_request_beyond_the_queue_is_rejected_without_running():
    engine = Engine(SMALL, 0.0)
    numbers = [engine.submit(0.0, Work(prompt=1, out=4)) for _ in range(5)]
    timeline = run_engine(engine)
    assert effects_of(timeline, numbers[4]) == [Rejected(numbers[4], "full")]
    assert all(effects_of(timeline, number, Done) for number in numbers[:4])


def test_a_request_larger_than_the_memory_is_rejected_as_full():
    engine = Engine(SMALL, 0.0)
    number = engine.submit(0.0, Work(prompt=990, out=11))
    assert engine.effects == [Rejected(number, "full")]
    assert effects_of(run_engine(engine), number) == [Rejected(number, "full")]


def test_a_request_whose_deadline_passes_in_the_queue_is_rejected_without_running():
    engine = Engine(SMALL, 0.0)
    for _ in range(2):
        engine.submit(0.0, Work(prompt=1, out=400))
    number = engine.submit(0.0, Work(prompt=1, out=4, deadline=0.5))
    assert effects_of(run_engine(engine), number) == [Rejected(number, "deadline")]


def test_a_running_request_ends_as_late_at_its_deadline():
    engine = Engine(SMALL, 0.0)
    number = engine.submit(0.0, Work(prompt=1, out=400, deadline=0.5))
    timeline = run_engine(engine)
    assert effects_of(timeline, number, Started) and time_of(timeline, DeadlineExceeded(number)) == 0.5
    assert engine.memory.used == 0 and not engine.running


def test_a_cached_part_is_not_read_again_if_all_parts_before_it_are_cached():
    parts = (("a", 200), ("b", 200))
    engine = Engine(SMALL, 0.0)
    engine.submit(0.0, Work(prompt=400, out=1, parts=parts))
    run_engine(engine)
    read_before = engine.read_tokens
    assert read_before == 400
    engine.submit(1.0, Work(prompt=400, out=1, parts=parts))
    run_engine(engine)
    assert engine.read_tokens - read_before <= 1  # the step that generates the token
    read_before = engine.read_tokens
    engine.submit(2.0, Work(prompt=400, out=1, parts=(("x", 200), ("b", 200))))
    run_engine(engine)
    assert engine.read_tokens - read_before == 400
    assert engine.memory.used == 0 and engine.memory.cached_tokens == 600


def test_cached_parts_are_reused_only_for_the_same_model_and_weights():
    engine = Engine(replace(SMALL, models=("m", "n")), 0.0)
    for now, model, version, expected in (
        (0.0, "m", 1, 200),
        (1.0, "n", 1, 200),
        (2.0, "m", 1, 1),
        (3.0, "m", 2, 200),
    ):
        engine.load_weights(model, version)
        read_before = engine.read_tokens
        engine.submit(now, Work(prompt=200, out=1, parts=(("a", 200),), model=model))
        run_engine(engine)
        assert engine.read_tokens - read_before == expected, (model, version)


def test_the_least_recently_used_parts_are_evicted():
    engine = Engine(SMALL, 0.0)
    for now, name in enumerate(("a", "b", "a", "c", "d")):
        engine.submit(float(now), Work(prompt=300, out=1, parts=((name, 300),)))
        run_engine(engine)
    assert [key[2] for key in engine.memory.parts] == ["a", "c", "d"]


def test_parts_in_use_are_not_evicted():
    engine = Engine(SMALL, 0.0)
    engine.submit(0.0, Work(prompt=300, out=300, parts=(("a", 300),)))
    engine.advance(1.0)
    engine.submit(1.0, Work(prompt=600, out=1, parts=(("b", 600),)))
    engine.advance(1.2)
    assert ("m", 1, "a") in engine.memory.parts and engine.memory.used <= 1000


def test_out_of_memory_the_newest_least_urgent_request_is_preempted_and_read_again():
    small_memory = replace(SMALL, slots=3, kv_tokens=400)
    engine = Engine(small_memory, 0.0)
    urgent = engine.submit(0.0, Work(prompt=100, out=100, priority=0))
    older = engine.submit(0.0, Work(prompt=100, out=100, priority=5))
    newer = engine.submit(0.0, Work(prompt=100, out=100, priority=5))
    timeline = run_engine(engine)
    ends = [time_of(timeline, Done(number)) for number in (urgent, older, newer)]
    assert engine.preemptions >= 1 and ends[2] > ends[1] >= ends[0]
    assert engine.read_tokens > 300  # the preempted request was read again, with the tokens it had generated
    for number in (urgent, older, newer):
        assert [effect.id for effect in effects_of(timeline, number, Event)] == list(range(1, 26))
        assert len(effects_of(timeline, number, Started)) == 1


def test_more_urgent_requests_are_admitted_first():
    engine = Engine(SMALL, 0.0)
    for _ in range(2):
        engine.submit(0.0, Work(prompt=1, out=20, priority=0))
    less_urgent = engine.submit(0.0, Work(prompt=1, out=4, priority=7))
    more_urgent = engine.submit(0.0, Work(prompt=1, out=4, priority=2))
    timeline = run_engine(engine)
    assert start_time(timeline, more_urgent) < start_time(timeline, less_urgent)


def test_a_more_urgent_request_rejects_a_waiting_one_and_preempts_a_running_one():
    engine = Engine(SMALL, 0.0)
    numbers = [engine.submit(0.0, Work(prompt=1, out=100)) for _ in range(4)]
    engine.advance(0.1)
    urgent = engine.submit(0.1, Work(prompt=1, out=4, priority=0))
    timeline = run_engine(engine)
    assert effects_of(timeline, numbers[3]) == [Rejected(numbers[3], "full")]
    assert time_of(timeline, Done(urgent)) < min(time_of(timeline, Done(number)) for number in numbers[:3])
    assert [effect.id for effect in effects_of(timeline, numbers[1], Event)] == list(range(1, 26))


def test_a_stream_is_resumed_where_an_earlier_run_ended():
    engine = Engine(SMALL, 0.0)
    number = engine.submit(0.0, Work(prompt=50, out=20, resumed_tokens=8))
    timeline = run_engine(engine)
    assert [effect.id for effect in effects_of(timeline, number, Event)] == [3, 4, 5]
    assert engine.read_tokens == 58  # the prompt, and the tokens generated by the earlier run


def test_an_event_carries_the_version_of_the_weights_when_it_changes():
    engine = Engine(SMALL, 0.0)
    number = engine.submit(0.0, Work(prompt=1, out=16))
    engine.advance(0.06)
    engine.load_weights("m", 2)
    assert [effect.version for effect in effects_of(run_engine(engine), number, Event)] == [
        None,
        2,
        None,
        None,
    ]


def test_work_stops_when_its_client_disconnects():
    engine = Engine(SMALL, 0.0)
    number = engine.submit(0.0, Work(prompt=100, out=400))
    engine.advance(0.2)
    engine.cancel(0.2, number)
    engine.effects = []
    assert not run_engine(engine) and engine.memory.used == 0 and engine.wake_at() == float("inf")


def test_a_cold_engine_is_slow_and_reports_the_remaining_time():
    cold_settings = replace(SMALL, cold_s=3.0, cold_slow=4.0)
    cold, warm = Engine(cold_settings, 0.0, cold=True), Engine(cold_settings, 0.0)
    assert cold.cold_remaining_s(1.0) == 2.0 and warm.cold_remaining_s(1.0) == 0.0
    durations = []
    for engine in (cold, warm):
        number = engine.submit(0.0, Work(prompt=1, out=4))
        durations.append(time_of(run_engine(engine), Done(number)))
    assert durations[0] > 3.9 * durations[1]
    warm.become_cold(5.0)
    assert warm.cold_remaining_s(6.0) == 2.0


def test_a_cold_engine_crashes_well_above_its_rate():
    engine = Engine(replace(SMALL, cold_s=3.0, cold_rate=5.0, cold_fall=2.0), 0.0, cold=True)
    for index in range(10):
        engine.submit(0.05 * index, Work(span_s=0.001))
    assert Crashed() not in engine.effects
    engine.submit(0.6, Work(span_s=0.001))
    assert Crashed() in engine.effects and engine.wake_at() == float("inf")


def test_an_engine_with_full_slow_slows_down_when_nearly_full():
    durations = []
    for slowdown in (1.0, 3.0):
        engine = Engine(replace(SMALL, full_slow=slowdown), 0.0)
        numbers = [engine.submit(0.0, Work(prompt=1, out=40)) for _ in range(2)]
        durations.append(time_of(run_engine(engine), Done(numbers[0])))
    assert durations[1] > 2.5 * durations[0]


def test_a_new_connection_occupies_a_slot_briefly():
    engine = Engine(replace(SMALL, slots=1, connect_s=0.5), 0.0)
    engine.connected(0.0)
    number = engine.submit(0.0, Work(prompt=1, out=1))
    assert start_time(run_engine(engine), number) >= 0.5


def test_a_request_without_generation_takes_its_span():
    engine = Engine(SMALL, 0.0)
    number = engine.submit(0.0, Work(span_s=0.25))
    assert time_of(run_engine(engine), Done(number)) == 0.25


def test_a_report_is_some_hundred_ms_old():
    engine = Engine(SMALL, 0.0)
    engine.advance(0.0)
    for index in range(3):
        engine.submit(1.0, Work(prompt=10 + index, out=400))
    engine.advance(1.2)
    assert engine.report(1.2)["active"] == 0
    report = engine.report(1.6)
    assert (
        report["active"] == 2
        and report["queued"] == 1
        and report["kvTotal"] == 1000
        and report["kvUsed"] > 21
    )


REQUESTS = st.tuples(
    st.integers(1, 400),
    st.integers(0, 120),
    st.integers(0, 9),
    st.sampled_from("abc"),
    st.floats(0, 0.4),
    st.booleans(),
)


@settings(max_examples=150, deadline=None)
@given(st.lists(REQUESTS, max_size=25), st.integers(2, 4))
def test_each_request_ends_once_in_order_and_the_memory_limit_holds(requests, slots):
    engine = Engine(replace(SMALL, slots=slots, kv_tokens=600), 0.0)
    now, effects, cancelled = 0.0, [], set()
    for prompt, out, priority, part, pause, is_cancelled in requests:
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
        if is_cancelled and number in engine.jobs:
            cancelled.add(number)
            engine.cancel(now, number)
        effects += engine.effects
        engine.effects = []
    effects += [effect for _, effect in run_engine(engine)]
    for number in range(1, len(requests) + 1):
        own_effects = [effect for effect in effects if effect.number == number]
        ends = [effect for effect in own_effects if isinstance(effect, (Done, Rejected, DeadlineExceeded))]
        assert len(ends) == (number not in cancelled)
        ids = [effect.id for effect in own_effects if isinstance(effect, Event)]
        assert ids == list(range(1, len(ids) + 1))
        if any(isinstance(effect, Rejected) for effect in ends):
            assert len(own_effects) == 1
    memory = engine.memory
    assert memory.used == 0 and not engine.jobs and not memory.user_counts
    assert memory.cached_tokens == sum(memory.parts.values())
