"""The parsed command line, the type of a command's function, and the exit codes."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from shedgrade.ctl.client import ControlClient
    from shedgrade.ctl.output import Output


class ExitCode(IntEnum):
    """Exit code of the process; the usage text explains each."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    NO_ANSWER = 3


@dataclass(frozen=True, slots=True)
class Options:
    """The command line.

    Attributes:
        command: its words, such as "config get".

    The other fields are arguments and options as they were written; "", None, () or False if not given.
    """

    command: str
    file: str = ""
    folder: str = ""
    zone: str = ""
    host: str = ""
    path: str = ""
    base: str | None = None
    against: str | None = None
    region: str | None = None
    deadline: str | None = None
    control: tuple[str, ...] = ()
    patch: bool = False
    json: bool = False

    @classmethod
    def from_docopt(cls, given: Mapping[str, Any], commands: Iterable[str]) -> "Options":
        """The options in docopt's result. `commands`: the words of all commands, one of which was given."""
        return cls(
            command=next(words for words in commands if all(given[word] for word in words.split())),
            file=given["FILE"] or "",
            folder=given["FOLDER"] or "",
            zone=given["ZONE"] or "",
            host=given["HOST"] or "",
            path=given["PATH"] or "",
            base=given["--base"],
            against=given["--against"],
            region=given["--region"],
            deadline=given["--deadline"],
            control=tuple(given["--control"]),
            patch=given["--patch"],
            json=given["--json"],
        )


# `connect` makes the client of the control plane; a command that needs no running system doesn't call it.
CommandFunction = Callable[["Options", "Output", "Callable[[], ControlClient]"], ExitCode]
