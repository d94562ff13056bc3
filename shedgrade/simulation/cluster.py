"""A core in virtual time: machines, links, clients, faults by seed, and the check of what was observed."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random

from shedgrade.replication import Decision, Member, Message, Timing
from shedgrade.simulation.checkers import check
from shedgrade.simulation.clients import Client, CounterClient, OperatorClient, ReaderClient
from shedgrade.simulation.clock import Scheduler
from shedgrade.simulation.fault_injector import CATCH_UP_S
from shedgrade.simulation.fault_schedule import FaultSchedule
from shedgrade.simulation.history import History, LoggedEvent, TimeSpan
from shedgrade.simulation.machine import Machine
from shedgrade.simulation.network import Network
from shedgrade.simulation.register import Request, decide

START_WITHIN_S = 0.3  # all machines
FAST_LINK = 4_000_000.0  # bytes a second
RECOVERY_S = 12.0  # after the last fault, in which clients go on
LAST_OPERATIONS_S = 6.0  # for operations that are under way when clients stop
FINAL_READ_S = 3.0


class SimulatedCluster:
    """One run: 2 * `tolerated` + 1 machines, three of them seeds, and at times spare ones.

    Attributes:
        tolerated: machines lost at once that every promise outlives.
        profile: "calm" injects no faults; "fair" keeps losses within what is tolerated and checks times;
            "storm" cuts and kills without bound, wipes nothing, and checks safety only; in "deaths" the
            primary dies again and again; "members" loses disks and machines, and others as soon as the first
            count again.
        bounded: losses stay within what is tolerated.
        split: a storm of partitions alone.
        length: seconds of virtual time with faults.
        trace: events are printed; "messages": all messages too.
        padding: bytes by which a configuration is longer than its payload.
        pace: mean pause between two operations of a client is half of it, seconds.
        machines: those that exist now; a replaced machine is removed.
        machines_made, payloads, tickets: how many were ever made, to number the next.
        on_acknowledged: called once, with the machine that acknowledges the next change.
    """

    def __init__(
        self,
        seed: int,
        tolerated: int = 1,
        profile: str = "fair",
        member_class: type[Member] = Member,
        length: float = 20.0,
        trace: bool | str = False,
    ) -> None:
        """Draws the run's links, disks and timing from the seed. The order of the draws is fixed: a seed
        stands for the same history for good."""
        self.seed = seed
        self.random = Random(seed)
        self.clock = Scheduler()
        self.history = History()
        self.tolerated = tolerated
        self.profile = profile
        self.member_class = member_class
        self.length = length
        self.trace = trace
        self.bounded = profile in ("fair", "members")
        self.network = self.draw_network()
        self.padding = self.random.choice((0, 0, 0, 0, 0, 20_000, 100_000, 300_000))
        if profile == "members" and self.padding >= 100_000 and self.network.bandwidth:
            # Half of catchUpS is the goal where a whole state is transferred in a tenth of a second.
            self.network.bandwidth = FAST_LINK
        self.decide: Callable[[Mapping[str, bytes], Request], Decision] = (
            self.decide_padded if self.padding else decide
        )
        self.machines: list[Machine] = []
        self.by_address: dict[str, Machine] = {}
        self.machines_made = 0
        self.payloads = 0
        self.tickets = 0
        self.pace = self.random.choice((0.1, 0.4, 1.0)) if self.padding < 50_000 else 2.0
        self.seeds: tuple[str, ...] = tuple(f"10.{at % 3 + 1}.0.{at + 1}:7300" for at in range(3))
        self.add_first_machines()
        self.timing = Timing()
        self.split = profile == "storm" and self.random.random() < 0.4
        if profile == "storm":
            self.timing = self.draw_timing()
        self.fault_schedule = FaultSchedule(self)
        self.clients: list[Client] = [
            OperatorClient(self, "a"),
            OperatorClient(self, "b"),
            CounterClient(self, "c"),
            ReaderClient(self, "d"),
            ReaderClient(self, "e"),
        ]
        self.on_acknowledged: Callable[[Machine], None] | None = None

    # --- what is drawn

    def draw_network(self) -> Network:
        """Links with drawn delays; in some storms they lose and duplicate messages."""
        draw = self.random
        between_s = draw.choice((0.0005, 0.02, 0.035, 0.055))
        lossy = draw.random() < (0.6 if self.profile == "storm" else 0.0)
        return Network(
            self.clock,
            draw,
            self.deliver,
            between_s=between_s,
            loss=draw.choice((0.01, 0.05, 0.15)) if lossy else 0.0,
            duplication=0.05 if lossy else 0.0,
            jitter=draw.choice((0.02, 0.1, 0.5)),
            bandwidth=draw.choice((0.0, 500_000.0, FAST_LINK)),
        )

    def add_first_machines(self) -> None:
        """The machines of the core, and at times some more than it has places for."""
        storm = self.profile == "storm"
        sync_s = self.random.choice((0.002, 0.005, 0.03, 0.08)[: 4 if storm else 3])
        for at in range(2 * self.tolerated + 1):
            self.add(f"r{at % 3}", f"10.{at % 3 + 1}.0.{at + 1}:7300", sync_s)
        spares = self.random.choice((0, 1, 2) if storm else (0, 0, 0, 1))
        for at in range(spares):
            self.add(f"r{at}", f"10.{at + 1}.0.99:7300", sync_s)

    def draw_timing(self) -> Timing:
        """Time-outs of the members in a storm: no safety property may depend on them."""
        draw = self.random
        silent, deaf = draw.choice(((0.6, 0.8), (0.6, 6.0), (3.0, 6.0))[2 * self.split :])
        return Timing(
            primary_timeout_s=draw.choice((0.35, 0.55)),
            peer_timeout_s=silent,
            majority_timeout_s=deaf,
            write_timeout_s=10.0 if self.split else 0.45,
            member_replacement_timeout_s=draw.choice((0.3, 2.5)[self.split :]),
            election_stagger_s=draw.choice((0.0, 0.15)),
        )

    # --- what machines and clients use

    def decide_padded(self, state: Mapping[str, bytes], request: Request) -> Decision:
        """As `register.decide`, with a longer configuration."""
        decision = decide(state, request)
        configuration = decision.changes.get("configuration")
        if configuration is not None:
            decision.changes["configuration"] = configuration + bytes(self.padding)
        return decision

    def add(self, region: str, address: str, sync_s: float) -> Machine:
        """A new machine with an empty disk, whose writes take `sync_s` on average. It is not started."""
        self.machines_made += 1
        machine = Machine(self, f"m{self.machines_made}", address, region)
        if self.clock.now:  # the operators' list as it stands when this machine's settings are written
            machine.seeds = tuple(each.address for each in self.machines[:3])
        machine.sync_s = machine.usual_sync_s = sync_s
        self.machines.append(machine)
        self.by_address[address] = machine
        self.network.region[address] = region
        return machine

    def deliver(self, sender: str, receiver: str, message: Message) -> None:
        """A message arrives at an address, if a machine has it."""
        machine = self.by_address.get(receiver)
        if machine is not None:
            if self.trace == "messages":
                self.log(f"{sender} ->", f"{machine.name} {message}")
            machine.receive(sender, message)

    def log(self, event: str, subject: str = "") -> None:
        """Adds a line to the trace."""
        self.history.events.append(LoggedEvent(self.clock.now, event, subject))
        if self.trace:
            print(f"{self.clock.now:8.3f} {event} {subject}")

    def acknowledged(self, machine: Machine) -> None:
        """A machine has acknowledged a change; some faults are injected right then."""
        if self.on_acknowledged is not None:
            inject, self.on_acknowledged = self.on_acknowledged, None
            inject(machine)

    # --- the run

    def run_and_check(self) -> list[str]:
        """Plays the run and returns the violations that were found."""
        return check(self.play(), self.profile != "storm")

    def play(self) -> History:
        """The whole run: start, faults, recovery, a final read."""
        self.schedule_start()
        self.schedule_faults()
        self.clock.run(self.length)
        self.fault_schedule.end_all()
        self.clock.run(self.length + RECOVERY_S)
        self.stop_clients()
        self.final_read()
        return self.history

    def schedule_start(self) -> None:
        """Machines start within START_WITHIN_S, clients a little later."""
        for machine in self.machines:
            self.clock.at(START_WITHIN_S * self.random.random(), machine.start, True)
        for client in self.clients:
            self.clock.at(0.5 + 0.5 * self.random.random(), client.next)

    def schedule_faults(self) -> None:
        """The first faults of the profile; each schedules the next."""
        spans = self.history.unstable_spans
        spans.append(TimeSpan(0.0, START_WITHIN_S))
        if (self.bounded or self.profile == "storm") and self.random.random() < 0.3:
            self.fault_schedule.partition_founders()
        if self.profile == "deaths":
            self.clock.at(4.0, self.fault_schedule.kill_primary_repeatedly)
        elif self.profile != "calm":
            first = 2.0
            if self.bounded:  # new machines count as lost until then
                first = max(end for _, end in spans) + CATCH_UP_S + 3 * self.random.random()
            self.clock.at(first, self.fault_schedule.next)

    def stop_clients(self) -> None:
        """Clients complete what is under way, and begin nothing more."""
        for client in self.clients:
            client.stopped = True
        self.clock.run(self.clock.now + LAST_OPERATIONS_S)
        self.history.end = self.clock.now
        for client in self.clients:
            if client.current is not None:
                self.history.violations.append(
                    f"{client.name} still waits at the end for {client.current.request}"
                )

    def final_read(self) -> None:
        """One more read, after which the whole history is known."""
        reader = ReaderClient(self, "z")
        reader.stopped = True
        reader.begin(None)
        self.clock.run(self.clock.now + FINAL_READ_S)
        if reader.current is not None:
            self.history.violations.append("no read at the end")
