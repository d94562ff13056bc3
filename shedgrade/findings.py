"""What a check found wrong, each with its place; several are collected and reported together."""

from collections.abc import Iterator
from dataclasses import dataclass

MOST = 100  # findings that one report holds: more tell nobody more


@dataclass(frozen=True, slots=True)
class Finding:
    """`place`: where it is, as `routeList[3].host` or a file; empty: the whole. `text`: what is wrong."""

    place: str
    text: str

    def __str__(self) -> str:
        return f"{self.place}: {self.text}"


class Findings:
    """Collects findings in the order in which they were met, at most `most`; the rest are only counted.

    >>> findings = Findings()
    >>> findings.add("limits.bodyBytes", "is no number")
    >>> [str(finding) for finding in findings], len(findings)
    (['limits.bodyBytes: is no number'], 1)
    """

    __slots__ = ("kept", "most", "left_out")

    def __init__(self, most: int = MOST) -> None:
        self.kept: list[Finding] = []
        self.most, self.left_out = most, 0

    def add(self, place: str, text: str) -> None:
        if len(self.kept) < self.most:
            self.kept.append(Finding(place, text))
        else:
            self.left_out += 1

    def all(self) -> tuple[Finding, ...]:
        return tuple(self.kept)

    def full(self) -> bool:
        return len(self.kept) >= self.most

    def __iter__(self) -> Iterator[Finding]:
        return iter(self.kept)

    def __len__(self) -> int:
        return len(self.kept)
