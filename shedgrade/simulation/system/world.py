"""A simulated system: real control planes and data planes, operators, the platform's list, and a network."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from shedgrade.control_messages import ControlChange
from shedgrade.controlplane.endpoint_list_sync import ENDPOINT_LIST_ROLE
from shedgrade.controlplane.plane import ControlPlane
from shedgrade.dataplane.plane import DataPlane
from shedgrade.process_settings import Settings
from shedgrade.process_settings.validation import validate as read_settings
from shedgrade.runtime.log import logger, set_sink
from shedgrade.simulation.system.caller import SILENCE, Caller
from shedgrade.simulation.system.clients import Client
from shedgrade.simulation.system.configurations import label_of
from shedgrade.simulation.system.disk import MachineDisk
from shedgrade.simulation.system.history import Call, EdgeView, History
from shedgrade.simulation.system.isolation import ReachWatch
from shedgrade.simulation.system.machine import Machine, control_plane, data_plane
from shedgrade.simulation.system.network import Host, Network
from shedgrade.simulation.system.operators import Operator
from shedgrade.simulation.system.platform import PORT, PlatformList
from shedgrade.simulation.system.scheduler import ProcessLoop, VirtualTime
from shedgrade.simulation.system.sockets import installed

CONTROL, DIRECTORY, FRONT, READINESS, LINK = 8262, 8264, 8263, 8268, 7300  # ports
PLATFORM_IP = "10.200.0.4"
SAMPLE = 0.05  # s between two looks at who holds the duty
GRACE = 8.0  # s from SIGTERM to SIGKILL


@dataclass(frozen=True, slots=True)
class Shape:
    """What a day is made of. `tolerated`: machines lost at once that every promise outlives; the core has
    twice as many and one. Times in s, sizes in bytes, `bandwidth` in bytes a second (0: endless)."""

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
    answers_lost: float = 0.0
    silence: float = SILENCE
    datagram_loss: float = 0.02
    zones: int = 3  # at least 3
    clients: int = 0  # that look their host up, in the regions by turns
    homes: tuple[str, ...] = ()  # home regions of one of the routes
    control_plane: type[ControlPlane] = ControlPlane
    data_plane: type[DataPlane] = DataPlane


@dataclass(slots=True)
class Finished:
    """Control state that a member said is finished: at `position`, first seen at `at`."""

    position: tuple[int, int]
    version: int
    key: str
    evacuations: frozenset[str]
    at: float


class Silent:
    """Takes the programs' log lines and keeps none."""

    def __getattr__(self, name: str):
        return lambda *args, **more: None


class SystemWorld:
    """All machines of one day. Drive it by `run(until)`; everything that is called goes through `time`.

    `cores`, `edges`: machines by their order; `operators`: the callers; `finished`: control states by their
    position, as any member said them.
    """

    def __init__(self, seed: int, shape: Shape = Shape(), *, trace: bool = False, log: bool = False) -> None:
        """`trace`: events are printed; `log`: so are the programs' log lines."""
        self.seed, self.shape, self.random = seed, shape, Random(seed)
        self.time = VirtualTime()
        self.history = History(self.time)
        self.history.trace = trace
        self.log = log
        self.network = Network(
            self.time,
            Random(self.random.getrandbits(64)),
            between_s=shape.between,
            jitter=shape.jitter,
            window=shape.window,
            datagram_loss=shape.datagram_loss,
        )
        self.zones = {f"hall-{number + 1}": f"region-{number % 3 + 1}" for number in range(shape.zones)}
        self.finished: dict[tuple[int, int], Finished] = {}
        self.on_acknowledged = None  # called once with the next order that is acknowledged
        self.cores: list[Machine] = []
        self.edges: list[Machine] = []
        self.operators: list[Operator] = []
        self.reach_watch = ReachWatch(self)
        self.network.on_change = self.reach_watch.changed
        self.seeds = [f"{self.core_ip(number)}:{CONTROL}" for number in range(3)]
        for number in range(2 * shape.tolerated + 1):
            self.add_core(number)
        for number in range(shape.edges):
            self.add_edge(number)
        self.add_platform()
        for number in range(shape.operators):
            self.add_operator(number)
        self.clients = [self.add_client(number) for number in range(shape.clients)]

    # --- who there is

    @staticmethod
    def core_ip(number: int) -> str:
        return f"10.{number % 3 + 1}.0.{number + 1}"

    @staticmethod
    def region(number: int) -> str:
        return f"region-{number % 3 + 1}"

    def settings(self, machine: Machine, role: str, listen: dict[str, int], **more) -> Settings:
        ip, region = machine.host.ip, machine.host.region
        zone = next(name for name, its in self.zones.items() if its == region)
        return read_settings(
            {
                "nodeName": machine.name,
                "role": role,
                "machineClass": role,
                "servedRoles": [],
                "ipAddress": ip,
                "zone": zone,
                "region": region,
                "zones": self.zones,
                "listenAddresses": {name: f"{ip}:{port}" for name, port in listen.items()},
                "internalPortRange": [LINK, LINK + 15],
                "seedNodes": self.seeds,
                "limits": {"memoryMb": 300, "fileDescriptors": 4100},
                "toleratedLosses": {"machines": self.shape.tolerated},
                "timingBounds": {"graceS": GRACE},
                "cloudApi": {"address": f"{PLATFORM_IP}:{PORT}", "ratePerS": 40.0, "maxLagMs": 100},
                **more,
            }
        )

    def core_settings(self, machine: Machine) -> Settings:
        listen = {"control": CONTROL, "directory": DIRECTORY}
        return self.settings(machine, "core", listen, dataDir="/data", initialStart=machine.founding)

    def edge_settings(self, machine: Machine) -> Settings:
        return self.settings(machine, "edge", {"front": FRONT, "readiness": READINESS}, initialStart=False)

    def add_core(self, number: int) -> Machine:
        shape = self.shape
        host = self.network.add(Host(self.core_ip(number), self.region(number), shape.bandwidth))
        make = control_plane(self.core_settings, shape.control_plane)

        def made(loop: ProcessLoop, machine: Machine) -> ControlPlane:
            plane = make(loop, machine)
            self.observe_core(machine, plane)
            return plane

        disk = MachineDisk(Random(self.random.getrandbits(64)), shape.disk_latency)
        machine = Machine(self, f"core-{number + 1}", host, made, disk)
        machine.founding = True
        self.cores.append(machine)
        return machine

    def add_edge(self, number: int) -> Machine:
        host = self.network.add(Host(f"10.{number % 3 + 1}.1.{number + 1}", self.region(number)))
        make = data_plane(self.edge_settings, self.shape.data_plane)

        def made(loop: ProcessLoop, machine: Machine) -> DataPlane:
            plane = make(loop, machine)
            self.observe_edge(machine, plane)
            return plane

        machine = Machine(self, f"edge-{number + 1}", host, made)
        self.edges.append(machine)
        return machine

    def add_platform(self) -> None:
        host = self.network.add(Host(PLATFORM_IP, "platform"))
        random = Random(self.random.getrandbits(64))
        self.platform = Machine(
            self,
            "platform",
            host,
            lambda loop, machine: PlatformList(loop, PLATFORM_IP, list(self.zones), random),
        )

    def add_operator(self, number: int) -> Operator:
        shape = self.shape
        host = self.network.add(Host(f"10.{number % 3 + 1}.9.{number + 1}", self.region(number)))
        loop = ProcessLoop(self.time, self.network, host)
        random = Random(self.random.getrandbits(64))
        caller = Caller(
            loop, f"operator-{number + 1}", self.listed, CONTROL, random, shape.answers_lost, shape.silence
        )
        zones = list(self.zones)[number :: shape.operators] if shape.operators else []
        operator = Operator(
            self,
            f"operator-{number + 1}",
            loop,
            random,
            tuple(zones),
            caller,
            shape.pace,
            shape.padding,
            shape.at_once,
        )
        self.operators.append(operator)
        return operator

    def add_client(self, number: int) -> Client:
        region = self.region(number)
        host = self.network.add(Host(f"10.{number % 3 + 1}.8.{number + 1}", region))
        zone = next(name for name, its in self.zones.items() if its == region)
        return Client(
            self,
            f"client-{number + 1}",
            ProcessLoop(self.time, self.network, host),
            zone,
            region,
            DIRECTORY,
            Random(self.random.getrandbits(64)),
        )

    def machines(self) -> list[Machine]:
        """All that may fail."""
        return [*self.cores, *self.edges, self.platform]

    def listed(self) -> list[tuple[str, str]]:
        """Members as operators find them in their list: all, also those that are down."""
        return [(machine.name, machine.host.ip) for machine in self.cores]

    # --- what is seen

    def observe_core(self, machine: Machine, plane: ControlPlane) -> None:
        take = plane.hub.apply_control_state

        def control(now, epoch, sequence, state) -> None:
            self.saw_finished(machine, (epoch, sequence), state)
            take(now, epoch, sequence, state)

        plane.hub.apply_control_state = control

    def saw_finished(self, machine: Machine, position: tuple[int, int], state) -> None:
        configuration, zones = state.get("configuration") or b"", state.get("evacuations") or b"[]"
        version, key = int(state.get("version") or 0), label_of(configuration)
        evacuations = frozenset(zone for zone in self.zones if f'"{zone}"'.encode() in zones)
        known = self.finished.get(position)
        if known is None:
            self.finished[position] = Finished(position, version, key, evacuations, self.time.now)
            self.history.note(f"finished {position} {version} {key} {sorted(evacuations)}", machine.name)
        elif (known.version, known.key, known.evacuations) != (version, key, evacuations):
            self.history.wrong.append(
                f"two states at {position}: {known} and {version} {key} "
                f"{sorted(evacuations)} at {machine.name}"
            )

    def observe_edge(self, machine: Machine, plane: DataPlane) -> None:
        apply, held = plane.state.apply, {"key": ""}

        def applied(updates) -> None:
            updates = list(updates)
            apply(updates)
            for update in updates:
                if isinstance(update, ControlChange):
                    if update.configuration:
                        held["key"] = label_of(update.configuration)
                    self.saw_edge(machine, update, held["key"])

        plane.state.apply = applied

    def saw_edge(self, machine: Machine, change: ControlChange, key: str) -> None:
        position = change.epoch, change.sequence
        self.history.views.append(
            EdgeView(
                self.time.now,
                machine.name,
                machine.lives,
                position,
                change.version,
                key,
                tuple(change.evacuations),
            )
        )
        self.history.note(
            f"learns {position} {change.version} {key} {list(change.evacuations)}", machine.name
        )

    def acknowledged(self, call: Call) -> None:
        if self.on_acknowledged is not None:
            strike, self.on_acknowledged = self.on_acknowledged, None
            strike(call)

    def sample(self) -> None:
        """Who polls the platform's list by a lease that holds."""
        holders = [
            machine.name
            for machine in self.cores
            if machine.program is not None
            and not machine.stopped
            and machine.program.roles.is_held(ENDPOINT_LIST_ROLE, machine.loop.time())
        ]
        if len(holders) > 1:
            self.history.wrong.append(f"two hold the duty at {self.time.now:.3f}: {holders}")
        self.time.after(SAMPLE, self.sample)

    def primary(self) -> Machine | None:
        """The core machine that acts as primary, and is not stopped."""
        acting = [
            machine
            for machine in self.cores
            if machine.program is not None
            and not machine.stopped
            and machine.program.member.role == "primary"
        ]
        return max(acting, key=lambda machine: machine.program.member.epoch, default=None)

    def faults(self) -> list[str]:
        """Exceptions that no program caught."""
        found = []
        for machine in [*self.cores, *self.edges, self.platform]:
            contexts = machine.faults + (machine.loop.faults if machine.loop else [])
            found += [
                f"fault at {machine.name}: {one.get('message')}: {one.get('exception')!r}" for one in contexts
            ]
        for caller in [*self.operators, *self.clients]:
            found += [f"fault of the simulation: {one!r}" for one in caller.loop.faults]
        return found

    # --- time

    def start(self) -> None:
        """Everything starts within 0.3 s, operators a little later."""
        self.platform.start()
        for machine in [*self.cores, *self.edges]:
            self.time.after(0.3 * self.random.random(), machine.start)
        for operator in self.operators:
            self.time.after(0.5 + self.random.random(), operator.loop.call_soon, operator.start)
        for client in self.clients:
            self.time.after(0.5 + self.random.random(), client.loop.call_soon, client.start)
        self.sample()

    def run(self, until: float) -> None:
        """Plays up to that virtual time (s)."""
        before = dict(logger.__dict__)
        if not self.log:
            set_sink(Silent())
        try:
            with installed():
                self.time.run(until)
        finally:
            logger.__dict__.clear()
            logger.__dict__.update(before)

    def close(self) -> None:
        """All processes are gone; what they leave runs no more."""
        for machine in [*self.cores, *self.edges, self.platform]:
            if machine.loop is not None:
                machine.loop.end()
        for caller in [*self.operators, *self.clients]:
            caller.loop.end()
