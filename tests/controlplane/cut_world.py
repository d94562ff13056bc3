"""Real control planes and data planes in virtual time, over links that a test cuts, one way or both ways.

Each process has a loop of its own that a test can stop and thaw, as SIGSTOP and SIGCONT do: what arrives
meanwhile is read at the thaw, after the timers that became due. Disks sync at once. The platform's list is
handed out by a stand-in for the poller, one call every 0.4 s by whoever holds the duty.
"""

import asyncio
from itertools import count
from random import Random
from types import SimpleNamespace

import orjson
import programs
from controlplane.virtual_loop import VirtualLoop

from shedgrade.controlplane.commands import CommandReply, PutConfiguration
from shedgrade.controlplane.plane import ControlPlane
from shedgrade.dataplane.plane import HEALTH_CHECK_INTERVAL_S, DataPlane
from shedgrade.peer_transport.connection import PeerCallError
from shedgrade.process_settings import validate

APPLY = 3.0  # s, `configApplyMs` of the pages: by then an edge in touch serves a new configuration
DRAIN = 4.0  # s, `drainMs`: by then it has the list that the platform shows
LONGEST_PUT = 30.0  # s that a change may take
POLL = 0.4  # s between two calls of the platform
PLATFORM = "platform"


def address(number: int) -> str:
    return f"{programs.NET}.{number}:7300"


def configuration(version: int, filling: int = 0) -> bytes:
    return orjson.dumps(
        {
            "configVersion": version,
            "routeList": [
                {
                    "name": "r",
                    "host": "a.example",
                    "pathPrefix": "/",
                    "service": "s",
                    "filling": "x" * filling,
                }
            ],
            "serviceList": [{"name": "s", "healthPath": "/h"}],
        }
    )


class ProcessLoop:
    """One process's view of the virtual loop. While stopped, its timers and tasks' ends wait."""

    def __init__(self, inner: VirtualLoop) -> None:
        self.inner, self.stopped, self.ended, self.waiting = inner, False, False, []

    def time(self) -> float:
        return self.inner.time()

    def run(self, call, *args) -> None:
        if self.ended:
            return
        if self.stopped:
            self.waiting.append((call, args))
        else:
            call(*args)

    def call_later(self, delay, call, *args):
        return self.inner.call_later(delay, self.run, call, *args)

    def call_at(self, when, call, *args):
        return self.inner.call_at(when, self.run, call, *args)

    def call_soon(self, call, *args):
        return self.inner.call_soon(self.run, call, *args)

    def create_task(self, work):
        return self.inner.create_task(work)

    def create_future(self):
        return self.inner.create_future()

    def thaw(self) -> None:
        self.stopped = False
        waiting, self.waiting = self.waiting, []
        for call, args in waiting:
            self.run(call, *args)


class Links:
    """In place of `peer_transport.tcp.PeerConnectionPool`: frames go over the world's network."""

    def __init__(self, world, process) -> None:
        self.world, self.process, self.numbers, self.calls = world, process, count(1), {}

    def send(self, to: str, body: bytes) -> None:
        self.world.carry(self.process, to, body, 0, False)

    async def call(self, to: str, body: bytes, timeout: float) -> bytes:
        number, answer = next(self.numbers), self.world.loop.create_future()
        self.calls[number] = answer
        self.process.loop.call_later(timeout, self.expire, number)
        self.world.carry(self.process, to, body, number, False)
        return await answer

    def expire(self, number: int) -> None:
        answer = self.calls.pop(number, None)
        if answer is not None and not answer.done():
            answer.set_exception(PeerCallError("no answer in time"))

    def answered(self, number: int, body: bytes) -> None:
        answer = self.calls.pop(number, None)
        if answer is not None and not answer.done():
            answer.set_result(body)

    def close(self) -> None:
        pass


class Poller:
    """In place of `platform_poller.Poller`."""

    def __init__(self, world, process) -> None:
        self.world, self.process, self.consecutive_failures, self.on = world, process, 0, 0

    def start(self, term: int) -> None:
        self.process.plane.endpoint_list.begin_term(term, 0)
        self.on += 1
        self.poll(self.on)

    def stop(self) -> None:
        self.on += 1

    def poll(self, on: int) -> None:
        world, process = self.world, self.process
        if on != self.on:
            return
        if (process.address, PLATFORM) in world.cuts:
            self.consecutive_failures += 1
        else:
            self.consecutive_failures = 0
            world.polls.append((world.loop.time(), process.address))
            changed = process.plane.endpoint_list.apply_poll(world.loop.time(), world.entries)
            process.plane.endpoint_sync.on_polled(changed)
        process.loop.call_later(POLL, self.poll, on)


class Process:
    """A core member or an edge. `plane` is the real one."""

    def __init__(self, world, number: int, make) -> None:
        self.world, self.number, self.address = world, number, address(number)
        self.loop = ProcessLoop(world.loop)
        self.plane = make(self.loop)
        self.links = self.plane.links = Links(world, self)
        if isinstance(self.plane, DataPlane):
            self.plane.control.links = self.plane.loads.links = self.links

    def arrives(self, sender: str, body: bytes, number: int, answers: bool) -> None:
        if answers:
            self.links.answered(number, body)
        else:
            self.plane.dispatcher.dispatch(
                sender, body, lambda told: self.world.carry(self, sender, told, number, number > 0)
            )


class CutWorld:
    """`cores` members, of which a majority survives `tolerated` losses, and edges that a test starts.

    After each step of STEP s the checker looks at all edges: `wrong` gathers what a rule forbids."""

    STEP = 0.05

    def __init__(self, loop: VirtualLoop, folder, cores: int = 3, tolerated: int = 1, seed: int = 1) -> None:
        self.loop, self.folder, self.tolerated, self.random = loop, folder, tolerated, Random(seed)
        self.cuts: set[tuple[str, str]] = set()
        self.way: dict[tuple[str, str], float] = {}  # s from one address to another
        self.entries: list[dict] = []
        self.listed: list[float] = []  # when the list changed: its names are counted on
        self.list_moves()
        self.polls: list[tuple[float, str]] = []
        self.cores: dict[str, Process] = {}
        self.edges: dict[str, Process] = {}
        self.taken: list[tuple[float, int]] = [(0.0, 0)]  # when each version was acknowledged
        self.behind: dict[tuple[str, str], tuple[float, int]] = {}  # edges in touch: since when, with what
        self.longest = {APPLY: 0.0, DRAIN: 0.0}  # s that any of these was so
        self.served: dict[str, int] = {}
        self.wrong: list[str] = []
        for number in range(1, cores + 1):
            self.add_core(number)

    # --- processes

    def add_core(self, number: int) -> Process:
        settings = validate(
            programs.core(
                number, self.folder / f"core-{number}", toleratedLosses={"machines": self.tolerated}
            )
        )
        process = Process(
            self, number, lambda loop: ControlPlane(settings, loop, Random(self.random.getrandbits(40)))
        )
        plane = process.plane
        plane.command_router.links = plane.messenger.links = process.links
        plane.endpoint_sync.poller = Poller(self, process)
        plane.disk = SimpleNamespace(
            write=lambda token, changes: process.loop.call_soon(plane.on_persisted, token, True),
            close=lambda: None,
        )
        self.cores[process.address] = process
        process.loop.call_soon(plane.periodic_tasks.run_maintenance)
        return process

    def start_edge(self, number: int, *cores: int) -> Process:
        """An edge whose settings name these core members."""
        settings = validate(
            programs.edge(number, seedNodes=[f"{programs.NET}.{core}:8262" for core in cores])
        )
        process = Process(
            self, number, lambda loop: DataPlane(settings, loop, Random(self.random.getrandbits(40)))
        )
        self.edges[process.address] = process
        plane = process.plane
        process.loop.call_soon(plane.control.run_instructions)
        process.loop.call_soon(plane.repeat, HEALTH_CHECK_INTERVAL_S, plane.check_health)
        return process

    def primary(self) -> Process:
        return next(core for core in self.cores.values() if core.plane.member.role == "primary")

    def stop(self, process: Process) -> None:
        process.loop.stopped = True

    # --- the platform

    def list_moves(self) -> None:
        """One upstream goes, another comes."""
        self.listed.append(self.loop.time())
        self.entries = [
            {
                "instanceId": f"i-{len(self.listed)}",
                "service": "s",
                "address": "10.9.0.1:80",
                "zone": "hall-1",
                "state": "available",
                "configVersion": "v1",
                "capacitySlots": 4,
                "coldLeftMs": 0,
            }
        ]

    def list_known(self, edge) -> int:
        """The number of the list that it holds; 0: none."""
        return max((int(name.removeprefix("i-")) for name in edge.plane.state.instances), default=0)

    # --- links

    def carry(self, sender: Process, to: str, body: bytes, number: int, answers: bool) -> None:
        way = self.way.get((sender.address, to), 0.002)
        if (sender.address, to) not in self.cuts and not sender.loop.ended:
            self.loop.call_later(way, self.arrive, sender.address, to, body, number, answers)

    def arrive(self, sender: str, to: str, body: bytes, number: int, answers: bool) -> None:
        process = self.cores.get(to) or self.edges.get(to)
        if process is not None and (sender, to) not in self.cuts:
            process.loop.run(process.arrives, sender, body, number, answers)

    def cut(self, one: Process, *others: Process, ways: str = "both") -> None:
        """`ways`: "both"; "out": `one` isn't heard by the others; "in": it doesn't hear them."""
        for other in others:
            if ways in ("both", "out"):
                self.cuts.add((one.address, other.address))
            if ways in ("both", "in"):
                self.cuts.add((other.address, one.address))

    def heal(self) -> None:
        self.cuts.clear()

    def others(self, *but: Process) -> list[Process]:
        return [core for core in self.cores.values() if core not in but]

    # --- operators

    async def put(self, version: int, *at: Process, filling: int = 0) -> None:
        """Sent to these members in turn until one of them acknowledges it."""
        base = self.taken[-1][1]
        order = PutConfiguration(base, version, configuration(version, filling))
        until = self.loop.time() + LONGEST_PUT
        while True:
            assert self.loop.time() < until, f"version {version} is never acknowledged"
            for core in at or tuple(self.cores.values()):
                answer = self.loop.create_future()
                core.plane.command_router.submit(
                    order, lambda reply, answer=answer: None if answer.done() else answer.set_result(reply)
                )
                await asyncio.wait((answer,), timeout=1.0)
                if answer.done() and answer.result() == CommandReply(200):
                    self.taken.append((self.loop.time(), version))
                    return
                await self.run(0.05)

    # --- time, and what is checked

    async def run(self, seconds: float) -> None:
        until = self.loop.time() + seconds
        while self.loop.time() < until - 1e-9:
            await asyncio.sleep(min(self.STEP, until - self.loop.time()))
            self.look()

    def version(self, edge: Process) -> int:
        routes = edge.plane.state.routes
        return 0 if routes is None else routes.version

    def look(self) -> None:
        """No edge that reaches a majority both ways serves by a version for longer than APPLY after a newer
        one was acknowledged, or by a list for longer than DRAIN after the platform's moved; none goes back.
        Each member holds all that was acknowledged before the moment as of which it says that it holds the
        newest."""
        now = self.loop.time()
        for core in self.cores.values():
            hub = core.plane.hub
            hub.check_invariants()
            core.plane.stalls.check_invariants()
            due = max((version for at, version in self.taken if at <= hub.confirmed_at), default=0)
            if hub.version < due:
                self.wrong.append(
                    f"{now:.2f}: {core.address} holds {hub.version} and counts as fresh as of "
                    f"{hub.confirmed_at:.2f}, when {due} was acknowledged"
                )
        for name, edge in self.edges.items():
            version, listed = self.version(edge), self.list_known(edge)
            if version < self.served.get(name, 0):
                self.wrong.append(f"{now:.2f}: {name} went back to {version}")
            self.served[name] = version
            in_touch = not edge.loop.stopped and self.reaches_majority(edge)
            newer = [at for at, other in self.taken if other > version]
            self.late(name, "serves", APPLY, version, newer if in_touch and version else [])
            self.late(name, "lists", DRAIN, listed, self.listed[listed:] if in_touch and listed else [])

    def late(self, name: str, what: str, bound: float, held: int, newer: list[float]) -> None:
        """`newer`: when each that is newer than what the edge holds came; none if it is out of touch."""
        now, key = self.loop.time(), (name, what)
        if not newer or self.behind.get(key, (0, held))[1] != held:
            self.behind.pop(key, None)
        if newer:
            since = max(newer[0], self.behind.setdefault(key, (now, held))[0])
            self.longest[bound] = max(self.longest[bound], now - since)
            if now - since > bound:
                self.wrong.append(f"{now:.2f}: {name} {what} {held}, one newer is {now - newer[0]:.2f} s old")

    def reaches_majority(self, edge: Process) -> bool:
        """Both ways, members that reach a majority themselves."""
        well = [core for core in self.cores.values() if not core.loop.stopped]
        together = [
            core for core in well if 2 * sum(self.joined(core, other) for other in well) > len(self.cores)
        ]
        return 2 * len(together) > len(self.cores) and all(self.joined(edge, core) for core in together)

    def joined(self, one: Process, other: Process) -> bool:
        return not {(one.address, other.address), (other.address, one.address)} & self.cuts

    def fresh_s(self, core: Process) -> float:
        """How old this member says that its word is, to an edge that holds nothing."""
        return self.loop.time() - core.plane.hub.confirmed_at
