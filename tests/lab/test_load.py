"""Arrivals, traces and the callers' retry rule, without I/O."""

from random import Random

import msgspec
import pytest

from shedgrade.lab import callers, trace
from shedgrade.lab.arrivals import arrival_times, delayed_by_stall, rate, schedule
from shedgrade.lab.scenario import (
    Callers,
    Load,
    Method,
    ScenarioError,
    Shape,
    convert,
)
from shedgrade.lab.statistics import growth, interval, knee

SMALL = {
    "name": "t",
    "length_s": 10.0,
    "fleet": {"zones": ["a", "b"], "groups": [{"zone": "a", "count": 2}]},
    "sidecars": {"count": 2},
    "methods": [{"name": "m"}, {"name": "r", "repeats": "retriable"}],
    "load": {
        "shapes": [{"kind": "steady", "rate": 50.0}],
        "origins": [3.0, 1.0],
        "classes": [{"method": "m", "work_ms": 5.0, "dist": "lognormal"}, {"method": "r"}],
    },
}


def scenario(**changes):
    return convert({**SMALL, **changes}, "t")


def test_shapes_add_up():
    load = Load(
        scale=2.0,
        shapes=[
            Shape(kind="steady", rate=10),
            Shape(kind="ramp", rate=0, to=20, from_s=2, until_s=4),
            Shape(kind="step", rate=5, from_s=6, until_s=7),
            Shape(kind="burst", rate=8, from_s=8, until_s=10),
            Shape(kind="wave", rate=4, swing=0.5, period_s=4),
        ],
    )
    assert rate(load, 1.0) == pytest.approx(2 * (10 + 0 + 4 * 1.5))
    assert rate(load, 3.0) == pytest.approx(2 * (10 + 10 + 4 * 0.5))
    assert rate(load, 6.0) == pytest.approx(2 * (10 + 20 + 5 + 4))
    assert rate(load, 9.0) == pytest.approx(2 * (10 + 20 + 8 + 4 * 1.5))


def test_constant_arrivals_are_even_and_poisson_arrivals_match_the_rate():
    load = Load(arrivals="constant", shapes=[Shape(kind="steady", rate=100)])
    times = list(arrival_times(load, 10.0, Random(1)))
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert len(times) == 1000 and max(gaps) - min(gaps) < 1e-6
    ramp = Load(arrivals="constant", shapes=[Shape(kind="ramp", rate=0, to=100, from_s=0, until_s=10)])
    assert abs(len(list(arrival_times(ramp, 10.0, Random(1)))) - 500) <= 1
    ramp.arrivals = "poisson"
    times = list(arrival_times(ramp, 10.0, Random(3)))
    # Four standard deviations around 500, and around a quarter of the arrivals in the first half.
    assert abs(len(times) - 500) < 90 and 0.15 < sum(at < 5 for at in times) / len(times) < 0.35


def test_a_schedule_is_the_same_for_the_same_seed_and_keeps_the_shares():
    one, again = schedule(scenario()), schedule(scenario())
    assert one == again and one != schedule(scenario(seed=2))
    assert 0.65 < sum(arrival.origin == 0 for arrival in one) / len(one) < 0.85
    works = [arrival.work for arrival in one if arrival.method == "m"]
    assert 4.2 < sum(works) / len(works) < 5.8


def test_the_rpcs_delayed_by_a_stall_follow_from_the_schedule():
    times = [number / 100 for number in range(1000)]
    assert [delayed_by_stall(times, 3.0, 2.0, over) for over in (0, 0.5, 1.0, 1.5)] == [200, 150, 100, 50]


def test_a_trace_is_read_back_as_it_was_written(tmp_path):
    rows = [
        trace.Row(at_ms=0.0, id="a", method="m", work_ms=3.5, origin=1),
        trace.Row(at_ms=40.5, id="b", method="r", wait_ms=200.0),
        trace.Row(at_ms=90.0, id="c", retry_of="a", method="m", status=200, latency_ms=95.25),
    ]
    for name in ("t.jsonl", "t.csv"):
        trace.write(tmp_path / name, rows)
        assert trace.read(tmp_path / name) == rows


def test_retries_in_a_trace_count_with_their_first_try(tmp_path):
    rows = [
        trace.Row(at_ms=100, id="a", method="m"),
        trace.Row(at_ms=200, id="b", method="m"),
        trace.Row(at_ms=150, id="a2", retry_of="a"),
        trace.Row(at_ms=260, id="a3", retry_of="a2"),
        trace.Row(at_ms=300, id="z", retry_of="before the recording", method="r"),
    ]
    trace.write(tmp_path / "t.csv", rows)
    load = {**SMALL["load"], "trace": {"file": str(tmp_path / "t.csv"), "retries": "recorded"}}
    found = schedule(scenario(load=load))
    assert [(round(one.at, 3), one.recorded) for one in found] == [
        (0.0, pytest.approx([0.05, 0.16])),
        (0.1, []),
        (0.2, []),
    ]
    load["trace"] = {"file": str(tmp_path / "t.csv"), "speed": 2.0}
    assert [(one.at, one.recorded) for one in schedule(scenario(load=load))] == [
        (0.0, None),
        (0.05, None),
        (0.1, None),
    ]


@pytest.mark.parametrize(
    "text, expected",
    [
        ("at_ms,id\n1,a\nx,b\n", "line 3"),
        ("at_ms,id\n1,a\n2,a\n", "twice"),
        ("", "no rows"),
        ("at_ms,id,method\n1,a,none\n", "'none'"),
        ("at_ms\n1\n", "line 2"),
    ],
)
def test_an_invalid_trace_is_reported_with_file_and_line(tmp_path, text, expected):
    (tmp_path / "bad.csv").write_text(text)
    with pytest.raises(ScenarioError) as error:
        schedule(scenario(load={**SMALL["load"], "trace": {"file": str(tmp_path / "bad.csv")}}))
    assert "bad.csv" in str(error.value) and expected in str(error.value) and "\n" not in str(error.value)


def test_a_runs_records_export_as_a_trace_that_links_its_retries():
    tries = [
        {
            "rpc": 7,
            "n": n,
            "id": f"n0.0.7.{n}",
            "at": 1.0 + n,
            "method": "m",
            "origin": 0,
            "work": 2.0,
            "wait": 0.5,
            "body": 16,
            "status": status,
            "end": 1.4 + n,
            "due": 0.9,
        }
        for n, status in ((0, 503), (1, 200))
    ]
    rows = trace.rows_of(tries[::-1])
    assert [(row.id, row.retry_of, row.latency_ms) for row in rows] == [
        ("n0.0.7.0", "", 500.0),
        ("n0.0.7.1", "n0.0.7.0", 1500.0),
    ]


def test_callers_retry_only_where_a_repeat_is_harmless():
    retrying = Callers(retries=2, backoff="exponential", backoff_ms=100)
    once, safe = Method(name="m"), Method(name="r", repeats="retriable")
    keyed = Method(name="k", repeats="deduped", window_ms=500)
    zoned = Method(name="z", repeats="deduped", group="zone", window_ms=500)

    def again(method, outcome, tries=1, since=0.1, after=0.0):
        return callers.retry_delay(retrying, method, outcome, tries, since, after, Random(1))

    assert again(once, callers.FAILED) is again(once, callers.GAVE_UP) is again(zoned, callers.LOST) is None
    assert again(once, callers.REFUSED) is not None and again(once, callers.UNREACHABLE) is not None
    assert again(safe, callers.FAILED) is not None and again(safe, callers.SERVED) is None
    assert again(keyed, callers.LOST) is not None and again(keyed, callers.LOST, since=0.6) is None
    assert again(safe, callers.FAILED, tries=3) is None
    assert (
        again(safe, callers.REFUSED, after=2.0) == 2.0 and 0.1 <= again(safe, callers.FAILED, tries=2) <= 0.2
    )


def test_intervals_knees_and_growth():
    mean, low, high = interval([1.0, 2.0, 3.0, 2.0, 1.5, 2.5])
    assert mean == 2.0 and 1.2 < low < 2 < high < 2.8
    assert interval([1.0, -1.0]) == (0.0, -1.0, 1.0)
    assert knee([(4, 0.2), (1, 1.0), (2, 0.995), (8, 1.0)], lambda figure: figure >= 0.99) == 2
    assert knee([(1, 0.5)], lambda figure: figure >= 0.99) is None
    assert growth([(10, 5), (100, 50), (1000, 500)]) == pytest.approx(1.0)


def test_histograms_are_added_up_not_averaged():
    from shedgrade.lab.generator import histogram

    parts = [histogram(), histogram()]
    for _ in range(990):
        parts[0].record_value(1000)
    for _ in range(10):
        parts[1].record_value(1_000_000)
    whole = histogram()
    for part in parts:
        whole.decode_and_add(msgspec.json.decode(msgspec.json.encode(part.encode().decode())))
    assert whole.total_count == 1000 and whole.get_value_at_percentile(98.9) < 1100
    assert whole.get_value_at_percentile(99.5) > 990_000
