"""A simulated core machine: a member's process, its disk at the level of whole writes, its power."""

from __future__ import annotations

from random import Random

from shedgrade.replication import (
    Answer,
    Committed,
    Exit,
    Member,
    Persist,
    Send,
)

KILL_MARGIN = 1.2  # s before SIGKILL at which a process gives up waiting


class Machine:
    """`world` has clock, random, network, seeds, tolerated, decide, history and member_class."""

    def __init__(self, world, name: str, address: str, region: str):
        self.world, self.name, self.address, self.region = world, name, address, region
        self.seeds: tuple[str, ...] = world.seeds
        self.durable: dict[str, bytes] = {}
        self.open: tuple[int, dict] | None = None  # the write that is not synced yet
        self.member: Member | None = None
        self.generation = 0
        self.wake = float("inf")
        self.frozen = False
        self.missed: list = []
        self.sync, self.stalled, self.full = 0.005, False, False
        self.answers: dict[int, object] = {}  # ticket -> callback(outcome)
        self.ended = None  # called when a process that was told to end is gone
        self.finished = (0, 0)
        self.offset = world.random.random() * 1e5  # steady clocks have nothing in common

    @property
    def up(self) -> bool:
        return self.member is not None

    # --- process and power

    def start(self, founding: bool = False) -> None:
        world = self.world
        if self.member is not None:
            return
        self.generation += 1
        self.finished, self.wake = (0, 0), float("inf")
        self.member = world.member_class(
            self.name,
            self.address,
            founding=founding,
            seeds=self.seeds,
            tolerated=world.tolerated,
            found=dict(self.durable),
            random=Random(world.random.getrandbits(64)),
            now=world.clock.now + self.offset,
            decide=world.decide,
            timing=world.timing,
        )
        world.log("start", self.name)
        self.drain()

    def kill(self, power: bool = False) -> None:
        """The process ends; without power, callers are not told."""
        if self.member is None:
            return
        self.world.log("power" if power else "kill", self.name)
        self.member, self.frozen, self.missed = None, False, []
        ended, self.ended = self.ended, None
        if ended is not None:
            self.world.clock.after(0.0, ended)
        self.generation += 1
        if self.open is not None and self.world.random.random() < 0.5:
            # what was not synced may be there or not
            self.apply(self.open[1])
        self.open = None
        if power:
            self.world.network.reset(self.address)
        answers, self.answers = self.answers, {}
        if not power:
            for call in answers.values():
                self.world.clock.after(0.001, call, None)

    def terminate(self, grace: float, ended) -> None:
        """SIGTERM, and SIGKILL after `grace` s; `ended()` is called once, when the process is gone."""
        self.ended = ended
        if not self.frozen:
            self.call("leave", grace - KILL_MARGIN)
        else:
            self.missed.append((self.call, ("leave", grace - KILL_MARGIN)))
        self.world.clock.after(grace, self.killed_late, self.generation)

    def killed_late(self, generation: int) -> None:
        if generation == self.generation:
            self.kill()

    def wipe(self) -> None:
        self.durable, self.open = {}, None

    # --- the disk

    def apply(self, changes: dict) -> None:
        for key, value in changes.items():
            if value is None:
                self.durable.pop(key, None)
            else:
                self.durable[key] = value

    def persist(self, effect: Persist) -> None:
        assert self.open is None, "one write at a time"
        self.open = effect.token, effect.changes
        if not self.stalled:
            delay = self.sync * (0.5 + self.world.random.random())
            self.world.clock.after(delay, self.synced, self.generation, effect.token)

    def synced(self, generation: int, token: int) -> None:
        if generation != self.generation or self.open is None or self.open[0] != token or self.stalled:
            return
        if self.frozen:
            self.missed.append((self.synced, (generation, token)))
            return
        changes, self.open = self.open[1], None
        if not self.full:
            self.apply(changes)
        self.call("persisted", token, not self.full)

    def stall(self, on: bool) -> None:
        self.stalled = on
        if not on and self.open is not None:
            self.world.clock.after(0.001, self.synced, self.generation, self.open[0])

    # --- calls

    def call(self, name: str, *args) -> None:
        if self.member is not None:
            getattr(self.member, name)(self.world.clock.now + self.offset, *args)
            self.drain()

    def receive(self, sender: str, message) -> None:
        if self.frozen:
            self.missed.append((self.receive, (sender, message)))
        elif self.member is not None:
            self.member.receive(self.world.clock.now + self.offset, sender, message)
            self.drain()

    def ask(self, kind: str, request, answer) -> None:
        """A command ("submit") or a read ("read") of a client; `answer(None)` when the process ends."""
        if self.frozen:
            self.missed.append((self.ask, (kind, request, answer)))
        elif self.member is None:
            self.world.clock.after(0.001, answer, None)
        else:
            self.world.tickets += 1
            self.answers[self.world.tickets] = answer
            self.call(kind, self.world.tickets, *(() if kind == "read" else (request,)))

    def freeze(self, on: bool) -> None:
        if self.member is None:
            return
        self.frozen = on
        if not on:
            missed, self.missed = self.missed, []
            for call, args in missed:
                call(*args)
            self.tick(self.generation)

    def tick(self, generation: int) -> None:
        if generation != self.generation or self.member is None or self.frozen:
            return
        now = self.world.clock.now
        if now >= self.wake:
            self.wake = float("inf")
        now += self.offset
        if now >= self.member.wake_at():
            self.member.tick(now)
        self.drain()

    def drain(self) -> None:
        world, member = self.world, self.member
        member.check_invariants()
        effects = member.effects
        while effects:
            todo, effects[:] = list(effects), []
            for effect in todo:
                kind = type(effect)
                if kind is Send:
                    world.network.send(self.address, effect.to, effect.message)
                elif kind is Persist:
                    self.persist(effect)
                elif kind is Answer:
                    call = self.answers.pop(effect.ticket, None)
                    if call is not None:
                        call(effect.outcome)
                elif kind is Committed:
                    world.history.finished(world.clock.now, self, effect)
                elif kind is Exit:
                    world.clock.after(0.0, self.left, self.generation)
                if self.member is not member or self.frozen:  # an ambush or an answer may have ended it
                    if self.frozen:
                        self.missed.append((self.drain, ()))
                        effects[:0] = todo[todo.index(effect) + 1 :]
                    return
        wake = max(member.wake_at() - self.offset, world.clock.now + 0.0005)
        if wake < self.wake:
            self.wake = wake
            world.clock.at(wake + 0.001 * world.random.random(), self.tick, self.generation)

    def left(self, generation: int) -> None:
        if generation == self.generation:
            self.kill()
