"""Real control planes and data planes in virtual time, over links that a test cuts in one or both directions.

Each process has a loop of its own that a test can stop and resume, as SIGSTOP and SIGCONT do: messages that
arrive meanwhile are read after it resumes, after the timers that became due. Disks sync at once. A stub of
the poller provides the platform's list, with one call every 0.4 s by the member that holds the role.
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

APPLY_LIMIT_S = 3.0  # `configApplyMs` in the docs: within it, a connected edge serves a new configuration
DRAIN_LIMIT_S = 4.0  # `drainMs` in the docs: within it, a connected edge has the platform's current list
PUT_TIMEOUT_S = 30.0  # within which a change must be acknowledged
POLL_INTERVAL_S = 0.4  # between two calls of the platform
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
    """The virtual loop as one process sees it. While the process is stopped, its callbacks are held back."""

    def __init__(self, inner: VirtualLoop) -> None:
        self.inner, self.stopped, self.ended, self.waiting_calls = inner, False, False, []

    def time(self) -> float:
        return self.inner.time()

    def run(self, call, *args) -> None:
        if self.ended:
            return
        if self.stopped:
            self.waiting_calls.append((call, args))
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

    def resume(self) -> None:
        self.stopped = False
        waiting_calls, self.waiting_calls = self.waiting_calls, []
        for call, args in waiting_calls:
            self.run(call, *args)


class Links:
    """Replaces `peer_transport.tcp.PeerConnectionPool`: sends frames over the cluster's network."""

    def __init__(self, cluster, process) -> None:
        self.cluster, self.process, self.call_numbers, self.calls = cluster, process, count(1), {}

    def send(self, to: str, body: bytes) -> None:
        self.cluster.transmit(self.process, to, body, 0, False)

    async def call(self, to: str, body: bytes, timeout: float) -> bytes:
        number, response = next(self.call_numbers), self.cluster.loop.create_future()
        self.calls[number] = response
        self.process.loop.call_later(timeout, self.expire, number)
        self.cluster.transmit(self.process, to, body, number, False)
        return await response

    def expire(self, number: int) -> None:
        response = self.calls.pop(number, None)
        if response is not None and not response.done():
            response.set_exception(PeerCallError("no response in time"))

    def handle_response(self, number: int, body: bytes) -> None:
        response = self.calls.pop(number, None)
        if response is not None and not response.done():
            response.set_result(body)

    def close(self) -> None:
        pass


class Poller:
    """Replaces `platform_poller.Poller`: reads the endpoint entries of the cluster."""

    def __init__(self, cluster, process) -> None:
        self.cluster, self.process, self.consecutive_failures, self.poll_generation = cluster, process, 0, 0

    def start(self, term: int) -> None:
        self.process.plane.endpoint_list.begin_term(term, 0)
        self.poll_generation += 1
        self.poll(self.poll_generation)

    def stop(self) -> None:
        self.poll_generation += 1

    def poll(self, poll_generation: int) -> None:
        cluster, process = self.cluster, self.process
        if poll_generation != self.poll_generation:
            return
        if (process.address, PLATFORM) in cluster.cuts:
            self.consecutive_failures += 1
        else:
            self.consecutive_failures = 0
            cluster.polls.append((cluster.loop.time(), process.address))
            changed = process.plane.endpoint_list.apply_poll(cluster.loop.time(), cluster.endpoint_entries)
            process.plane.endpoint_sync.on_polled(changed)
        process.loop.call_later(POLL_INTERVAL_S, self.poll, poll_generation)


class Process:
    """A core member or an edge. `plane` is its real `ControlPlane` or `DataPlane`."""

    def __init__(self, cluster, number: int, make) -> None:
        self.cluster, self.number, self.address = cluster, number, address(number)
        self.loop = ProcessLoop(cluster.loop)
        self.plane = make(self.loop)
        self.links = self.plane.peer_connections = Links(cluster, self)
        if isinstance(self.plane, DataPlane):
            self.plane.control.peer_connections = self.plane.loads.peer_connections = self.links

    def receive(self, sender: str, body: bytes, number: int, is_response: bool) -> None:
        if is_response:
            self.links.handle_response(number, body)
        else:
            self.plane.dispatcher.dispatch(
                sender,
                body,
                lambda response: self.cluster.transmit(self, sender, response, number, number > 0),
            )


class PartitionTestCluster:
    """A cluster of `cores` members that tolerates `tolerated` losses, and of edges that a test starts.

    `check` runs every CHECK_INTERVAL_S.

    Attributes:
        cuts: pairs of (sender, receiver) addresses whose messages are lost.
        delay_s: one-way delay by (sender, receiver) addresses, in s.
        list_changed_at: when the platform's list changed; the n-th list has the endpoint `i-n`.
        acknowledged: when each version was acknowledged, and its number.
        behind: by edge and kind of state, since when a connected edge has an outdated one, and which.
        longest_lag_s: by limit, the longest time for which an edge had an outdated state.
        served: by edge, the version that it served at the last check.
        violations: descriptions of all violations that `check` found.
    """

    CHECK_INTERVAL_S = 0.05

    def __init__(self, loop: VirtualLoop, folder, cores: int = 3, tolerated: int = 1, seed: int = 1) -> None:
        self.loop, self.folder, self.tolerated, self.random = loop, folder, tolerated, Random(seed)
        self.cuts: set[tuple[str, str]] = set()
        self.delay_s: dict[tuple[str, str], float] = {}
        self.endpoint_entries: list[dict] = []
        self.list_changed_at: list[float] = []
        self.change_list()
        self.polls: list[tuple[float, str]] = []
        self.cores: dict[str, Process] = {}
        self.edges: dict[str, Process] = {}
        self.acknowledged: list[tuple[float, int]] = [(0.0, 0)]
        self.behind: dict[tuple[str, str], tuple[float, int]] = {}
        self.longest_lag_s = {APPLY_LIMIT_S: 0.0, DRAIN_LIMIT_S: 0.0}
        self.served: dict[str, int] = {}
        self.violations: list[str] = []
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
        plane.command_router.peer_connections = plane.messenger.peer_connections = process.links
        plane.endpoint_sync.poller = Poller(self, process)
        plane.disk = SimpleNamespace(
            write=lambda token, changes: process.loop.call_soon(plane.on_persisted, token, True),
            close=lambda: None,
        )
        self.cores[process.address] = process
        process.loop.call_soon(plane.periodic_tasks.run_maintenance)
        return process

    def start_edge(self, number: int, *cores: int) -> Process:
        """Starts an edge whose settings name these core members as seeds."""
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

    def change_list(self) -> None:
        """Replaces the only endpoint of the platform's list by another one."""
        self.list_changed_at.append(self.loop.time())
        self.endpoint_entries = [
            {
                "instanceId": f"i-{len(self.list_changed_at)}",
                "service": "s",
                "address": "10.9.0.1:80",
                "zone": "hall-1",
                "state": "available",
                "configVersion": "v1",
                "capacitySlots": 4,
                "coldLeftMs": 0,
            }
        ]

    def known_list_number(self, edge) -> int:
        """Returns the number of the list that the edge has; 0 if it has none."""
        return max((int(name.removeprefix("i-")) for name in edge.plane.state.instances), default=0)

    # --- links

    def transmit(self, sender: Process, to: str, body: bytes, number: int, is_response: bool) -> None:
        delay_s = self.delay_s.get((sender.address, to), 0.002)
        if (sender.address, to) not in self.cuts and not sender.loop.ended:
            self.loop.call_later(delay_s, self.deliver, sender.address, to, body, number, is_response)

    def deliver(self, sender: str, to: str, body: bytes, number: int, is_response: bool) -> None:
        process = self.cores.get(to) or self.edges.get(to)
        if process is not None and (sender, to) not in self.cuts:
            process.loop.run(process.receive, sender, body, number, is_response)

    def cut(self, first: Process, *others: Process, ways: str = "both") -> None:
        """Cuts the links between `first` and the others. `ways`: "out" drops the messages that `first` sends,
        "in" those sent to it, "both" all of them."""
        for other in others:
            if ways in ("both", "out"):
                self.cuts.add((first.address, other.address))
            if ways in ("both", "in"):
                self.cuts.add((other.address, first.address))

    def heal(self) -> None:
        self.cuts.clear()

    def others(self, *excluded: Process) -> list[Process]:
        return [core for core in self.cores.values() if core not in excluded]

    # --- operators

    async def put(self, version: int, *at: Process, filling: int = 0) -> None:
        """Sends a configuration to these members in turn until one of them acknowledges it."""
        base = self.acknowledged[-1][1]
        command = PutConfiguration(base, version, configuration(version, filling))
        until = self.loop.time() + PUT_TIMEOUT_S
        while True:
            assert self.loop.time() < until, f"version {version} is never acknowledged"
            for core in at or tuple(self.cores.values()):
                response = self.loop.create_future()
                core.plane.command_router.submit(
                    command,
                    lambda reply, response=response: None if response.done() else response.set_result(reply),
                )
                await asyncio.wait((response,), timeout=1.0)
                if response.done() and response.result() == CommandReply(200):
                    self.acknowledged.append((self.loop.time(), version))
                    return
                await self.run(0.05)

    # --- time and checks

    async def run(self, seconds: float) -> None:
        until = self.loop.time() + seconds
        while self.loop.time() < until - 1e-9:
            await asyncio.sleep(min(self.CHECK_INTERVAL_S, until - self.loop.time()))
            self.check()

    def version(self, edge: Process) -> int:
        routes = edge.plane.state.routes
        return 0 if routes is None else routes.version

    def check(self) -> None:
        """Adds a violation if an edge that reaches a majority in both directions serves a version for longer
        than APPLY_LIMIT_S after a newer one was acknowledged, or a list for longer than DRAIN_LIMIT_S after
        the platform's list changed, or if an edge returns to an older version; also if a member lacks a
        version that was acknowledged before the time as of which it claims to be up to date."""
        now = self.loop.time()
        for core in self.cores.values():
            hub = core.plane.hub
            hub.check_invariants()
            core.plane.stalls.check_invariants()
            expected = max(
                (version for at, version in self.acknowledged if at <= hub.confirmed_at), default=0
            )
            if hub.version < expected:
                self.violations.append(
                    f"{now:.2f}: {core.address} has version {hub.version} and claims to be up to date as of "
                    f"{hub.confirmed_at:.2f}, when {expected} was acknowledged"
                )
        for name, edge in self.edges.items():
            version, list_number = self.version(edge), self.known_list_number(edge)
            if version < self.served.get(name, 0):
                self.violations.append(f"{now:.2f}: {name} returned to version {version}")
            self.served[name] = version
            is_in_contact = not edge.loop.stopped and self.reaches_majority(edge)
            newer = [at for at, other in self.acknowledged if other > version]
            self.check_lag(name, "serves", APPLY_LIMIT_S, version, newer if is_in_contact and version else [])
            self.check_lag(
                name,
                "lists",
                DRAIN_LIMIT_S,
                list_number,
                self.list_changed_at[list_number:] if is_in_contact and list_number else [],
            )

    def check_lag(self, name: str, verb: str, bound: float, version_held: int, newer: list[float]) -> None:
        """Adds a violation if the edge has had an outdated state for longer than `bound`. `newer`: when each
        newer state than the edge's appeared; empty if the edge is cut off."""
        now, key = self.loop.time(), (name, verb)
        if not newer or self.behind.get(key, (0, version_held))[1] != version_held:
            self.behind.pop(key, None)
        if newer:
            since = max(newer[0], self.behind.setdefault(key, (now, version_held))[0])
            self.longest_lag_s[bound] = max(self.longest_lag_s[bound], now - since)
            if now - since > bound:
                self.violations.append(
                    f"{now:.2f}: {name} {verb} {version_held}, a newer one is {now - newer[0]:.2f} s old"
                )

    def reaches_majority(self, edge: Process) -> bool:
        """Returns whether the edge reaches, in both directions, a majority of members that reach one
        themselves."""
        running = [core for core in self.cores.values() if not core.loop.stopped]
        connected = [
            core
            for core in running
            if 2 * sum(self.is_connected(core, other) for other in running) > len(self.cores)
        ]
        return 2 * len(connected) > len(self.cores) and all(
            self.is_connected(edge, core) for core in connected
        )

    def is_connected(self, first: Process, other: Process) -> bool:
        return not {(first.address, other.address), (other.address, first.address)} & self.cuts

    def control_age_s(self, core: Process) -> float:
        """Returns the age of the control state that this member states to an edge without any."""
        return self.loop.time() - core.plane.hub.confirmed_at
