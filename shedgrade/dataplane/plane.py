"""The data plane of one edge machine: its parts, wired to sockets and clock, from start to end."""

import asyncio
import gc
import signal
from random import Random

import msgspec

from shedgrade import control_messages
from shedgrade.buffers.budget import Budget
from shedgrade.control_messages import (
    CLOSED,
    LEAVING,
    NO_DRAIN_TARGET,
    READY,
    STARTING,
    EdgeStatus,
    WatchResponse,
)
from shedgrade.dataplane.control_client import OLD_WORD, AskTo, Watcher
from shedgrade.dataplane.draining import Drain
from shedgrade.dataplane.exchange import TICKS
from shedgrade.dataplane.front import IngressFront
from shedgrade.dataplane.ingress import IngressConnection
from shedgrade.dataplane.service import ServicePool
from shedgrade.dataplane.state import State
from shedgrade.http.listener import Listener
from shedgrade.http.server import HttpServer, Reply
from shedgrade.load_reports import LoadReporter, LoadUpdate, PeerLoads
from shedgrade.load_reports.edge import REPORT_INTERVAL_S
from shedgrade.membership.gossip import Gossip
from shedgrade.membership.messages import Node
from shedgrade.model_routing.retry_budget import RetryBudget
from shedgrade.peer_transport.address import format_address
from shedgrade.peer_transport.connection import PeerCallError
from shedgrade.peer_transport.tcp import PeerConnectionPool
from shedgrade.prefix_cache_index import EdgePrefixIndex
from shedgrade.process_settings import Settings, SettingsFileWatcher, SettingsReloader
from shedgrade.runtime.clock import Clock
from shedgrade.runtime.log import logger
from shedgrade.runtime.loop_errors import log_uncaught

KNOWLEDGE = b"K"  # as the control plane tells its links' bodies apart
RESERVED = 200  # descriptors that are kept for files
ASK_BEAT = 0.5  # s that an ask waits where nothing is new: an edge that died is missed so soon
BEAT = 0.1  # s between two looks at upstreams that have fallen silent
RECOUNT = 1.0  # s between two looks at what gossip knows
SILENT = 1.0  # s without a word of any core member beyond which gossip's are asked too
LOOK_AFTER = 0.25  # s between two looks at clients' connections
LOOK = 0.05  # s between two looks at whether all is answered
LAST_WORD = 0.06  # s for what was said last to leave


class DataPlane:
    """Owns what is known, the services, the clients' side, and the asking."""

    def __init__(
        self,
        settings: Settings,
        loop: asyncio.AbstractEventLoop,
        random: Random,
        watched: SettingsFileWatcher | None = None,
    ) -> None:
        """`watched`: the settings file, which may change; None: there is none."""
        self.settings, self.loop, self.random = settings, loop, random
        self.reload = SettingsReloader(settings, watched, self.resettled)
        self.clock = Clock()
        self.budget = Budget(max(256, settings.limits.file_descriptors - RESERVED), settings.limits.memory_mb)
        self.record = EdgePrefixIndex()
        self.state = State(settings, loop.time, self.make_pool)
        self.state.record = self.record
        self.front = IngressFront(loop, self, self.budget, random)
        self.life = random.getrandbits(48)
        self.drain: Drain | None = None  # from SIGTERM on
        self.done = asyncio.Event()
        self.links = PeerConnectionPool(loop, settings.link_address, self.heard, settings.ip_address)
        self.reporter = LoadReporter(settings.node_name, settings.region)
        self.others = PeerLoads()
        self.asker = Watcher(
            self.edge_state(),
            settings.seed_links,
            random,
            loop.time(),
            beat=min(ASK_BEAT, settings.heartbeat_ms / 1000),
        )
        me = self.asker.edge
        self.gossip = Gossip(
            loop,
            Node(
                me.name,
                settings.gossip_address,
                "edge",
                me.zone,
                me.incarnation,
                front_address=me.listen_address,
                state=me.state,
            ),
            settings.seed_gossips,
            random,
        )
        self.tasks: set = set()
        self.timer, self.wake = None, float("inf")
        self.was_ready = False
        self.recount_at = 0.0

    # --- what the front asks

    @property
    def routes(self):
        return self.state.routes

    @property
    def services(self) -> dict[str, ServicePool]:
        return self.state.services

    def ready(self) -> bool:
        return self.drain is None and self.state.ready()

    def leaving(self) -> bool:
        return self.drain is not None

    def takes(self, longest_s: float) -> bool:
        """Whether a request is taken that may need so long (s)."""
        return self.drain is None or self.drain.takes(self.loop.time(), longest_s, self.in_hand_until())

    def returns_in(self) -> float:
        """s until somebody serves what is refused here; 0: others do already."""
        return 0.0 if self.drain is None else self.drain.returns_in(self.loop.time(), self.in_hand_until())

    def in_hand_until(self) -> float:
        """When all that is in hand has been answered, at the latest, on the loop's clock."""
        now = self.clock.now()
        latest = max((active_request.may_last_until() for active_request in self.in_hand()), default=now)
        return self.loop.time() + max(0.0, latest - now) / TICKS

    def in_hand(self) -> list:
        """The exchanges that are not answered, of all services."""
        return [
            active_request
            for pool in self.services.values()
            for active_request in pool.dispatcher.active_requests.requests
        ]

    def make_pool(self, name: str, repeats: RetryBudget) -> ServicePool:
        settings = self.settings
        return ServicePool(
            name,
            self.state.regions,
            settings.region,
            self.random.getrandbits(32),
            self.loop,
            self.clock,
            self.budget,
            repeats,
            settings.node_name,
            self.record,
        )

    # --- from start to end

    async def serve(self) -> None:
        self.loop.set_exception_handler(log_uncaught)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.leave)
        self.loop.add_signal_handler(signal.SIGHUP, lambda: self.reload.poll(self.loop.time(), forced=True))
        listen = self.settings.listen
        self.listener = Listener(self.loop, self.front, listen["front"], IngressConnection)
        self.readiness = HttpServer(self.loop, listen["readiness"], self.tell_ready, logger)
        await self.readiness.start()
        await self.gossip.start()
        self.listener.resume()
        gc.collect()
        gc.freeze()
        self.ask()
        self.beat()
        self.look_after()
        self.share_loads()
        await self.done.wait()
        self.listener.close()
        await asyncio.sleep(LAST_WORD)
        self.gossip.close()
        self.links.close()
        self.readiness.close()

    def tell_ready(self, request, tell) -> None:
        tell(Reply(200 if self.ready() else 503))

    def leave(self) -> None:
        """SIGTERM: clients are sent elsewhere, where there is somebody; `Drain` says what is still taken."""
        if self.drain is not None:
            return
        now = self.loop.time()
        self.drain = Drain(now, self.settings.bounds["graceS"])
        logger.info("SIGTERM: ends when all is answered, within {} s", self.settings.bounds["graceS"])
        self.restate()
        self.loop.call_at(self.drain.ends_in_hand_at, self.conclude)
        self.loop.call_at(self.drain.ends_at, self.finish)
        self.look_at_end()

    def look_at_end(self) -> None:
        """Ends the process once all that was taken has been answered. A fault of our own ends no looks."""
        if self.done.is_set():
            return
        self.loop.call_later(LOOK, self.look_at_end)
        now = self.loop.time()
        if self.drain.may_end(now):
            self.front.close_idle()
            if not self.busy():
                self.finish()

    def finish(self) -> None:
        """The process ends, and the directory is told."""
        if not self.done.is_set():
            self.done.set()
            self.restate()

    def busy(self) -> bool:
        """Clients are connected, or waiting to be, or requests are in hand."""
        return bool(self.front.clients or self.listener.waiting() or self.in_hand())

    def conclude(self) -> None:
        """Whatever is in hand gets its final answer while that can still leave."""
        in_hand = self.in_hand()
        if in_hand:
            logger.warning("{} requests are cut at the end", len(in_hand))
        for pool in self.services.values():
            pool.dispatcher.conclude()

    def beat(self) -> None:
        """What has no timer of its own. Guards against a fault of our own, which must not end all looks: the
        next one is due before anything is done."""
        if self.done.is_set():
            return
        self.loop.call_later(BEAT, self.beat)
        now = self.loop.time()
        for pool in self.services.values():
            pool.probe_silent()
        if self.ready() != self.was_ready:
            self.was_ready = not self.was_ready
            self.restate()
        if now >= self.recount_at:
            self.recount_at = now + RECOUNT
            self.recount(now)
        self.reload.poll(now)

    def resettled(self, settings: Settings) -> None:
        """The settings were read anew."""
        self.settings = settings
        self.state.resettled(settings)

    def look_after(self) -> None:
        """The clients' connections. A fault of our own ends no looks."""
        if self.done.is_set():
            return
        self.loop.call_later(LOOK_AFTER, self.look_after)
        self.front.look_after()

    def recount(self, now: float) -> None:
        """What gossip knows: edges, by which budgets are dealt, and core members where all others fail."""
        told = self.asker.counts
        self.state.counted(max(self.gossip.view.count("edge"), told.edge_count if told is not None else 0))
        if self.asker.lost(now) > SILENT:
            nodes = self.gossip.view.nodes()
            self.asker.met(node.link_address for node in nodes if node.kind == "core" and node.link_address)

    # --- loads

    def share_loads(self) -> None:
        """Tells the core what is in flight here. A fault of our own ends no looks."""
        if self.done.is_set():
            return
        self.loop.call_later(REPORT_INTERVAL_S, self.share_loads)
        now = self.loop.time()
        if self.others.forget_if_stale(now):
            self.state.others_told({})
        if self.asker.main is not None:
            to = self.asker.main.address
            report = self.reporter.report(now, to, self.state.own_loads(), len(self.others.loads))
            if report is not None:
                self.links.send(to, KNOWLEDGE + control_messages.encode(report))

    def heard(self, sender: str, frame) -> None:
        """A word that came unasked."""
        try:
            told = control_messages.decode(frame.body[1:])
        except (msgspec.MsgspecError, ValueError):
            return  # of a member of another version
        if isinstance(told, LoadUpdate):
            self.others.apply(self.loop.time(), told)
            self.state.others_told(self.others.loads)

    # --- asking

    def restate(self) -> None:
        """Says what this edge is now."""
        state = self.edge_state()
        self.asker.changed(self.loop.time(), state)
        self.gossip.announce_state(LEAVING if state.shutdown_stage else state.state)
        self.ask()

    def edge_state(self) -> EdgeStatus:
        settings = self.settings
        return EdgeStatus(
            settings.node_name,
            format_address(settings.listen["front"]),
            settings.zone,
            settings.region,
            self.life,
            self.stage(),
        )

    def stage(self) -> str:
        """Of this process's life, as the directory is told."""
        if self.drain is not None:
            return CLOSED if self.done.is_set() else LEAVING
        return READY if self.state.ready() else STARTING

    def ask(self) -> None:
        """Carries out what the asker wants, takes what it was told, and sets the timer."""
        effects, self.asker.effects[:] = list(self.asker.effects), []
        for effect in effects:
            if isinstance(effect, AskTo):
                task = self.loop.create_task(self.call(effect))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        updates, self.asker.updates[:] = list(self.asker.updates), []
        if updates:
            try:
                self.state.apply(updates)
            except (ValueError, TypeError, AttributeError) as wrong:
                logger.error("what the control plane told is not understood: {!r}", wrong)
        at = self.asker.wake_at()
        if self.timer is not None:
            self.timer.cancel()
        self.timer = (
            self.loop.call_at(max(at, self.loop.time() + 0.001), self.alarm)
            if (at != float("inf") and not self.done.is_set())
            else None
        )

    def alarm(self) -> None:
        self.timer = None
        self.asker.tick(self.loop.time())
        self.ask()

    async def call(self, effect: AskTo) -> None:
        reads, beside = (), effect.ask.wait_s <= 0
        try:
            ask = effect.ask
            if not beside:  # the record's numbers are one member's: another asked beside it tells none
                reads = self.record.take_unsent()
                ask = msgspec.structs.replace(
                    ask, prefix_reads=reads, prefix_index_version=self.record.version
                )
            asked = KNOWLEDGE + control_messages.encode(ask)
            body = await self.links.call(effect.address, asked, effect.timeout)
            told = control_messages.decode(body[1:])
        except (PeerCallError, msgspec.MsgspecError, ValueError):
            told = None
        if isinstance(told, WatchResponse):
            if not beside:
                self.record.apply_response(self.loop.time(), told.primary_age_s < OLD_WORD, told.prefix_index)
            if self.drain is not None:
                self.drain.told(
                    self.loop.time(), told.drain_target if ask.edge.shutdown_stage else NO_DRAIN_TARGET
                )
            self.asker.answered(self.loop.time(), effect.address, told, effect.number)
        else:
            self.record.restore_unsent(reads)
            self.asker.failed(self.loop.time(), effect.address, effect.number)
        self.ask()
