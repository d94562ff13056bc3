"""A pytest plugin that passes over the tests that `KNOWN-RED.txt` lists, and over no others.

The file stands beside `pyproject.toml`; without it, or with an empty one, a run is a plain run. Each line
names one test that fails for a real fault which is not mended yet, in three fields:

    tests/area/test_module.py::test_name | what the fault is | the issue that is about it

A listed test is still run, and is reported as `xfailed`. The run fails if

- the file has over `MOST_KNOWN` lines, a line without its three fields, or one test twice (usage error),
- a listed test passes, or is skipped, and so is not red any more,
- a listed test does not exist, which can be told only where the whole suite is run,
- any other test fails.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
MOST_KNOWN = 3
SEPARATOR = " | "


class KnownRedError(Exception):
    """The file breaks its own rules; the text says where."""


@dataclass(frozen=True)
class KnownRed:
    """One line of the file."""

    node_id: str
    cause: str
    issue: str


def parse(text: str) -> list[KnownRed]:
    """The lines of the file. KnownRedError if it is not sound."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    if len(lines) > MOST_KNOWN:
        raise KnownRedError(f"{len(lines)} lines, at most {MOST_KNOWN} are allowed")
    known = [parse_line(line) for line in lines]
    if len({one.node_id for one in known}) < len(known):
        raise KnownRedError("one test is listed twice")
    return known


def parse_line(line: str) -> KnownRed:
    """One line. The name of a test may hold the separator, the other two fields may not."""
    fields = [field.strip() for field in line.rsplit(SEPARATOR, 2)]
    if len(fields) != 3 or not all(fields):
        raise KnownRedError(f"not 'test{SEPARATOR}cause{SEPARATOR}issue': {line}")
    return KnownRed(*fields)


class KnownRedPlugin:
    """Expects each listed test to fail, and fails the run where one of them does not."""

    def __init__(self, known: list[KnownRed], whole_suite: bool) -> None:
        """`whole_suite`: no test was chosen on the command line, so each listed one must be run."""
        self.known = {one.node_id: one for one in known}
        self.whole_suite = whole_suite
        self.red: set[str] = set()
        self.skipped: set[str] = set()

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Marks each listed test as expected to fail."""
        for item in items:
            if listed := self.known.get(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=listed.cause, strict=True))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Notes how each listed test ended."""
        if report.nodeid not in self.known or not report.skipped:
            return
        expected_to_fail = hasattr(report, "wasxfail")
        (self.red if expected_to_fail else self.skipped).add(report.nodeid)

    def problems(self, reported: set[str]) -> Iterator[str]:
        """Sentences on listed tests that are not red. `reported`: all tests that ended in any way."""
        for node_id in self.known:
            if node_id in self.skipped:
                yield f"{node_id} was skipped: a listed test must run and fail"
            elif self.whole_suite and node_id not in reported:
                yield f"{node_id} does not exist"

    @pytest.hookimpl(tryfirst=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fails a run that passed but for listed tests that are not red."""
        if session.exitstatus == pytest.ExitCode.OK and any(self.problems(reported_tests(session.config))):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Prints the listed tests, and what is wrong with the list."""
        terminalreporter.section(FILE_NAME)
        for one in self.known.values():
            state = "red" if one.node_id in self.red else "not red"
            terminalreporter.line(f"{state}: {one.node_id} ({one.cause}; {one.issue})")
        for problem in self.problems(reported_tests(terminalreporter.config)):
            terminalreporter.line(f"error: {problem}", red=True)


def reported_tests(config: pytest.Config) -> set[str]:
    """The names of all tests that ended in any way in this run."""
    reporter = config.pluginmanager.get_plugin("terminalreporter")
    groups = reporter.stats.values() if reporter is not None else ()
    reports = [report for group in groups for report in group]
    return {report.nodeid for report in reports if isinstance(report, pytest.TestReport)}


def pytest_configure(config: pytest.Config) -> None:
    """Takes part only where tests are run and the file lists any."""
    path = Path(config.rootpath, FILE_NAME)
    if config.option.collectonly or not path.exists():
        return
    try:
        known = parse(path.read_text())
    except KnownRedError as error:
        raise pytest.UsageError(f"{FILE_NAME}: {error}") from error
    if known:
        config.pluginmanager.register(KnownRedPlugin(known, runs_whole_suite(config)), "known-red")


def runs_whole_suite(config: pytest.Config) -> bool:
    """Whether no test was chosen on the command line, by path, name, mark or last failure."""
    chosen_by_path = config.args_source is pytest.Config.ArgsSource.ARGS
    options = (config.option.keyword, config.option.markexpr, config.getoption("lf", False))
    return not chosen_by_path and not any(options)
