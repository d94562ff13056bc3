"""Findings of a check: each says what is wrong and where. They are collected and reported together."""

from collections.abc import Iterator
from dataclasses import dataclass

MAX_FINDINGS = 100  # in one report; a longer one is no more helpful


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that a check found wrong.

    Attributes:
        place: where it is, such as `routeList[3].host` or a file; empty for the document as a whole.
        text: what is wrong there.
    """

    place: str
    text: str

    def __str__(self) -> str:
        return f"{self.place}: {self.text}"


class Findings:
    """Collects findings in the order in which they are added, at most `limit`; the others are only counted.

    Attributes:
        kept: the collected findings.
        limit: maximum number of findings that are kept.
        omitted: number of findings that were added beyond the limit.

    >>> findings = Findings()
    >>> findings.add("limits.bodyBytes", "is not a number")
    >>> [str(finding) for finding in findings], len(findings)
    (['limits.bodyBytes: is not a number'], 1)
    """

    __slots__ = ("kept", "limit", "omitted")

    def __init__(self, limit: int = MAX_FINDINGS) -> None:
        self.kept: list[Finding] = []
        self.limit = limit
        self.omitted = 0

    def add(self, place: str, text: str) -> None:
        """Adds a finding, or counts it if the limit is reached."""
        if len(self.kept) < self.limit:
            self.kept.append(Finding(place, text))
        else:
            self.omitted += 1

    def all(self) -> tuple[Finding, ...]:
        """The findings that were kept."""
        return tuple(self.kept)

    def is_full(self) -> bool:
        """Whether further findings are only counted."""
        return len(self.kept) >= self.limit

    def __iter__(self) -> Iterator[Finding]:
        return iter(self.kept)

    def __len__(self) -> int:
        return len(self.kept)
