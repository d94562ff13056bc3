"""A simulated core: machines, links, clients and faults in virtual time, and the check of its history."""

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

START_WITHIN_S = 0.3  # time within which all machines start
FAST_LINK_BYTES_PER_S = 4_000_000.0
RECOVERY_S = 12.0  # time after the last fault in which clients continue
LAST_OPERATIONS_S = 6.0  # time for operations in progress when clients are stopped
FINAL_READ_S = 3.0  # time for the read after that


class SimulatedCluster:
    """One run: 2 * `tolerated` + 1 machines, three of which are seeds, and in some runs spare machines.

    Attributes:
        tolerated: number of machines that may be lost at once without any guarantee being broken.
        profile: "calm" injects no faults; "fair" limits losses to the tolerated number and checks time
            limits; "storm" has unlimited partitions and crashes, but wipes no disk, and checks safety only;
            "deaths" kills the primary repeatedly; "members" loses disks and machines, and others as soon as
            the first have caught up.
        bounded: whether losses stay within the tolerated number.
        mainly_partitions: whether faults are mostly partitions, as in some storms.
        length: virtual time with faults, seconds.
        trace: True prints events; "messages" prints all messages too.
        padding: bytes appended to the payload of each configuration.
        max_pause_s: maximum pause of a client between two operations, seconds; drawn uniformly.
        machines: the machines that exist now; a replaced machine is removed.
        machines_created: number of machines created so far; numbers the next.
        payload_count: number of payloads so far; numbers the next.
        ticket_count: number of requests submitted so far; numbers the next.
        on_acknowledged: called once with the machine that acknowledges the next change.
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
        """Draws the run's links, disks and timing from the seed.

        The order of the draws is fixed, so that a seed always gives the same history.
        """
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
            # Half of `catchUpS` is the limit for links that transfer a whole state within 0.1 s.
            self.network.bandwidth = FAST_LINK_BYTES_PER_S
        self.decide: Callable[[Mapping[str, bytes], Request], Decision] = (
            self.decide_padded if self.padding else decide
        )
        self.machines: list[Machine] = []
        self.by_address: dict[str, Machine] = {}
        self.machines_created = 0
        self.payload_count = 0
        self.ticket_count = 0
        self.max_pause_s = self.random.choice((0.1, 0.4, 1.0)) if self.padding < 50_000 else 2.0
        self.seeds: tuple[str, ...] = tuple(f"10.{at % 3 + 1}.0.{at + 1}:7300" for at in range(3))
        self.add_first_machines()
        self.timing = Timing()
        self.mainly_partitions = profile == "storm" and self.random.random() < 0.4
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

    # --- draws

    def draw_network(self) -> Network:
        """Draws the delays and bandwidth of the links; in some storms they lose and duplicate messages."""
        draw = self.random
        inter_region_delay_s = draw.choice((0.0005, 0.02, 0.035, 0.055))
        lossy = draw.random() < (0.6 if self.profile == "storm" else 0.0)
        return Network(
            self.clock,
            draw,
            self.deliver,
            inter_region_delay_s=inter_region_delay_s,
            loss=draw.choice((0.01, 0.05, 0.15)) if lossy else 0.0,
            duplication=0.05 if lossy else 0.0,
            jitter=draw.choice((0.02, 0.1, 0.5)),
            bandwidth=draw.choice((0.0, 500_000.0, FAST_LINK_BYTES_PER_S)),
        )

    def add_first_machines(self) -> None:
        """Adds the machines of the core, and in some runs more than it has places for."""
        storm = self.profile == "storm"
        sync_s = self.random.choice((0.002, 0.005, 0.03, 0.08)[: 4 if storm else 3])
        for at in range(2 * self.tolerated + 1):
            self.add(f"r{at % 3}", f"10.{at % 3 + 1}.0.{at + 1}:7300", sync_s)
        spares = self.random.choice((0, 1, 2) if storm else (0, 0, 0, 1))
        for at in range(spares):
            self.add(f"r{at}", f"10.{at + 1}.0.99:7300", sync_s)

    def draw_timing(self) -> Timing:
        """Draws the members' time-outs in a storm: no safety property may depend on them."""
        draw = self.random
        peer_timeout_s, majority_timeout_s = draw.choice(
            ((0.6, 0.8), (0.6, 6.0), (3.0, 6.0))[2 * self.mainly_partitions :]
        )
        return Timing(
            primary_timeout_s=draw.choice((0.35, 0.55)),
            peer_timeout_s=peer_timeout_s,
            majority_timeout_s=majority_timeout_s,
            write_timeout_s=10.0 if self.mainly_partitions else 0.45,
            member_replacement_timeout_s=draw.choice((0.3, 2.5)[self.mainly_partitions :]),
            election_stagger_s=draw.choice((0.0, 0.15)),
        )

    # --- used by machines and clients

    def decide_padded(self, state: Mapping[str, bytes], request: Request) -> Decision:
        """Decides as `register.decide` does, with padding appended to the configuration."""
        decision = decide(state, request)
        configuration = decision.changes.get("configuration")
        if configuration is not None:
            decision.changes["configuration"] = configuration + bytes(self.padding)
        return decision

    def add(self, region: str, address: str, sync_s: float) -> Machine:
        """Adds a machine with an empty disk and a mean write time of `sync_s`, without starting it."""
        self.machines_created += 1
        machine = Machine(self, f"m{self.machines_created}", address, region)
        if self.clock.now:  # the seeds in its settings are the first machines of that time
            machine.seeds = tuple(each.address for each in self.machines[:3])
        machine.sync_s = machine.usual_sync_s = sync_s
        self.machines.append(machine)
        self.by_address[address] = machine
        self.network.region[address] = region
        return machine

    def deliver(self, sender: str, receiver: str, message: Message) -> None:
        """Delivers a message to the machine at the address `receiver`, if there is one."""
        machine = self.by_address.get(receiver)
        if machine is not None:
            if self.trace == "messages":
                self.log(f"{sender} ->", f"{machine.name} {message}")
            machine.receive(sender, message)

    def log(self, event: str, subject: str = "") -> None:
        """Appends an event to the trace."""
        self.history.events.append(LoggedEvent(self.clock.now, event, subject))
        if self.trace:
            print(f"{self.clock.now:8.3f} {event} {subject}")

    def handle_acknowledgement(self, machine: Machine) -> None:
        """Handles the acknowledgement of a change: injects the fault scheduled for it, if any."""
        if self.on_acknowledged is not None:
            inject, self.on_acknowledged = self.on_acknowledged, None
            inject(machine)

    # --- the run

    def run_and_check(self) -> list[str]:
        """Plays the run and returns the violations that were found."""
        return check(self.play(), self.profile != "storm")

    def play(self) -> History:
        """Plays the whole run: start, faults, recovery, a final read."""
        self.schedule_start()
        self.schedule_faults()
        self.clock.run(self.length)
        self.fault_schedule.end_all()
        self.clock.run(self.length + RECOVERY_S)
        self.stop_clients()
        self.final_read()
        return self.history

    def schedule_start(self) -> None:
        """Schedules the start of machines within START_WITHIN_S, and of clients between 0.5 s and 1 s."""
        for machine in self.machines:
            self.clock.at(START_WITHIN_S * self.random.random(), machine.start, True)
        for client in self.clients:
            self.clock.at(0.5 + 0.5 * self.random.random(), client.begin_next)

    def schedule_faults(self) -> None:
        """Schedules the first fault of the profile; each schedules the next."""
        spans = self.history.unstable_spans
        spans.append(TimeSpan(0.0, START_WITHIN_S))
        if (self.bounded or self.profile == "storm") and self.random.random() < 0.3:
            self.fault_schedule.partition_founders()
        if self.profile == "deaths":
            self.clock.at(4.0, self.fault_schedule.kill_primary_repeatedly)
        elif self.profile != "calm":
            first = 2.0
            if self.bounded:  # new machines count as lost until they have caught up
                first = max(end for _, end in spans) + CATCH_UP_S + 3 * self.random.random()
            self.clock.at(first, self.fault_schedule.inject_next)

    def stop_clients(self) -> None:
        """Stops the clients and runs until their operations in progress should have completed."""
        for client in self.clients:
            client.stopped = True
        self.clock.run(self.clock.now + LAST_OPERATIONS_S)
        self.history.end = self.clock.now
        for client in self.clients:
            if client.current is not None:
                self.history.violations.append(
                    f"{client.name} still waits for {client.current.request} at the end"
                )

    def final_read(self) -> None:
        """Plays one more read, after which the checkers know the whole history."""
        reader = ReaderClient(self, "z")
        reader.stopped = True
        reader.begin(None)
        self.clock.run(self.clock.now + FINAL_READ_S)
        if reader.current is not None:
            self.history.violations.append("no read completed at the end")
