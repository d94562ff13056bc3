"""Output of commands, as text or with `--json` as JSON, and the errors that end a command."""

import json
import sys
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any, TextIO

from shedgrade.ctl.options import ExitCode
from shedgrade.findings import Finding


class CommandError(Exception):
    """Ends a command. `findings` are printed; `exit_code` becomes the exit code of the process."""

    exit_code = ExitCode.REFUSED

    def __init__(self, *findings: Finding) -> None:
        self.findings = findings
        super().__init__("; ".join(map(str, findings)))


class InputError(CommandError):
    """An argument, an option or an input file can't be used."""

    exit_code = ExitCode.USAGE


class RejectedError(CommandError):
    """The control plane rejected a call, or the data that was checked is invalid."""

    exit_code = ExitCode.REFUSED


class NoAnswerError(CommandError):
    """No control address gave a definite answer by the deadline."""

    exit_code = ExitCode.NO_ANSWER


class Output:
    """Prints results to `out`, and findings to stderr; with `as_json` both go to `out`."""

    def __init__(self, out: TextIO, as_json: bool) -> None:
        self.out = out
        self.as_json = as_json

    def show(self, lines: Iterable[str], data: Any) -> None:
        """Prints the lines, or `data` as JSON, which says the same."""
        if self.as_json:
            print(json.dumps(data, ensure_ascii=False), file=self.out)
        else:
            for line in lines:
                print(line, file=self.out)

    def show_findings(self, findings: Iterable[Finding]) -> None:
        """Prints each finding, with its place if it has one."""
        if self.as_json:
            items = [{"place": finding.place, "text": finding.text} for finding in findings]
            print(json.dumps({"findings": items}, ensure_ascii=False), file=self.out)
        else:
            for finding in findings:
                print(str(finding) if finding.place else finding.text, file=sys.stderr)


def read_file(path: str) -> bytes:
    """A file's bytes; `-` stands for stdin. InputError if it can't be read."""
    try:
        return sys.stdin.buffer.read() if path == "-" else Path(path).read_bytes()
    except OSError as error:
        raise InputError(Finding(path, error.strerror or repr(error))) from error


def format_table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> list[str]:
    """Lines of a table with a header; columns are padded to the widest cell.

    >>> format_table(("a", "b"), [("long", 1)])
    ['a     b', 'long  1']
    """
    cells = [list(head), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(head))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]
