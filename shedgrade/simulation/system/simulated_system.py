"""A simulated system: real control planes and data planes, operators, a platform API, and a network."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any

from shedgrade.control_messages import UNKNOWN_AGE_S, ControlChange, WatchResponse
from shedgrade.controlplane.endpoint_list_sync import ENDPOINT_LIST_ROLE
from shedgrade.controlplane.plane import ControlPlane
from shedgrade.controlplane.watch_hub import Deltas, PendingWatch
from shedgrade.dataplane.plane import DataPlane
from shedgrade.process_settings import Settings
from shedgrade.process_settings.validation import validate as read_settings
from shedgrade.runtime.log import logger, set_sink
from shedgrade.simulation.system.caller import ATTEMPT_TIMEOUT_S, Caller, MemberAddress
from shedgrade.simulation.system.clients import Client
from shedgrade.simulation.system.configurations import label_of
from shedgrade.simulation.system.disk import MachineDisk
from shedgrade.simulation.system.findings import Finding, FindingKind
from shedgrade.simulation.system.history import (
    CommittedState,
    EdgeView,
    History,
    Operation,
    Position,
    WatchAnswer,
)
from shedgrade.simulation.system.host import Host
from shedgrade.simulation.system.machine import Machine, control_plane, data_plane
from shedgrade.simulation.system.message_faults import DelayedMessages
from shedgrade.simulation.system.network import Network
from shedgrade.simulation.system.operators import Operator
from shedgrade.simulation.system.patched_modules import patched_modules
from shedgrade.simulation.system.platform import PORT, PlatformList
from shedgrade.simulation.system.process_loop import ProcessLoop, new_process_loop
from shedgrade.simulation.system.reachability import ReachabilityMonitor
from shedgrade.simulation.system.replication_monitor import ReplicationMonitor
from shedgrade.simulation.system.virtual_time import VirtualTime

CONTROL, DIRECTORY, FRONT, READINESS, LINK = 8262, 8264, 8263, 8268, 7300  # ports
PLATFORM_IP = "10.200.0.4"
LEASE_CHECK_INTERVAL_S = 0.05  # for the lease of the poller
GRACE_S = 8.0  # from SIGTERM to SIGKILL
START_WITHIN_S = 0.3  # in which all machines start


@dataclass(frozen=True, slots=True)
class SystemParameters:
    """Parameters of a run. Times in s, sizes in bytes, `bandwidth` in bytes per second (0: unlimited).

    Attributes:
        tolerated: machine losses at one time under which every guarantee holds; the core has
            2 * `tolerated` + 1 machines.
        edges, operators, clients: number of each. Clients look up their host; regions are assigned in turn.
        at_once: most operations that an operator has in progress at the same time.
        length: length of the part of the run with faults.
        between: one-way delay between regions.
        jitter: largest random addition to a delay, as a share of the delay.
        window: window of a TCP connection.
        disk_latency: mean time of a disk write.
        padding: bytes added to each configuration.
        pace: mean pause of an operator between two operations.
        response_loss: probability that the answer to an operator's request is lost.
        datagram_loss: probability that a datagram is lost.
        delayed: share of the replication messages that are delivered a second time, seconds later.
        attempt_timeout: time without an answer after which an operator retries.
        zones: number of zones, at least 3.
        homes: home regions of one of the routes.
        control_plane, data_plane: the programs under test.
    """

    tolerated: int = 1
    edges: int = 2
    operators: int = 2
    at_once: int = 4
    length: float = 20.0
    between: float = 0.02
    jitter: float = 0.1
    bandwidth: float = 0.0
    window: int = 128 * 1024
    disk_latency: float = 0.005
    padding: int = 0
    pace: float = 0.4
    response_loss: float = 0.0
    delayed: float = 0.0
    attempt_timeout: float = ATTEMPT_TIMEOUT_S
    datagram_loss: float = 0.02
    zones: int = 3
    clients: int = 0
    homes: tuple[str, ...] = ()
    control_plane: type[ControlPlane] = ControlPlane
    data_plane: type[DataPlane] = DataPlane


DEFAULT_PARAMETERS = SystemParameters()


class DiscardingLogger:
    """Discards the programs' log lines."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *args, **kwargs: None


class SimulatedSystem:
    """All machines of one run, driven by `run(until)`. Every event is scheduled on `time`.

    Attributes:
        cores, edges: machines in the order of their numbers.
        platform: the machine that serves the platform's list.
        operators, clients: senders of requests.
        zones: region of each zone.
        seeds: addresses of the first three core machines, the seed nodes of every process.
        cores_made: number of core machines made so far, including replaced ones.
        committed_states: control states that any member reported as committed, by position.
        monitor: checks the replication messages and the disks of the core members.
        delayed_messages: delivers some replication messages a second time, later.
        on_acknowledged: called once, with the next change or zone command that is acknowledged.
    """

    def __init__(
        self,
        seed: int,
        parameters: SystemParameters = DEFAULT_PARAMETERS,
        *,
        trace: bool = False,
        log: bool = False,
    ) -> None:
        """`trace`: print events; `log`: print the programs' log lines too. The order of the random draws is
        fixed, so a seed always stands for the same history."""
        self.seed = seed
        self.parameters = parameters
        self.random = Random(seed)
        self.time = VirtualTime()
        self.history = History(self.time)
        self.history.trace = trace
        self.log = log
        self.network = Network(
            self.time,
            Random(self.random.getrandbits(64)),
            inter_region_delay_s=parameters.between,
            jitter=parameters.jitter,
            window=parameters.window,
            datagram_loss=parameters.datagram_loss,
        )
        self.zones = {f"hall-{number + 1}": self.region(number) for number in range(parameters.zones)}
        self.committed_states: dict[Position, CommittedState] = {}
        self.on_acknowledged: Callable[[Operation], None] | None = None
        self.cores: list[Machine[ControlPlane]] = []
        self.edges: list[Machine[DataPlane]] = []
        self.reachability = ReachabilityMonitor(self)
        self.monitor = ReplicationMonitor(self)
        self.delayed_messages = DelayedMessages(self, parameters.delayed, Random(f"delayed {seed}"))
        self.network.on_change = self.reachability.update
        self.cores_made = 2 * parameters.tolerated + 1
        self.seeds = [f"{self.core_ip(number)}:{CONTROL}" for number in range(3)]
        for number in range(2 * parameters.tolerated + 1):
            self.cores.append(self.make_core(number))
        for number in range(parameters.edges):
            self.edges.append(self.make_edge(number))
        self.platform = self.make_platform()
        self.operators = [self.make_operator(number) for number in range(parameters.operators)]
        self.clients = [self.make_client(number) for number in range(parameters.clients)]

    # --- addresses and settings

    @staticmethod
    def core_ip(number: int) -> str:
        """The IP address of a core machine; numbers start at 0."""
        return f"10.{number % 3 + 1}.0.{number + 1}"

    @staticmethod
    def region(number: int) -> str:
        """The region of the machine, operator, client or zone with this number."""
        return f"region-{number % 3 + 1}"

    def zone_of(self, region: str) -> str:
        """The first zone of a region."""
        return next(zone for zone, its_region in self.zones.items() if its_region == region)

    def settings(
        self, machine: Machine[Any], role: str, listen: Mapping[str, int], **overrides: Any
    ) -> Settings:
        """The settings of a process, as read from its settings file."""
        ip, region = machine.host.ip, machine.host.region
        return read_settings(
            {
                "nodeName": machine.name,
                "role": role,
                "machineClass": role,
                "servedRoles": [],
                "ipAddress": ip,
                "zone": self.zone_of(region),
                "region": region,
                "zones": self.zones,
                "listenAddresses": {name: f"{ip}:{port}" for name, port in listen.items()},
                "internalPortRange": [LINK, LINK + 15],
                "seedNodes": self.seeds,
                "limits": {"memoryMb": 300, "fileDescriptors": 4100},
                "toleratedLosses": {"machines": self.parameters.tolerated},
                "timingBounds": {"graceS": GRACE_S},
                "cloudApi": {"address": f"{PLATFORM_IP}:{PORT}", "ratePerS": 40.0, "maxLagMs": 100},
                **overrides,
            }
        )

    def core_settings(self, machine: Machine[ControlPlane]) -> Settings:
        """The settings of a control plane."""
        listen = {"control": CONTROL, "directory": DIRECTORY}
        return self.settings(machine, "core", listen, dataDir="/data", initialStart=machine.founding)

    def edge_settings(self, machine: Machine[DataPlane]) -> Settings:
        """The settings of a data plane."""
        return self.settings(machine, "edge", {"front": FRONT, "readiness": READINESS}, initialStart=False)

    # --- machines, operators, clients

    def make_core(self, number: int) -> Machine[ControlPlane]:
        """A core machine that has never been started."""
        host = Host(self.core_ip(number), self.region(number), self.parameters.bandwidth)
        self.network.add(host)
        make = control_plane(self.core_settings, self.parameters.control_plane)

        def make_observed(loop: ProcessLoop, machine: Machine[ControlPlane]) -> ControlPlane:
            plane = make(loop, machine)
            self.observe_core(machine, plane)
            return plane

        disk = MachineDisk(Random(self.random.getrandbits(64)), self.parameters.disk_latency)
        machine = Machine(self, f"core-{number + 1}", host, make_observed, disk)
        machine.founding = True
        return machine

    def replace_core(self, replaced: Machine[ControlPlane]) -> Machine[ControlPlane]:
        """Replaces a lost machine by a new one with an empty disk and without power, in the same region."""
        self.cores_made += 1
        number = int(replaced.name.split("-")[1]) - 1 + 3 * self.cores_made  # in the same region
        successor = self.make_core(number)
        successor.founding = False
        successor.host.powered = False
        self.cores[self.cores.index(replaced)] = successor
        self.history.log(f"replaces {replaced.name}", successor.name)
        return successor

    def core_at(self, address: str) -> Machine[ControlPlane] | None:
        """The core machine with this link address, None if there is none."""
        ip = address.partition(":")[0]
        return next((machine for machine in self.cores if machine.host.ip == ip), None)

    def make_edge(self, number: int) -> Machine[DataPlane]:
        """An edge machine that has never been started."""
        host = self.network.add(Host(f"10.{number % 3 + 1}.1.{number + 1}", self.region(number)))
        make = data_plane(self.edge_settings, self.parameters.data_plane)

        def make_observed(loop: ProcessLoop, machine: Machine[DataPlane]) -> DataPlane:
            plane = make(loop, machine)
            self.observe_edge(machine, plane)
            return plane

        return Machine(self, f"edge-{number + 1}", host, make_observed)

    def make_platform(self) -> Machine[PlatformList]:
        """The machine that serves the platform's list."""
        host = self.network.add(Host(PLATFORM_IP, "platform"))
        random = Random(self.random.getrandbits(64))

        def make(loop: ProcessLoop, machine: Machine[PlatformList]) -> PlatformList:
            return PlatformList(loop, PLATFORM_IP, list(self.zones), random)

        return Machine(self, "platform", host, make)

    def make_operator(self, number: int) -> Operator:
        """An operator, with its own share of the zones."""
        parameters = self.parameters
        name = f"operator-{number + 1}"
        host = self.network.add(Host(f"10.{number % 3 + 1}.9.{number + 1}", self.region(number)))
        loop = new_process_loop(self.time, self.network, host)
        random = Random(self.random.getrandbits(64))
        caller = Caller(
            loop, name, self.members, CONTROL, random, parameters.response_loss, parameters.attempt_timeout
        )
        zones = tuple(list(self.zones)[number :: parameters.operators])
        return Operator(
            self, name, loop, random, zones, caller, parameters.pace, parameters.padding, parameters.at_once
        )

    def make_client(self, number: int) -> Client:
        """A client of the directories."""
        region = self.region(number)
        host = self.network.add(Host(f"10.{number % 3 + 1}.8.{number + 1}", region))
        loop = new_process_loop(self.time, self.network, host)
        random = Random(self.random.getrandbits(64))
        zone = self.zone_of(region)
        return Client(self, f"client-{number + 1}", loop, zone, region, DIRECTORY, random)

    def machines(self) -> list[Machine[Any]]:
        """All machines that may fail."""
        return [*self.cores, *self.edges, self.platform]

    def members(self) -> list[MemberAddress]:
        """The core members as operators list them: all of them, including those that are down."""
        return [MemberAddress(machine.name, machine.host.ip) for machine in self.cores]

    def primary(self) -> Machine[ControlPlane] | None:
        """The core machine that acts as primary and is not stopped; the one with the newest epoch if several
        do, None if none does."""
        newest, newest_epoch = None, -1
        for machine in self.cores:
            program = machine.program
            if program is None or machine.stopped or program.member.role != "primary":
                continue
            if program.member.epoch > newest_epoch:
                newest, newest_epoch = machine, program.member.epoch
        return newest

    # --- observation

    def observe_core(self, machine: Machine[ControlPlane], plane: ControlPlane) -> None:
        """Records the states that a control plane reports as committed, and its answers and messages."""
        self.monitor.observe(machine, plane)
        self.observe_watch_answers(machine, plane)
        apply_control_state = plane.hub.apply_control_state

        def observed_apply(now: float, epoch: int, sequence: int, state: Mapping[str, bytes]) -> None:
            self.record_committed(machine, (epoch, sequence), state)
            apply_control_state(now, epoch, sequence, state)

        setattr(plane.hub, "apply_control_state", observed_apply)  # noqa: B010 (type checkers reject the assignment)

    def observe_watch_answers(self, machine: Machine[ControlPlane], plane: ControlPlane) -> None:
        """Records as of which time a control plane's answer confirms the state that an edge then holds."""
        original_answer = plane.hub.respond_to

        def observed_answer(now: float, watch: PendingWatch, deltas: Deltas) -> None:
            def respond(response: WatchResponse) -> None:
                if response.primary_age_s < UNKNOWN_AGE_S:
                    change = response.control
                    position = (change.epoch, change.sequence) if change else watch.request.control_version
                    confirmed_at = self.time.now - response.primary_age_s
                    self.history.watch_answers.append(
                        WatchAnswer(
                            self.time.now, machine.name, watch.request.edge.name, position, confirmed_at
                        )
                    )
                watch.respond(response)

            original_answer(now, PendingWatch(watch.request, respond, watch.received_at), deltas)

        setattr(plane.hub, "respond_to", observed_answer)  # noqa: B010

    def record_committed(
        self, machine: Machine[ControlPlane], position: Position, state: Mapping[str, bytes]
    ) -> None:
        """Records a committed state that a member reports. All members must report the same state at a
        position."""
        zones = state.get("evacuations") or b"[]"
        committed = CommittedState(
            position,
            int(state.get("version") or 0),
            label_of(state.get("configuration") or b""),
            frozenset(zone for zone in self.zones if f'"{zone}"'.encode() in zones),
            self.time.now,
        )
        self.monitor.record_committed_position(machine, position)
        known = self.committed_states.get(position)
        if known is None:
            self.committed_states[position] = committed
            evacuations = sorted(committed.evacuations)
            self.history.log(
                f"committed {position} {committed.version} {committed.key} {evacuations}", machine.name
            )
        elif not known.is_same_state(committed):
            detail = f"at {position}: {known} and {committed} at {machine.name}"
            self.history.violations.append(Finding(FindingKind.DIVERGENT_STATES, detail))

    def observe_edge(self, machine: Machine[DataPlane], plane: DataPlane) -> None:
        """Records the control states that an edge applies."""
        original_apply = plane.state.apply
        key = ""

        def applied(updates: Iterable[object]) -> None:
            nonlocal key
            updates = list(updates)
            original_apply(updates)
            for update in updates:
                if isinstance(update, ControlChange):
                    if update.configuration:
                        key = label_of(update.configuration)
                    self.record_edge_view(machine, update, key)

        setattr(plane.state, "apply", applied)  # noqa: B010 (type checkers reject the assignment)

    def record_edge_view(self, machine: Machine[DataPlane], change: ControlChange, key: str) -> None:
        """Records that an edge has applied a control state; `key`: the key of its configuration."""
        position = change.epoch, change.sequence
        evacuations = tuple(change.evacuations)
        view = EdgeView(
            self.time.now,
            machine.name,
            machine.incarnation,
            position,
            change.configuration_version,
            key,
            evacuations,
        )
        self.history.views.append(view)
        self.history.log(
            f"applied {position} {change.configuration_version} {key} {list(evacuations)}", machine.name
        )

    def acknowledged(self, operation: Operation) -> None:
        """Called when a change or a zone command is acknowledged; some faults are injected at that moment."""
        if self.on_acknowledged is not None:
            inject, self.on_acknowledged = self.on_acknowledged, None
            inject(operation)

    def check_poller_lease(self) -> None:
        """Checks periodically that at most one core machine holds the lease for polling the platform."""
        holders = [
            machine.name
            for machine in self.cores
            if machine.loop is not None
            and machine.program is not None
            and not machine.stopped
            and machine.program.roles.is_held(ENDPOINT_LIST_ROLE, machine.loop.time())
        ]
        if len(holders) > 1:
            detail = f"at {self.time.now:.3f}: {holders}"
            self.history.violations.append(Finding(FindingKind.TWO_LEASE_HOLDERS, detail))
        self.time.after(LEASE_CHECK_INTERVAL_S, self.check_poller_lease)

    def faults(self) -> list[Finding]:
        """Findings for uncaught exceptions of the programs, and of the simulated operators and clients."""
        findings: list[Finding] = []
        for machine in self.machines():
            contexts = machine.faults + (machine.loop.faults if machine.loop else [])
            findings += [
                Finding(
                    FindingKind.PROGRAM_FAULT,
                    f"at {machine.name}: {context.get('message')}: {context.get('exception')!r}",
                )
                for context in contexts
            ]
        for loop in self.caller_loops():
            findings += [Finding(FindingKind.SIMULATION_FAULT, repr(context)) for context in loop.faults]
        return findings

    def caller_loops(self) -> list[ProcessLoop]:
        """The event loops of operators and clients."""
        return [operator.loop for operator in self.operators] + [client.loop for client in self.clients]

    def check_invariants(self) -> None:
        """AssertionError if a machine, the network or a program is in an inconsistent state."""
        for machine in self.machines():
            machine.check_invariants()
        self.network.check_invariants()

    # --- time

    def start(self) -> None:
        """Starts all machines within START_WITHIN_S, and operators and clients a little later."""
        self.platform.start()
        starting: list[Machine[Any]] = [*self.cores, *self.edges]
        for machine in starting:
            self.time.after(START_WITHIN_S * self.random.random(), machine.start)
        for operator in self.operators:
            self.time.after(0.5 + self.random.random(), operator.loop.call_soon, operator.start)
        for client in self.clients:
            self.time.after(0.5 + self.random.random(), client.loop.call_soon, client.start)
        self.check_poller_lease()

    def run(self, until: float) -> None:
        """Runs the system up to the virtual time `until` (s)."""
        before = dict(logger.__dict__)
        if not self.log:
            set_sink(DiscardingLogger())
        try:
            with patched_modules():
                self.time.run(until)
        finally:
            logger.__dict__.clear()
            logger.__dict__.update(before)

    def close(self) -> None:
        """Ends all processes; none of their pending events run any more."""
        for machine in self.machines():
            if machine.loop is not None:
                machine.loop.end()
        for loop in self.caller_loops():
            loop.end()
