"""What commands print: words, or JSON with `--json`; and the errors that end them."""

import json
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any, TextIO

from shedgrade.findings import Finding


class EndError(Exception):
    """Ends a command; `findings` say why."""

    def __init__(self, *findings: Finding) -> None:
        self.findings = findings
        super().__init__("; ".join(map(str, findings)))


class InputError(EndError):
    """What the command was given can't be used."""


class RefusedError(EndError):
    """The control plane refused, or what was checked is not sound."""


class Output:
    """`out`: where what was asked for goes; findings go to stderr unless JSON is asked for."""

    def __init__(self, out: TextIO, as_json: bool) -> None:
        self.out, self.as_json = out, as_json

    def tell(self, words: Iterable[str], data: Any) -> None:
        if self.as_json:
            print(json.dumps(data, ensure_ascii=False), file=self.out)
        else:
            for line in words:
                print(line, file=self.out)

    def findings(self, findings: Iterable[Finding]) -> None:
        if self.as_json:
            told = [{"place": finding.place, "text": finding.text} for finding in findings]
            print(json.dumps({"findings": told}, ensure_ascii=False), file=self.out)
        else:
            for finding in findings:
                print(str(finding) if finding.place else finding.text, file=sys.stderr)


def content(path: str) -> bytes:
    """A file's bytes; `-` is stdin. InputError if it can't be read."""
    try:
        return sys.stdin.buffer.read() if path == "-" else Path(path).read_bytes()
    except OSError as failure:
        raise InputError(Finding(path, failure.strerror or repr(failure))) from failure


def table(head: tuple[str, ...], rows: Iterable[tuple]) -> list[str]:
    """Lines with columns under their heads.

    >>> table(("a", "b"), [("long", 1)])
    ['a     b', 'long  1']
    """
    told = [head, *(tuple(map(str, row)) for row in rows)]
    widths = [max(len(row[column]) for row in told) for column in range(len(head))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in told
    ]
