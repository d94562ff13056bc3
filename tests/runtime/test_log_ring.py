"""The shared logger with its sink, and the ring buffer that is written to stderr on a warning."""

import io
import subprocess
import sys

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger as loguru

from shedgrade.runtime import log
from shedgrade.runtime.log_ring import MAX_WRITE_BYTES, WRITE_INTERVAL_S, LogRingBuffer
from shedgrade.runtime.loop_errors import log_uncaught


class Times:
    def __init__(self) -> None:
        self.now = 50.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def times():
    return Times()


@pytest.fixture
def ring(times):
    return LogRingBuffer(
        "edge-1", io.StringIO(), size=8, clock=lambda: 1000.0 + times.now, steady_clock=times
    )


def lines(ring: LogRingBuffer) -> list[dict]:
    return [orjson.loads(line) for line in ring.stream.getvalue().split("\n")[:-1]]


def texts(ring: LogRingBuffer) -> list[str]:
    return [line["text"] for line in lines(ring)]


def test_nothing_is_written_while_all_is_well(ring):
    for number in range(100):
        ring.info("step {}", number)
        ring.debug("step {}", number)
    ring.flush()
    assert ring.stream.getvalue() == "" and len(ring.events) == 8


def test_a_warning_writes_what_led_to_it(ring):
    ring.info("step {} of {}", 1, 2)
    ring.bind(peer="10.1.0.14").warning("silent for {:.1f} s", 1.25)
    first, second = lines(ring)
    assert first == {"at": 1050.0, "level": "info", "text": "step 1 of 2", "process": "edge-1"}
    assert second == {
        "at": 1050.0,
        "level": "warning",
        "text": "silent for 1.2 s",
        "process": "edge-1",
        "peer": "10.1.0.14",
    }


def test_fields_are_keys_of_their_own_and_replace_no_fixed_one(ring):
    ring.info("polled", attempt=3, error=None, zones=["a"], values=1, fields=2, event="e", level="mine")
    ring.warning("endpoint list poll failed", error=OSError("refused"))
    first, second = lines(ring)
    assert first == {
        "at": 1050.0,
        "level": "info",
        "text": "polled",
        "process": "edge-1",
        "attempt": 3,
        "error": None,
        "zones": "['a']",
        "values": 1,
        "fields": 2,
        "event": "e",
    }
    assert second["text"] == "endpoint list poll failed" and second["error"] == "OSError('refused')"


def test_an_uncaught_exception_of_the_loop_is_an_error_with_its_trace(ring):
    log.set_sink(ring)
    try:
        log_uncaught(None, {"message": "Exception in callback", "exception": KeyError("zone")})
        log_uncaught(None, {"message": "Task was destroyed"})
    finally:
        log.set_sink(None)
    [line] = lines(ring)
    assert (line["level"], line["text"]) == ("error", "uncaught exception in event loop")
    assert (line["message"], line["error"]) == ("Exception in callback", "KeyError('zone')")
    assert "KeyError: 'zone'" in line["trace"]
    assert [event.fields["error"] for event in ring.events] == ["KeyError('zone')", "None"]


def test_writes_are_spaced_and_what_was_held_back_comes_with_the_next(ring, times):
    ring.warning("a")
    ring.error("b")
    ring.info("c")
    assert texts(ring) == ["a"]
    times.now += WRITE_INTERVAL_S
    ring.info("d")
    assert texts(ring) == ["a", "b", "c", "d"] and ring.writes == 2
    ring.info("e")
    times.now += WRITE_INTERVAL_S
    ring.info("f")
    assert texts(ring) == ["a", "b", "c", "d"]
    ring.warning("g")
    assert texts(ring)[4:] == ["e", "f", "g"]
    ring.warning("h")
    ring.flush()
    ring.flush()
    assert texts(ring)[7:] == ["h"]


def test_what_fell_out_of_the_ring_is_counted(ring, times):
    for number in range(20):
        ring.info("{}", number)
    ring.warning("now")
    assert texts(ring) == ["13 earlier events are left out", *map(str, range(13, 20)), "now"]
    times.now += WRITE_INTERVAL_S
    ring.warning("again")
    assert texts(ring)[-1:] == ["again"] and len(texts(ring)) == 10


def test_one_write_is_bounded(times):
    ring = LogRingBuffer("edge-of-the-far-north-1" * 4, io.StringIO(), steady_clock=times)
    for number in range(500):
        ring.info("{} {}", number, "x" * 190)
    ring.warning("end")
    assert len(ring.stream.getvalue()) <= MAX_WRITE_BYTES
    said = texts(ring)
    assert said[-1] == "end" and said[-2].startswith("499 ")
    assert said[0].endswith(" earlier events are left out")
    assert int(said[0].split()[0]) + len(said) - 1 == 501


def test_values_are_rendered_when_they_are_logged_if_they_may_change(ring):
    value = [1]
    ring.info("value {}", value)
    value.append(2)
    ring.warning("failed: {!r}", ValueError("x"))
    assert texts(ring) == ["value [1]", "failed: ValueError('x')"]
    assert all(event.values == () for event in ring.events)


def test_a_trace_is_shown_here_only(ring):
    try:
        1 / 0  # noqa: B018
    except ZeroDivisionError:
        ring.exception("fault in {}", "x")
    (line,) = lines(ring)
    assert line["level"] == "error" and line["text"] == "fault in x" and "ZeroDivisionError" in line["trace"]
    ring.exception("none is handled")


class Bad:
    def __repr__(self):
        raise RuntimeError


@pytest.mark.parametrize(
    ("text", "values"), [("{} {}", (1,)), ("{", (1,)), ("{:d}", ("x",)), ("{!r}", (Bad(),)), ("{a}", (1,))]
)
def test_a_line_that_can_not_be_made_does_not_fail_its_caller(ring, text, values):
    ring.warning(text, *values)
    assert texts(ring)[0].startswith(text)


@pytest.mark.parametrize("broken", [OSError, ValueError, BrokenPipeError])
def test_a_stderr_that_nobody_reads_ends_nothing(ring, broken):
    class Stream:
        def write(self, text):
            raise broken

    ring.stream = Stream()
    ring.error("x")
    assert ring.writes == 1


@settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["debug", "info", "warning", "error"]),
            st.text(max_size=30),
            st.lists(st.one_of(st.integers(), st.text(), st.binary(), st.floats()), max_size=3),
            st.dictionaries(
                st.sampled_from(["peer", "bytes"]), st.one_of(st.integers(), st.text(), st.none())
            ),
            st.floats(0, 3),
        )
    )
)
def test_any_events_are_written_as_json_and_each_at_most_once(events):
    times = Times()
    ring = LogRingBuffer("p", io.StringIO(), size=5, steady_clock=times)
    for level, text, values, more, after in events:
        times.now += after
        getattr(ring, level)(text, *values, **more)
    ring.flush()
    written = lines(ring)
    assert len(written) <= len(events) + ring.writes
    assert ring.writes <= 2 + (times.now - 50.0) / WRITE_INTERVAL_S


# --- the sink of the shared logger


@pytest.fixture
def handed():
    yield
    log.set_sink(None)


def test_lines_go_to_the_sink_that_was_handed_in(handed, ring):
    log.set_sink(ring)
    assert log.logger.info == ring.info
    log.logger.info("step {}", 1)
    log.logger.warning("end")
    assert texts(ring) == ["step 1", "end"]


def test_a_sink_that_lacks_a_method_is_not_taken(handed, ring):
    log.set_sink(ring)
    with pytest.raises(AttributeError):
        log.set_sink(object())
    log.logger.warning("still here")
    assert texts(ring) == ["still here"]
    with pytest.raises(AttributeError):
        log.logger.no_such_level  # noqa: B018


def test_with_nothing_handed_in_loguru_sees_the_true_caller(handed):
    log.set_sink(None)
    records = []
    number = loguru.add(lambda message: records.append(message.record), level="DEBUG")
    try:
        log.logger.info("step {}", 1)
        log.logger.info("step {}", 2)
    finally:
        loguru.remove(number)
    assert [record["message"] for record in records] == ["step 1", "step 2"]
    assert {record["function"] for record in records} == {
        "test_with_nothing_handed_in_loguru_sees_the_true_caller"
    }


@pytest.mark.parametrize(
    ("code", "absent"),
    [
        ("from shedgrade.runtime.log import logger", "loguru structlog"),
        (
            "from shedgrade.runtime.log import set_sink\n"
            "from shedgrade.runtime.log_ring import LogRingBuffer\n"
            "set_sink(LogRingBuffer())",
            "loguru rich pygments",
        ),
    ],
)
def test_what_a_program_does_not_use_is_not_imported(code, absent):
    code += f"; import sys; print([name for name in {absent.split()} if name in sys.modules])"
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout == "[]\n"


def test_rich_can_still_be_imported_by_others():
    code = "import shedgrade.runtime.log_ring; import rich, sys; print(sys.modules['rich'] is rich)"
    pytest.importorskip("rich")
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout == "True\n"
