"""A core in virtual time: machines, links, clients, troubles by seed, and the check of what was seen."""

from __future__ import annotations

from random import Random

from shedgrade.replication import Member, Timing
from shedgrade.simulation.checkers import check
from shedgrade.simulation.clock import Scheduler
from shedgrade.simulation.fault_schedule import CATCH_UP, Nemesis
from shedgrade.simulation.history import History
from shedgrade.simulation.machine import Machine
from shedgrade.simulation.network import Network
from shedgrade.simulation.operators import Counter, Operator, Reader
from shedgrade.simulation.register import decide


class World:
    """`tolerated`: machines lost at once that every promise outlives; 2 * tolerated + 1 machines, three of
    them seeds.

    `profile`: "fair" keeps losses within what is tolerated and checks times; "storm" cuts and kills without
    bound, wipes nothing, and checks safety only; "calm" has no troubles; in "deaths" the primary dies again
    and again; "members" loses disks and machines, and others as soon as the first count again."""

    def __init__(
        self,
        seed: int,
        tolerated: int = 1,
        profile: str = "fair",
        member_class=Member,
        length: float = 20.0,
        trace: bool = False,
    ):
        self.seed, self.random, self.clock, self.history = seed, Random(seed), Scheduler(), History()
        self.tolerated, self.profile, self.member_class = tolerated, profile, member_class
        self.length, self.trace = length, trace
        self.bounded = profile in ("fair", "members")  # losses stay within what is tolerated
        chance = self.random
        between = chance.choice((0.0005, 0.02, 0.035, 0.055))
        lossy = chance.random() < (0.6 if profile == "storm" else 0.0)
        self.network = Network(
            self.clock,
            chance,
            self.deliver,
            between=between,
            loss=chance.choice((0.01, 0.05, 0.15)) if lossy else 0.0,
            doubled=0.05 if lossy else 0.0,
            jitter=chance.choice((0.02, 0.1, 0.5)),
            bandwidth=chance.choice((0.0, 500_000.0, 4_000_000.0)),
        )
        self.padding = chance.choice((0, 0, 0, 0, 0, 20_000, 100_000, 300_000))  # bytes of a configuration
        if profile == "members" and self.padding >= 100_000 and self.network.bandwidth:
            # half of catchUpS is the goal where a whole state crosses in a tenth of a second
            self.network.bandwidth = 4_000_000.0
        self.decide = self.padded if self.padding else decide
        self.between = between
        self.machines: list[Machine] = []
        self.by_address: dict[str, Machine] = {}
        self.tickets = self.payloads = self.made = 0
        self.pace = chance.choice((0.1, 0.4, 1.0)) if self.padding < 50_000 else 2.0
        sync = chance.choice((0.002, 0.005, 0.03, 0.08)[: 4 if profile == "storm" else 3])
        self.seeds: tuple[str, ...] = tuple(f"10.{at % 3 + 1}.0.{at + 1}:7300" for at in range(3))
        for at in range(2 * tolerated + 1):
            self.add(f"r{at % 3}", f"10.{at % 3 + 1}.0.{at + 1}:7300", sync)
        # some machines more than there are places
        beyond = chance.choice((0, 1, 2) if profile == "storm" else (0, 0, 0, 1))
        for at in range(beyond):
            self.add(f"r{at}", f"10.{at + 1}.0.99:7300", sync)
        self.timing, self.split = Timing(), profile == "storm" and chance.random() < 0.4
        if profile == "storm":  # no promise may hang on these
            silent, deaf = chance.choice(((0.6, 0.8), (0.6, 6.0), (3.0, 6.0))[2 * self.split :])
            self.timing = Timing(
                primary_timeout_s=chance.choice((0.35, 0.55)),
                peer_timeout_s=silent,
                majority_timeout_s=deaf,
                write_timeout_s=10.0 if self.split else 0.45,
                member_replacement_timeout_s=chance.choice((0.3, 2.5)[self.split :]),
                election_stagger_s=chance.choice((0.0, 0.15)),
            )
        self.nemesis = Nemesis(self)
        self.clients = [
            Operator(self, "a"),
            Operator(self, "b"),
            Counter(self, "c"),
            Reader(self, "d"),
            Reader(self, "e"),
        ]
        self.on_ack = None

    def padded(self, state, request):
        decision = decide(state, request)
        if "configuration" in decision.changes:
            decision.changes["configuration"] += bytes(self.padding)
        return decision

    def add(self, region: str, address: str, sync: float) -> Machine:
        self.made += 1
        machine = Machine(self, f"m{self.made}", address, region)
        if self.clock.now:  # the operators' list as it stands when this machine's settings are written
            machine.seeds = tuple(each.address for each in self.machines[:3])
        machine.sync = machine.usual_sync = sync
        self.machines.append(machine)
        self.by_address[address] = machine
        self.network.region[address] = region
        return machine

    def deliver(self, sender: str, to: str, message) -> None:
        machine = self.by_address.get(to)
        if machine is not None:
            if self.trace == "messages":
                self.log(f"{sender} ->", f"{machine.name} {message}")
            machine.receive(sender, message)

    def log(self, what: str, who: str = "") -> None:
        self.history.events.append((self.clock.now, what, who))
        if self.trace:
            print(f"{self.clock.now:8.3f} {what} {who}")

    def acknowledged(self, machine: Machine, call) -> None:
        if self.on_ack is not None:
            call_back, self.on_ack = self.on_ack, None
            call_back(machine)

    def play(self) -> History:
        """The whole day: founding, troubles, all healed, a last read."""
        history = self.history
        for machine in self.machines:
            self.clock.at(0.3 * self.random.random(), machine.start, True)
        for client in self.clients:
            self.clock.at(0.5 + 0.5 * self.random.random(), client.next)
        history.trouble.append((0.0, 0.3))
        if (self.bounded or self.profile == "storm") and self.random.random() < 0.3:
            self.nemesis.founding_trouble()
        if self.profile == "deaths":
            self.clock.at(4.0, self.nemesis.deaths)
        elif self.profile != "calm":
            first = 2.0
            if self.bounded:  # new machines count as lost until then
                first = max(stop for _, stop in history.trouble) + CATCH_UP + 3 * self.random.random()
            self.clock.at(first, self.nemesis.next)
        self.clock.run(self.length)
        self.nemesis.heal()
        self.clock.run(self.length + 12.0)
        for client in self.clients:
            client.stopped = True
        self.clock.run(self.clock.now + 6.0)
        history.end = self.clock.now
        for client in self.clients:
            if client.current is not None:
                history.wrong.append(f"{client.name} still waits at the end for {client.current.request}")
        last = Reader(self, "z")
        last.stopped = True
        last.begin(None)
        self.clock.run(self.clock.now + 3.0)
        if last.current is not None:
            history.wrong.append("no read at the end")
        return history

    def wrong(self) -> list[str]:
        return check(self.play(), self.profile != "storm")
