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


class FakeClock:
    def __init__(self) -> None:
        self.now = 50.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def ring(clock):
    return LogRingBuffer(
        "edge-1", io.StringIO(), size=8, clock=lambda: 1000.0 + clock.now, monotonic_clock=clock
    )


def lines(ring: LogRingBuffer) -> list[dict]:
    return [orjson.loads(line) for line in ring.stream.getvalue().split("\n")[:-1]]


def texts(ring: LogRingBuffer) -> list[str]:
    return [line["text"] for line in lines(ring)]


def test_nothing_is_written_without_a_warning(ring):
    for number in range(100):
        ring.info("step {}", number)
        ring.debug("step {}", number)
    ring.flush()
    assert ring.stream.getvalue() == "" and len(ring.events) == 8


def test_a_warning_writes_the_events_before_it(ring):
    ring.info("step {} of {}", 1, 2)
    ring.bind(peer="10.1.0.14").warning("silent for {:.1f} s", 1.25)
    first_line, second_line = lines(ring)
    assert first_line == {"at": 1050.0, "level": "info", "text": "step 1 of 2", "process": "edge-1"}
    assert second_line == {
        "at": 1050.0,
        "level": "warning",
        "text": "silent for 1.2 s",
        "process": "edge-1",
        "peer": "10.1.0.14",
    }


def test_fields_are_separate_keys_and_replace_no_fixed_key(ring):
    ring.info("polled", attempt=3, error=None, zones=["a"], values=1, fields=2, event="e", level="mine")
    ring.warning("endpoint list poll failed", error=OSError("refused"))
    first_line, second_line = lines(ring)
    assert first_line == {
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
    assert second_line["text"] == "endpoint list poll failed" and second_line["error"] == "OSError('refused')"


def test_an_uncaught_loop_exception_is_logged_as_error_with_its_traceback(ring):
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


def test_writes_are_rate_limited_and_include_the_events_since_the_last(ring, clock):
    ring.warning("a")
    ring.error("b")
    ring.info("c")
    assert texts(ring) == ["a"]
    clock.now += WRITE_INTERVAL_S
    ring.info("d")
    assert texts(ring) == ["a", "b", "c", "d"] and ring.writes == 2
    ring.info("e")
    clock.now += WRITE_INTERVAL_S
    ring.info("f")
    assert texts(ring) == ["a", "b", "c", "d"]
    ring.warning("g")
    assert texts(ring)[4:] == ["e", "f", "g"]
    ring.warning("h")
    ring.flush()
    ring.flush()
    assert texts(ring)[7:] == ["h"]


def test_evicted_events_are_counted(ring, clock):
    for number in range(20):
        ring.info("{}", number)
    ring.warning("now")
    assert texts(ring) == ["13 earlier events are left out", *map(str, range(13, 20)), "now"]
    clock.now += WRITE_INTERVAL_S
    ring.warning("again")
    assert texts(ring)[-1:] == ["again"] and len(texts(ring)) == 10


def test_the_size_of_one_write_is_bounded(clock):
    ring = LogRingBuffer("edge-of-the-far-north-1" * 4, io.StringIO(), monotonic_clock=clock)
    for number in range(500):
        ring.info("{} {}", number, "x" * 190)
    ring.warning("end")
    assert len(ring.stream.getvalue()) <= MAX_WRITE_BYTES
    written_texts = texts(ring)
    assert written_texts[-1] == "end" and written_texts[-2].startswith("499 ")
    assert written_texts[0].endswith(" earlier events are left out")
    assert int(written_texts[0].split()[0]) + len(written_texts) - 1 == 501


def test_mutable_values_are_formatted_when_logged(ring):
    value = [1]
    ring.info("value {}", value)
    value.append(2)
    ring.warning("failed: {!r}", ValueError("x"))
    assert texts(ring) == ["value [1]", "failed: ValueError('x')"]
    assert all(event.values == () for event in ring.events)


def test_exception_adds_the_traceback(ring):
    try:
        1 / 0  # noqa: B018
    except ZeroDivisionError:
        ring.exception("fault in {}", "x")
    (line,) = lines(ring)
    assert line["level"] == "error" and line["text"] == "fault in x" and "ZeroDivisionError" in line["trace"]
    ring.exception("none is handled")


class Unprintable:
    def __repr__(self):
        raise RuntimeError


@pytest.mark.parametrize(
    ("text", "values"),
    [("{} {}", (1,)), ("{", (1,)), ("{:d}", ("x",)), ("{!r}", (Unprintable(),)), ("{a}", (1,))],
)
def test_a_formatting_error_does_not_fail_the_logging_call(ring, text, values):
    ring.warning(text, *values)
    assert texts(ring)[0].startswith(text)


@pytest.mark.parametrize("broken", [OSError, ValueError, BrokenPipeError])
def test_a_broken_stderr_does_not_fail_the_logging_call(ring, broken):
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
    clock = FakeClock()
    ring = LogRingBuffer("p", io.StringIO(), size=5, monotonic_clock=clock)
    for level, text, values, fields, delay in events:
        clock.now += delay
        getattr(ring, level)(text, *values, **fields)
    ring.flush()
    written = lines(ring)
    assert len(written) <= len(events) + ring.writes
    assert ring.writes <= 2 + (clock.now - 50.0) / WRITE_INTERVAL_S


# --- the sink of the shared logger


@pytest.fixture
def reset_sink():
    yield
    log.set_sink(None)


def test_events_go_to_the_sink_that_was_set(reset_sink, ring):
    log.set_sink(ring)
    assert log.logger.info == ring.info
    log.logger.info("step {}", 1)
    log.logger.warning("end")
    assert texts(ring) == ["step 1", "end"]


def test_a_sink_without_a_required_method_is_rejected(reset_sink, ring):
    log.set_sink(ring)
    with pytest.raises(AttributeError):
        log.set_sink(object())
    log.logger.warning("still here")
    assert texts(ring) == ["still here"]
    with pytest.raises(AttributeError):
        log.logger.no_such_level  # noqa: B018


def test_without_a_sink_loguru_sees_the_true_caller(reset_sink):
    log.set_sink(None)
    records = []
    number = loguru.add(lambda message: records.append(message.record), level="DEBUG")
    try:
        log.logger.info("step {}", 1)
        log.logger.info("step {}", 2)
    finally:
        loguru.remove(number)
    assert [record["message"] for record in records] == ["step 1", "step 2"]
    assert {record["function"] for record in records} == {"test_without_a_sink_loguru_sees_the_true_caller"}


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
def test_unused_libraries_are_not_imported(code, absent):
    code += f"; import sys; print([name for name in {absent.split()} if name in sys.modules])"
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout == "[]\n"


def test_rich_can_still_be_imported_by_others():
    code = "import shedgrade.runtime.log_ring; import rich, sys; print(sys.modules['rich'] is rich)"
    pytest.importorskip("rich")
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout == "True\n"
