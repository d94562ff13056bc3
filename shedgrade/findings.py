"""What a check found wrong, each with its place; several are collected and reported together."""

from collections.abc import Iterator
from dataclasses import dataclass

MAX_FINDINGS = 100  # that one report holds: more help nobody


@dataclass(frozen=True, slots=True)
class Finding:
    """`place`: where it is, as `routeList[3].host` or a file; empty: the whole. `text`: what is wrong."""

    place: str
    text: str

    def __str__(self) -> str:
        return f"{self.place}: {self.text}"


class Findings:
    """Collects findings in the order in which they were met, at most `limit`; the rest are only counted.

    `kept`: the findings; `limit`; `omitted`: how many were added beyond it.

    >>> findings = Findings()
    >>> findings.add("limits.bodyBytes", "is no number")
    >>> [str(finding) for finding in findings], len(findings)
    (['limits.bodyBytes: is no number'], 1)
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
        """Those that are kept."""
        return tuple(self.kept)

    def full(self) -> bool:
        """Whether further findings are only counted."""
        return len(self.kept) >= self.limit

    def __iter__(self) -> Iterator[Finding]:
        return iter(self.kept)

    def __len__(self) -> int:
        return len(self.kept)
