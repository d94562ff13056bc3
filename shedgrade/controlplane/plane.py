"""The control plane of one core machine: its parts, wired to sockets, disk and clock."""

import asyncio
import gc
import signal
from collections.abc import Callable
from random import Random
from time import sleep, time
from zlib import crc32

import msgspec

from shedgrade import control_messages
from shedgrade.control_messages import (
    EdgeObservations,
    EdgeRecord,
    EdgeStatus,
    EndpointListRequest,
    EndpointUpdate,
    WatchRequest,
)
from shedgrade.controlplane import role_messages
from shedgrade.controlplane.channels import DUTIES, KNOWLEDGE, ORDERS, REPLICATION
from shedgrade.controlplane.directory import Directory, drain_target
from shedgrade.controlplane.disk import Disk
from shedgrade.controlplane.endpoint_list import EndpointList
from shedgrade.controlplane.home_regions import HomeRegions, Regions
from shedgrade.controlplane.operator_api import Operators
from shedgrade.controlplane.ordering import Ordering
from shedgrade.controlplane.orders import make_decide
from shedgrade.controlplane.platform_poller import Poller
from shedgrade.controlplane.prefix_index_exchange import PrefixIndexExchange
from shedgrade.controlplane.reachability import ReachabilityMonitor
from shedgrade.controlplane.singleton_roles import SingletonRoles
from shedgrade.controlplane.standstill import Standstill
from shedgrade.controlplane.status import Status, status
from shedgrade.controlplane.watch_hub import WatchHub
from shedgrade.http.server import HttpServer
from shedgrade.load_reports import LoadAggregator, LoadReport, LoadSums
from shedgrade.membership.gossip import Gossip
from shedgrade.membership.messages import Node
from shedgrade.peer_transport.address import parse_address
from shedgrade.peer_transport.tcp import PeerConnectionPool, PeerServer
from shedgrade.prefix_cache_index import PrefixIndexAdditions, PrefixIndexRequest, PrefixIndexUpdate
from shedgrade.process_settings import Settings, SettingsFileWatcher, SettingsReloader
from shedgrade.replication import (
    Answer,
    Committed,
    Exit,
    Member,
    Persist,
    Send,
    messages,
)
from shedgrade.runtime.log import logger
from shedgrade.runtime.loop_errors import log_uncaught
from shedgrade.runtime.stall_detection import ArrivalClock, steady_clock
from shedgrade.storage import LoadResult, Store

LIST = "upstreams"  # the role of polling the platform's list
BEAT = 0.25  # s between two looks at what has no timer of its own
SPREAD = 0.5  # s between two words to other members about the edges heard here
LEAVES = 0.2  # s for what was said last to leave
KILL_MARGIN = 1.0  # s before SIGKILL at which this process ends, whatever it still waits for
RELOAD = 0.2  # s before a disk that can't be read is tried again
LOAD_BEAT = 0.1  # s between two words to edges and members about what edges have in flight
AGED = 3  # beats without a list from the platform after which its holder gives the role up

encode = msgspec.msgpack.Encoder().encode
decode_role_message = msgspec.msgpack.Decoder(role_messages.Message).decode
decode_replication = msgspec.msgpack.Decoder(messages.Message).decode


def leave_patience(grace: float) -> float:
    """How long a process that is told to end may wait for the others, of `grace` s until SIGKILL."""
    return max(grace / 2, grace - LEAVES - KILL_MARGIN)


def loaded(store: Store, wait: Callable[[float], None] = sleep) -> LoadResult:
    """What the disk holds. Guards against a disk in trouble at the start: nothing is served before it is
    read, and a process that ends is started again into the same trouble."""
    told = False
    while True:
        try:
            return store.load()
        except OSError as failure:
            if not told:
                logger.warning("the disk can't be read yet: {}", failure.strerror or failure)
            told = True
            wait(RELOAD)


class ControlPlane:
    """Owns the member of the control state, the hub, the list, the roles, and all their sockets."""

    def __init__(
        self,
        settings: Settings,
        loop: asyncio.AbstractEventLoop,
        random: Random,
        watched: SettingsFileWatcher | None = None,
        *,
        files=None,
        make_disk: Callable[..., Disk] = Disk,
        wall_clock: Callable[[], float] = time,
    ) -> None:
        """`watched`: the settings file, which may change; None: there is none. A simulated machine hands in
        `files` (as `storage.files.Files`), `make_disk` (as `Disk`) and `wall_clock` (s since 1970)."""
        self.settings, self.loop, self.random = settings, loop, random
        own = self.own = settings.link_address
        now = loop.time()
        self.store = Store(settings.data_dir, files)
        found = loaded(self.store)
        for finding in found.findings:
            logger.warning("disk: {}", finding)
        self.disk = make_disk(loop, self.store, self.persisted)
        founding = settings.initial_start and found.state == "empty"
        self.member = Member(
            settings.node_name,
            own,
            founding=founding,
            seeds=settings.seed_links,
            tolerated=settings.tolerated.machines,
            found=found.values or None,
            random=random,
            now=now,
            decide=make_decide(settings.zones),
        )
        self.links = PeerConnectionPool(loop, own, self.came_back, settings.ip_address, self.heard)
        self.server = PeerServer(
            loop, (settings.ip_address, settings.internal_ports[0]), own, self.heard, self.links.adopt
        )
        clock = steady_clock(loop)
        self.ordering = Ordering(loop, self.member, self.links, self.pump, clock)
        self.arrivals = ArrivalClock(loop, clock)
        self.instances = EndpointList(loop.time)
        self.poller = Poller(loop, settings.cloud_api, self.instances, self.polled, random=random)
        self.roles = SingletonRoles(
            own, self.member_addresses, random, now, roles=(LIST,), floor=int(wall_clock() * 10)
        )
        self.hub = WatchHub(own, now, exchange=SPREAD, cover=self.cover)
        self.reach = ReachabilityMonitor(own, settings.region)
        self.standstill = Standstill(now)
        self.prefix_index = PrefixIndexExchange(
            self.hub, random.getrandbits(40) + 1, founding, self.tell_knowledge
        )
        self.loads = LoadAggregator(own)
        self.gossip = Gossip(
            loop,
            Node(
                settings.node_name,
                settings.gossip_address,
                "core",
                settings.zone,
                random.getrandbits(48),
                own,
            ),
            settings.seed_gossips,
            random,
        )
        self.edge_peers: dict[str, object] = {}  # by an edge's link address: where it asks
        self.operators = Operators(self.ordering, self.status)
        self.directory = Directory(settings.zones, random, settings.bounds)
        self.home_regions = HomeRegions()
        self.reload = SettingsReloader(settings, watched, self.resettled)
        self.http: list[HttpServer] = []
        self.timer = None
        self.wake = float("inf")
        self.spread_at = 0.0
        self.listed = (0, 0)  # version of the list that others were told
        self.pumping = False
        self.left = asyncio.Event()

    # --- from start to end

    async def serve(self) -> None:
        self.loop.set_exception_handler(log_uncaught)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.leave)
        self.loop.add_signal_handler(signal.SIGHUP, lambda: self.reload.poll(self.loop.time(), forced=True))
        self.disk.start()
        await self.server.start()
        await self.gossip.start()
        listen = self.settings.listen
        if "control" in listen:
            self.http.append(
                HttpServer(
                    self.loop,
                    listen["control"],
                    self.operators.handle,
                    logger,
                    earliest=self.arrivals.earliest,
                )
            )
        if "directory" in listen:
            self.http.append(HttpServer(self.loop, listen["directory"], self.resolve, logger))
        for server in self.http:
            await server.start()
        gc.collect()
        gc.freeze()
        self.beat()
        self.share_loads()
        self.arrivals.start()
        if not self.settings.initial_start:
            self.looking = self.loop.create_task(self.look())
        await self.left.wait()
        self.gossip.announce_state("leaving")
        await asyncio.sleep(LEAVES)
        for server in self.http:
            server.close()
        self.arrivals.close()
        self.poller.stop()
        self.gossip.close()
        self.links.close()
        self.server.close()
        self.disk.close()

    async def look(self) -> None:
        """Started anew: upstreams are known before a ballot on who polls them is over."""
        early = Poller(self.loop, self.settings.cloud_api, self.instances, self.polled, random=self.random)
        if await early.poll_once():
            self.list_moved(self.loop.time())

    def leave(self) -> None:
        """SIGTERM: serves on until the others hold what this member holds, within the grace; then ends."""
        now = self.loop.time()
        self.roles.resign(now)
        self.member.leave(now, leave_patience(self.settings.bounds["graceS"]))
        self.pump()

    def beat(self) -> None:
        """What has no timer of its own. Guards against a fault of our own, which must not end all looks: the
        next one is due before anything is done."""
        if self.left.is_set():
            return
        self.loop.call_later(BEAT, self.beat)
        now = self.loop.time()
        self.standstill.look(now)
        self.hub.confirmed(self.member.confirmed_at)
        self.hub.members(now, self.member_addresses())
        self.prefix_index.tick(now, self.contact_at())
        if self.roles.is_held(LIST) and self.poller.consecutive_failures >= AGED:
            self.roles.release(now, LIST)
        if now >= self.spread_at:
            self.spread_edges(now)
        self.hub.tick(now)
        self.pump()
        self.reload.poll(now)

    def share_loads(self) -> None:
        """What edges have in flight. A fault of our own ends no looks."""
        if self.left.is_set():
            return
        self.loop.call_later(LOAD_BEAT, self.share_loads)
        self.loads.expire_sources(self.loop.time())
        self.loads.send_updates(self.loop.time())
        shared = self.loads.take_unshared()
        if shared is not None:
            self.tell_knowledge(shared)

    def resettled(self, settings: Settings) -> None:
        """The settings were read anew."""
        self.settings = settings
        self.member.decide = make_decide(settings.zones)
        self.directory = Directory(settings.zones, self.random, settings.bounds)
        self.poller.retarget(settings.cloud_api)

    def spread_edges(self, now: float) -> None:
        self.spread_at = now + SPREAD
        known = self.hub.own_edges(now)
        if known.edges:
            self.tell_others(KNOWLEDGE + control_messages.encode(known))

    def member_addresses(self) -> tuple[str, ...]:
        """Link addresses of the members that the newest epoch names; before that, the seeds."""
        return tuple(peer.address for peer in self.member.members) or self.settings.seed_links

    def contact_at(self) -> float:
        """When this member last heard the primary, or as primary was confirmed by a majority."""
        return max(self.member.primary_heard_at, self.member.confirmed_at)

    def tell_knowledge(self, message: object) -> None:
        self.tell_others(KNOWLEDGE + control_messages.encode(message))

    def tell_others(self, body: bytes) -> None:
        for address in self.member_addresses():
            if address != self.own:
                self.links.send(address, body)

    # --- the member and the roles

    def persisted(self, token: int, ok: bool) -> None:
        self.member.persisted(self.loop.time(), token, ok)
        self.pump()

    def pump(self) -> None:
        """Carries out what the state machines ask for, and sets the one timer."""
        if self.pumping:
            return
        self.pumping = True
        try:
            while self.member.effects or self.roles.instructions:
                effects, self.member.effects[:] = list(self.member.effects), []
                for effect in effects:
                    self.carry_out(effect)
                effects, self.roles.instructions[:] = list(self.roles.instructions), []
                for effect in effects:
                    self.carry_out_role(effect)
        finally:
            self.pumping = False
        self.set_timer()

    def carry_out(self, effect: object) -> None:
        match effect:
            case Send(to, message):
                self.links.send(to, REPLICATION + encode(message))
            case Persist(token, changes):
                self.disk.write(token, changes)
            case Answer(ticket, outcome):
                self.ordering.answered(ticket, outcome)
            case Committed(epoch, sequence, state):
                self.hub.control(self.loop.time(), epoch, sequence, state)
            case Exit():
                self.left.set()

    def carry_out_role(self, effect: object) -> None:
        match effect:
            case role_messages.Send(address, message):
                self.links.send(address, DUTIES + encode(message))
            case role_messages.RoleAcquired(_, term):
                logger.info("polls the platform's list, term {}", term)
                self.poller.start(term)
            case role_messages.RoleLost():
                self.poller.stop()

    def set_timer(self) -> None:
        at = min(self.member.wake_at(), self.roles.wake_at(), self.hub.wake_at())
        if self.timer is not None:
            if at == self.wake:
                return
            self.timer.cancel()
            self.timer = None
        self.wake = at
        if at != float("inf") and not self.left.is_set():
            self.timer = self.loop.call_at(max(at, self.loop.time() + 0.001), self.alarm)

    def alarm(self) -> None:
        self.timer = None
        now = self.loop.time()
        try:
            self.member.tick(now)
            self.roles.tick(now)
            self.hub.tick(now)
            self.pump()
        finally:
            if self.timer is None:  # a fault of our own must not stop the clock of all the rest
                self.set_timer()

    # --- what comes over the link

    def heard(self, peer, frame) -> None:
        """A frame on a connection that came in; its answer goes back on it."""
        if frame.body[:1] == KNOWLEDGE and frame.number:
            self.follow(peer, frame.sender)
        self.take(
            frame.sender,
            frame.body,
            lambda body: (
                peer.send(body, frame.number, True) if frame.number else self.links.send(frame.sender, body)
            ),
        )

    def follow(self, peer, sender: str) -> None:
        """Guards against clients sent to an edge that died: its connection ends before its word is due."""
        if self.edge_peers.get(sender) is not peer:
            self.edge_peers[sender] = peer
            peer.on_close.append(lambda: self.lost(peer, sender))

    def lost(self, peer, sender: str) -> None:
        if self.edge_peers.get(sender) is peer:
            del self.edge_peers[sender]
            host = parse_address(sender)[0]
            for name, heard in list(self.hub.heard.items()):
                if heard.own and parse_address(heard.edge.listen_address)[0] == host:
                    self.hub.gone(name)

    def came_back(self, sender: str, frame) -> None:
        self.take(sender, frame.body, lambda body: self.links.send(sender, body))

    def take(self, sender: str, body: bytes, answer) -> None:
        channel, body = body[:1], body[1:]
        now = self.loop.time()
        self.standstill.look(now)
        unread_s = self.standstill.unread_s(now)
        try:
            if channel != KNOWLEDGE:
                self.reach.heard(now - unread_s, sender)
            if channel == REPLICATION:
                self.member.receive_delay_s = unread_s
                self.member.receive(now, sender, decode_replication(body))
                self.hub.confirmed(self.member.confirmed_at)
            elif channel == DUTIES:
                self.roles.receive(now, sender, decode_role_message(body))
            elif channel == KNOWLEDGE:
                self.learn(now, sender, control_messages.decode(body), answer, unread_s)
            elif channel == ORDERS:
                self.ordering.relayed(body, answer)
        except msgspec.MsgspecError as wrong:
            # Guards against a process of another version: what it says is left out, and said once in the
            # ring.
            logger.warning("{} says what is not understood: {}", sender, wrong)
        self.pump()

    def learn(self, now: float, sender: str, message: object, answer, unread_s: float = 0.0) -> None:
        """`unread_s`: the message may have waited at this process so long."""
        match message:
            case WatchRequest():
                # Guards against core members that all started anew: their terms go above what edges hold.
                self.roles.observe_term(now, LIST, message.endpoints_version[0])
                before = self.hub.own_version
                self.hub.ask(
                    now, message, lambda told: answer(KNOWLEDGE + control_messages.encode(told)), unread_s
                )
                if self.hub.own_version != before:
                    self.spread_edges(now)
            case LoadReport():
                self.loads.receive_report(
                    now,
                    message,
                    lambda told: self.links.send(sender, KNOWLEDGE + control_messages.encode(told)),
                )
            case LoadSums():
                self.loads.receive_sums(now, message)
            case PrefixIndexUpdate() | PrefixIndexAdditions() | PrefixIndexRequest():
                self.prefix_index.receive(now, message, lambda body: answer(KNOWLEDGE + body))
            case EdgeObservations():
                self.reach.heard(now - unread_s, sender)
                self.hub.peers_edges(now, sender, message, unread_s)
            case EndpointListRequest(term, number):
                answer(KNOWLEDGE + control_messages.encode(self.instances.update_since(term, number, now)))
            case EndpointUpdate():
                if self.instances.apply_update(message, now, unread_s):
                    self.list_moved(now)
                elif self.instances.needs_request:
                    answer(KNOWLEDGE + control_messages.encode(self.instances.request(now)))

    def list_moved(self, now: float) -> None:
        self.prefix_index.retain_endpoints(self.instances)
        self.loads.regions = {
            crc32(one.id.encode()): self.settings.zones.get(one.zone, "") for one in self.instances.snapshot()
        }
        self.hub.instances(now, self.instances)

    def polled(self, changed: bool) -> None:
        """This process polls, and a whole list has come."""
        now = self.loop.time()
        if changed:
            self.list_moved(now)
        self.tell_others(KNOWLEDGE + control_messages.encode(self.instances.update_since(*self.listed, now)))
        self.listed = self.instances.version

    # --- operators and clients

    def status(self) -> Status:
        return status(
            self.loop.time(),
            self.settings.node_name,
            self.settings.zones,
            self.member,
            self.hub,
            self.instances,
            self.roles,
        )

    def resolve(self, request, tell) -> None:
        now, stranded = self.loop.time(), frozenset()
        if self.reach.is_cut_off(now, self.member_addresses(), self.contact_at()):
            stranded = self.reach.stranded_hosts(self.hub.configuration, self.served_here())
        tell(self.directory.handle(request, self.hub.edges(now), stranded, self.homes_of))

    def homes_of(self, host: str) -> Regions:
        """Where else than in their own region clients of a host may be sent."""
        return self.home_regions.of_host(self.hub.configuration, host)

    def cover(self, edge: EdgeStatus, others: tuple[EdgeRecord, ...]) -> str:
        """Who takes the clients of an edge that leaves."""
        return drain_target(edge, others, self.home_regions.of_all_hosts(self.hub.configuration))

    def served_here(self) -> set[str]:
        """Services with a ready upstream in the own region."""
        zones, region = self.settings.zones, self.settings.region
        return {
            one.service
            for one in self.instances.snapshot()
            if one.state == "available" and zones.get(one.zone) == region
        }
