"""Singleton roles: work that one core member does at a time, such as polling the platform. No I/O.

Each role has an election of its own (`role_election.py`), held whenever the role is vacant.
"""

from collections.abc import Callable
from math import inf
from random import Random

from shedgrade.controlplane.role_election import RELEASE_HOLDOFF_S, RoleElection
from shedgrade.controlplane.role_messages import Instruction, Message, RoleHolder


class SingletonRoles:
    """The elections of all roles, as one member takes part in them.

    The caller takes out and carries out `instructions` after each call. A `RoleAcquired` for a role that is
    already held continues it under a higher term. Each term is won at most once, by one member.

    Attributes:
        instructions: what the caller must carry out, in order.
        elections: the election of each role, by its name.
    """

    def __init__(
        self,
        address: str,
        members: Callable[[], tuple[str, ...]],
        random: Random,
        now: float,
        roles: tuple[str, ...],
        term_counter_floor: int = 0,
    ) -> None:
        """`address`: peer address of this member. `members()`: peer addresses of the core members, including
        this one if it is a member. `term_counter_floor`: the counter in terms starts above it; tenths of a
        second since 1970 grow faster than elections are held.
        """
        self.instructions: list[Instruction] = []
        self.elections = {
            role: RoleElection(role, address, members, random, now, term_counter_floor, self.instructions)
            for role in roles
        }

    def receive(self, now: float, sender: str, message: Message) -> None:
        """Handles a message of another member; one of an unknown role is ignored. `sender`: its peer
        address."""
        election = self.elections.get(message.role)
        if election is None:
            return
        election.tick(now)
        election.receive(now, sender, message)

    def tick(self, now: float) -> None:
        """Handles what is due in each election; see `RoleElection.tick`."""
        for election in self.elections.values():
            election.tick(now)

    def wake_at(self) -> float:
        """Returns when `tick` is due next, in seconds of the clock; infinity if never."""
        return min((election.wake_at() for election in self.elections.values()), default=inf)

    def is_held(self, role: str, now: float | None = None) -> bool:
        """Returns whether this member holds the role; with `now`, only if its lease has not ended by then."""
        return self.elections[role].is_held(now)

    def holder(self, role: str, now: float | None = None) -> RoleHolder | None:
        """Returns the holder that was last heard and has not released the role, or None if there is none.
        With `now`, only if it was heard recently; see `RoleElection.known_holder`.
        """
        return self.elections[role].known_holder(now)

    def resign(self, now: float) -> None:
        """Releases all roles because the process ends, tells the others, and never campaigns again."""
        for election in self.elections.values():
            election.resign(now)

    def release(self, now: float, role: str) -> None:
        """Releases a role whose work this member can't do, and lets others campaign first."""
        self.elections[role].release(now, RELEASE_HOLDOFF_S)

    def observe_term(self, now: float, role: str, term: int) -> None:
        """Handles a term that was seen outside the election, such as in the state of a data plane: own terms
        go above it.

        Guards against core members that all restarted and count terms from the beginning. The holder is told,
        as only it needs to campaign again.
        """
        self.elections[role].observe_term(now, term)

    def check_invariants(self) -> None:
        """Raises AssertionError if the attributes of an election contradict each other."""
        for election in self.elections.values():
            election.check_invariants()
