"""Drives the state machines of one core member: carries out their instructions and calls them when due."""

import asyncio
from collections.abc import Callable, Mapping
from math import inf

from shedgrade.controlplane import role_messages
from shedgrade.controlplane.command_router import CommandRouter
from shedgrade.controlplane.endpoint_list_sync import EndpointListSync
from shedgrade.controlplane.peer_messenger import PeerMessenger
from shedgrade.controlplane.singleton_roles import SingletonRoles
from shedgrade.controlplane.watch_hub import WatchHub
from shedgrade.replication import Answer, Committed, Exit, Member, Persist, Send
from shedgrade.runtime.log import logger

Effect = Send | Persist | Answer | Committed | Exit

MIN_TIMER_DELAY_S = 0.001  # of the timer, even if something is already due

WriteToDisk = Callable[[int, Mapping[str, bytes | None]], None]  # (token, changes)


class StateMachineDriver:
    """Runs the replication member, the singleton roles and the watch hub.

    Attributes:
        may_exit: set once the member has left its group; no timer is set afterwards.
        is_running: whether `run` is active; instructions that are added meanwhile are carried out by the same
            call.
        timer: timer for `wake_at`; None if nothing is due, and while its callback runs.
        wake_at: the earliest time at which a state machine is due, on the loop's clock.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        member: Member,
        roles: SingletonRoles,
        hub: WatchHub,
        messenger: PeerMessenger,
        endpoint_sync: EndpointListSync,
        router: CommandRouter,
        write_to_disk: WriteToDisk,
    ) -> None:
        """`write_to_disk` makes changes durable and afterwards calls `on_persisted` with their token."""
        self.loop = loop
        self.member = member
        self.roles = roles
        self.hub = hub
        self.messenger = messenger
        self.endpoint_sync = endpoint_sync
        self.write_to_disk = write_to_disk
        self.router = router
        self.may_exit = asyncio.Event()
        self.is_running = False
        self.timer: asyncio.TimerHandle | None = None
        self.wake_at = inf

    def on_persisted(self, token: int, succeeded: bool) -> None:
        """Called when the disk has made these changes durable, or has failed to."""
        self.member.persisted(self.loop.time(), token, succeeded)
        self.run()

    def run(self) -> None:
        """Carries out the instructions of the state machines, and sets the timer."""
        if self.is_running:
            return
        self.is_running = True
        try:
            while self.member.effects or self.roles.instructions:
                effects, self.member.effects[:] = list(self.member.effects), []
                for effect in effects:
                    self.execute(effect)
                instructions, self.roles.instructions[:] = list(self.roles.instructions), []
                for instruction in instructions:
                    self.execute_role_instruction(instruction)
        finally:
            self.is_running = False
        self.set_timer()

    def execute(self, effect: Effect) -> None:
        """Carries out one instruction of the replication member."""
        match effect:
            case Send(address, message):
                self.messenger.send_replication(address, message)
            case Persist(token, changes):
                self.write_to_disk(token, changes)
            case Answer(ticket, outcome):
                self.router.on_member_outcome(ticket, outcome)
            case Committed(epoch, sequence, state):
                self.hub.apply_control_state(self.loop.time(), epoch, sequence, state)
            case Exit():
                self.may_exit.set()

    def execute_role_instruction(self, instruction: role_messages.Instruction) -> None:
        """Carries out one instruction of the singleton roles; the only role is polling the endpoint list."""
        match instruction:
            case role_messages.Send(address, message):
                self.messenger.send_role_message(address, message)
            case role_messages.RoleAcquired(_, term):
                logger.info("endpoint list poller started", term=term)
                self.endpoint_sync.start(term)
            case role_messages.RoleLost():
                self.endpoint_sync.stop()

    def set_timer(self) -> None:
        """Replaces the timer if the next due time has changed."""
        at = min(self.member.wake_at(), self.roles.wake_at(), self.hub.wake_at())
        if self.timer is not None:
            if at == self.wake_at:
                return
            self.timer.cancel()
            self.timer = None
        self.wake_at = at
        if at != inf and not self.may_exit.is_set():
            self.timer = self.loop.call_at(max(at, self.loop.time() + MIN_TIMER_DELAY_S), self.on_timer)

    def on_timer(self) -> None:
        """Calls the state machines, of which at least one is due."""
        self.timer = None
        now = self.loop.time()
        try:
            self.member.tick(now)
            self.roles.tick(now)
            self.hub.tick(now)
            self.run()
        finally:
            if self.timer is None:  # after an exception in one state machine the others must still be called
                self.set_timer()
