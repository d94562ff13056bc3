"""Passes messages of other processes to the parts of a core member, by channel and type of message."""

import asyncio
from collections.abc import Callable

import msgspec

from shedgrade import control_messages
from shedgrade.control_messages import (
    EdgeObservations,
    EndpointListRequest,
    EndpointUpdate,
    WatchRequest,
)
from shedgrade.controlplane import role_messages
from shedgrade.controlplane.channels import (
    COMMAND_CHANNEL,
    CONTROL_CHANNEL,
    REPLICATION_CHANNEL,
    ROLE_CHANNEL,
)
from shedgrade.controlplane.command_router import CommandRouter
from shedgrade.controlplane.endpoint_list_sync import ENDPOINT_LIST_ROLE, EndpointListSync
from shedgrade.controlplane.peer_messenger import PeerMessenger, encode_control_message
from shedgrade.controlplane.prefix_index_exchange import PrefixIndexExchange
from shedgrade.controlplane.reachability import ReachabilityMonitor
from shedgrade.controlplane.singleton_roles import SingletonRoles
from shedgrade.controlplane.watch_hub import WatchHub
from shedgrade.load_reports import LoadAggregator, LoadReport, LoadSums
from shedgrade.peer_transport.address import parse_address
from shedgrade.peer_transport.connection import PeerConnection
from shedgrade.peer_transport.frames import Frame
from shedgrade.prefix_cache_index import PrefixIndexAdditions, PrefixIndexRequest, PrefixIndexUpdate
from shedgrade.replication import Member, messages
from shedgrade.runtime.log import logger
from shedgrade.runtime.stall_detection import StallDetector

decode_role_message = msgspec.msgpack.Decoder(role_messages.Message).decode
decode_replication = msgspec.msgpack.Decoder(messages.Message).decode

Respond = Callable[[bytes], None]


class MessageDispatcher:
    """Decodes messages and calls the parts that handle them.

    Attributes:
        edge_connections: by peer address of an edge, the connection over which it sends its watches; removed
            when the connection ends.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        member: Member,
        roles: SingletonRoles,
        hub: WatchHub,
        router: CommandRouter,
        endpoint_sync: EndpointListSync,
        prefix_exchange: PrefixIndexExchange,
        loads: LoadAggregator,
        reachability: ReachabilityMonitor,
        stalls: StallDetector,
        messenger: PeerMessenger,
        run_state_machines: Callable[[], None],
        report_edges: Callable[[float], None],
    ) -> None:
        """`run_state_machines()` is called after each message, `report_edges(now)` after an edge that this
        member hears has changed."""
        self.loop = loop
        self.member = member
        self.roles = roles
        self.hub = hub
        self.router = router
        self.endpoint_sync = endpoint_sync
        self.prefix_exchange = prefix_exchange
        self.loads = loads
        self.reachability = reachability
        self.stalls = stalls
        self.messenger = messenger
        self.run_state_machines = run_state_machines
        self.report_edges = report_edges
        self.edge_connections: dict[str, PeerConnection] = {}

    # --- frames

    def on_frame(self, connection: PeerConnection, frame: Frame) -> None:
        """Handles a frame on a connection that another process opened; the response goes back on it."""
        if frame.body[:1] == CONTROL_CHANNEL and frame.call_number:
            self.track_edge(connection, frame.sender)

        def respond(body: bytes) -> None:
            if frame.call_number:
                connection.send(body, frame.call_number, True)
            else:
                self.messenger.peer_connections.send(frame.sender, body)

        self.dispatch(frame.sender, frame.body, respond)

    def on_outbound_connection_frame(self, sender: str, frame: Frame) -> None:
        """Handles a frame on a connection that this process opened."""
        self.dispatch(sender, frame.body, lambda body: self.messenger.peer_connections.send(sender, body))

    def track_edge(self, connection: PeerConnection, sender: str) -> None:
        """Records the connection of an edge. When the connection closes, clients are no longer sent to the
        edge: a dead edge is noticed before its next watch request is due."""
        if self.edge_connections.get(sender) is not connection:
            self.edge_connections[sender] = connection
            connection.on_close.append(lambda: self.on_edge_disconnected(connection, sender))

    def on_edge_disconnected(self, connection: PeerConnection, sender: str) -> None:
        """Stops listing the edges of that host that this member heard, until they are heard again."""
        if self.edge_connections.get(sender) is not connection:
            return
        del self.edge_connections[sender]
        host = parse_address(sender)[0]
        for name, record in list(self.hub.edges.records.items()):
            if record.heard_here and parse_address(record.edge.listen_address)[0] == host:
                self.hub.edge_disconnected(name)

    # --- messages

    def dispatch(self, sender: str, body: bytes, respond: Respond) -> None:
        """Handles a message of the process with that peer address."""
        channel, body = body[:1], body[1:]
        now = self.loop.time()
        self.stalls.observe(now)
        max_unread_s = self.stalls.max_unread_s(now)
        try:
            if channel != CONTROL_CHANNEL:
                self.reachability.record_contact(now - max_unread_s, sender)
            if channel == REPLICATION_CHANNEL:
                self.member.receive_delay_s = max_unread_s
                self.member.receive(now, sender, decode_replication(body))
                self.hub.set_confirmed_at(self.member.confirmed_at)
            elif channel == ROLE_CHANNEL:
                self.roles.receive(now, sender, decode_role_message(body))
            elif channel == CONTROL_CHANNEL:
                self.on_control_message(now, sender, control_messages.decode(body), respond, max_unread_s)
            elif channel == COMMAND_CHANNEL:
                self.router.on_forwarded(body, respond)
        except msgspec.MsgspecError as error:
            # Guards against a process of another version: its message is logged and skipped.
            logger.warning("message decode failed", sender=sender, error=str(error))
        self.run_state_machines()

    def on_control_message(
        self,
        now: float,
        sender: str,
        message: control_messages.Message,
        respond: Respond,
        max_unread_s: float,
    ) -> None:
        """Handles a control message. `max_unread_s`: how long it may have waited unread at this process."""
        match message:
            case WatchRequest():
                self.on_watch(now, message, respond, max_unread_s)
            case LoadReport():
                self.loads.receive_report(
                    now, message, lambda update: self.messenger.send_control(sender, update)
                )
            case LoadSums():
                self.loads.receive_sums(now, message)
            case PrefixIndexUpdate() | PrefixIndexAdditions() | PrefixIndexRequest():
                self.prefix_exchange.receive(now, message, lambda body: respond(CONTROL_CHANNEL + body))
            case EdgeObservations():
                self.reachability.record_contact(now - max_unread_s, sender)
                self.hub.update_edges(now, message, max_unread_s)
            case EndpointListRequest(term, number):
                respond(
                    encode_control_message(self.endpoint_sync.endpoint_list.update_since(term, number, now))
                )
            case EndpointUpdate():
                if self.endpoint_sync.on_update(now, message, max_unread_s):
                    respond(encode_control_message(self.endpoint_sync.endpoint_list.request(now)))

    def on_watch(self, now: float, request: WatchRequest, respond: Respond, max_unread_s: float) -> None:
        """Handles a watch of an edge, which is also its heartbeat."""
        # Guards against core members that all restarted: their terms must go above the one that edges have.
        self.roles.observe_term(now, ENDPOINT_LIST_ROLE, request.endpoints_version[0])
        version_before = self.hub.edges.own_version
        self.hub.watch(now, request, lambda response: respond(encode_control_message(response)), max_unread_s)
        if self.hub.edges.own_version != version_before:
            self.report_edges(now)
