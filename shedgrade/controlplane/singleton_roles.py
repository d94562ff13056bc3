"""Singleton roles: work that one core member does at a time, such as polling the platform. No I/O.

Each role has an election of its own (`role_election.py`); its holder is elected whenever it falls vacant.
"""

from collections.abc import Callable
from math import inf
from random import Random

from shedgrade.controlplane.role_election import RELEASE_HOLDOFF_S, RoleElection
from shedgrade.controlplane.role_messages import Instruction, Message, RoleHolder


class SingletonRoles:
    """The elections of all roles, as one member takes part in them.

    The caller takes out and carries out `instructions` after each call. A `RoleAcquired` for a role that is
    held says that it goes on in a higher term; each term is won at most once, by one member.

    instructions: what is to be carried out, in order. elections: by role.
    """

    def __init__(
        self,
        address: str,
        members: Callable[[], tuple[str, ...]],
        random: Random,
        now: float,
        roles: tuple[str, ...],
        floor: int = 0,
    ) -> None:
        """`address`: this member's link address; `members()`: link addresses of the core members, this one
        among them if it is one; `floor`: terms start above it. Given in tenths of a second since 1970, it
        outruns elections.
        """
        self.instructions: list[Instruction] = []
        self.elections = {
            role: RoleElection(role, address, members, random, now, floor, self.instructions)
            for role in roles
        }

    def receive(self, now: float, sender: str, message: Message) -> None:
        """`sender`: a link address. A message of a role that isn't known here is ignored."""
        election = self.elections.get(message.role)
        if election is None:
            return
        election.tick(now)
        election.receive(now, sender, message)

    def tick(self, now: float) -> None:
        """Time has passed."""
        for election in self.elections.values():
            election.tick(now)

    def wake_at(self) -> float:
        """When `tick` is due next, in seconds of the clock; infinity if never."""
        return min((election.wake_at() for election in self.elections.values()), default=inf)

    def is_held(self, role: str, now: float | None = None) -> bool:
        """Whether this member holds the role; with `now`, also by its lease at that moment."""
        return self.elections[role].is_held(now)

    def holder(self, role: str, now: float | None = None) -> RoleHolder | None:
        """The holder as last heard and not said to have stopped; with `now`, only if it was heard lately.
        None: not known.
        """
        return self.elections[role].known_holder(now)

    def resign(self, now: float) -> None:
        """The process ends: gives all roles up, tells the others, and never campaigns again."""
        for election in self.elections.values():
            election.resign(now)

    def release(self, now: float, role: str) -> None:
        """The holder can't do the work: gives the role up and lets others campaign first."""
        self.elections[role].release(now, RELEASE_HOLDOFF_S)

    def observe_term(self, now: float, role: str, term: int) -> None:
        """A term was met outside, say in what a data plane has: own terms go above it.

        Guards against members that all started anew and count from the beginning. Whoever holds the role is
        told, as only it is to campaign again.
        """
        self.elections[role].observe_term(now, term)

    def check_invariants(self) -> None:
        """AssertionError if the attributes of an election contradict each other."""
        for election in self.elections.values():
            election.check_invariants()
