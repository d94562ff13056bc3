"""A hot restart: the state that this process takes over from an older one, and hands to a newer one.

As in Envoy, two processes of the same sidecar run side by side for a while. The newer one takes over the
listening socket, the endpoint list, the learned state and the operators' commands; the older one drains. The
steps and the rejected alternatives: docs/design/operating.md.
"""

import socket
from typing import TYPE_CHECKING, Any

from loguru import logger

from shedgrade.http.discovery_connection import ListError
from shedgrade.sidecar.lifecycle.hot_restart_link import (
    VERSION,
    HandoverLink,
    HandoverListener,
    HandoverState,
    HotRestartError,
    Message,
    connect_to_older,
    handover_path,
)

if TYPE_CHECKING:
    from shedgrade.sidecar.lifecycle.sidecar import Sidecar

READY_TIMEOUT_S = 10.0  # for the newer process to start serving; its readiness is due within 6 s
SPARE_DESCRIPTORS = 8  # file descriptors that the older process may still open after the handover
COMMANDS = ("out", "back", "drain", "resume")  # values of `call` in messages between the processes


class HotRestart:
    """The links to an older and to a newer process of the same sidecar.

    Attributes:
        path: Unix socket of the handover; None without TMPDIR, as the processes then share no directory.
        listener: accepts the link of a newer process; None until this one serves, or if it can't listen.
        older, newer: the links to the older and to the newer process; None if there is no such process.
        newer_accepts: whether the newer process accepts clients; False if there is none.
        start_in_standby: whether the older process was standing by at the handover.
        announced_descriptors: the most file descriptors that this process may have open, as last announced to
            the newer one.
    """

    def __init__(self, sidecar: "Sidecar") -> None:
        self.sidecar = sidecar
        self.loop = sidecar.loop
        self.path = handover_path(sidecar.config.listen)
        self.listener: HandoverListener | None = None
        self.older: HandoverLink | None = None
        self.newer: HandoverLink | None = None
        self.newer_accepts = False
        self.start_in_standby = False
        self.announced_descriptors = 0

    # --- in the newer process

    def take_over(self) -> socket.socket | None:
        """Takes over the state of an older process and returns the older process's listening socket.

        Returns None if there is no older process, or its state can't be used.
        """
        if self.path is None:
            return None
        try:
            handover = connect_to_older(self.loop, self.path)
            if handover is None:
                return None
            link, state, listening_socket = handover
            try:
                self.apply_state(state)
            except (AttributeError, KeyError, TypeError, ValueError, ListError) as error:
                link.close()
                listening_socket.close()
                raise HotRestartError(f"the state of the older process is invalid: {error!r}") from error
        except HotRestartError as error:
            logger.warning("nothing taken over from older process", error=str(error))
            return None
        self.older = link
        link.start(self.on_older_message, self.on_older_closed)
        logger.info(
            "state taken over from older process",
            disabled_upstreams=len(self.sidecar.commands.disabled),
            descriptors=state.descriptors,
        )
        return listening_socket

    def apply_state(self, state: HandoverState) -> None:
        """Applies the state of the older process, the endpoint list first: only the list can be rejected."""
        sidecar, pool = self.sidecar, self.sidecar.pool
        if state.endpoint_list is not None:
            pool.apply_list_message(state.endpoint_list, asked=False)
            pool.set_list_source("the older process")
        if state.learned is not None:
            self.restore_learned(state.learned)
        for upstream_id in state.disabled:
            sidecar.commands.disabled.add(upstream_id)
            pool.dispatcher.set_withdrawn(pool.reader.indices.index(upstream_id), True, lambda: None)
        pool.dispatcher.set_slow_start_share(0.5)
        pool.dispatcher.run()
        sidecar.budget.share(state.descriptors)
        self.start_in_standby = state.standing_by

    def restore_learned(self, stored: dict[str, Any]) -> None:
        """Passes the learned state of the older process to the balancer, as far as it fits."""
        from shedgrade.sidecar.learned_state_file import from_disk

        pool = self.sidecar.pool
        reader = pool.reader
        learned = from_disk(stored, reader.indices.by_id, list(reader.zones), list(reader.kinds))
        if learned is not None:
            pool.dispatcher.restore(learned, 0.0)

    def start_serving(self) -> None:
        """Tells the older process that this one accepts clients, and waits for the next newer process."""
        if self.older is not None:
            self.older.send({"what": "serving"})
            if self.start_in_standby:
                self.sidecar.stand_by()
        if self.path is not None:
            try:
                self.listener = HandoverListener(self.loop, self.path, self.on_link)
            except OSError as failure:
                logger.warning("hot restart not possible", error=failure.strerror)

    def on_older_message(self, message: Message, descriptors: list[int]) -> None:
        """Handles a message of the older process: it released descriptors, or forwards a command."""
        if message["what"] == "holds":
            self.sidecar.budget.share(max(0, int(message["holds"])))
        elif message["what"] == "order":
            self.apply_forwarded_command(message, self.newer)

    def on_older_closed(self) -> None:
        """Called when the older process has closed the link."""
        if self.older is not None:
            self.older = None
            logger.info("older process ended")
            if self.newer is None:
                self.restore_full_limits()

    # --- in the older process

    def on_link(self, link: HandoverLink) -> None:
        """Accepts a link; the other end must identify itself with `hello`."""
        link.start(
            lambda message, descriptors: self.on_newer_message(link, message),
            lambda: self.on_newer_closed(link),
        )

    def on_newer_message(self, link: HandoverLink, message: Message) -> None:
        """Handles a message of a newer process. Raises HotRestartError if it is not allowed."""
        if message["what"] == "hello":
            self.hand_over(link, message)
        elif link is not self.newer:
            raise HotRestartError("a message was received before hello")
        elif message["what"] == "serving":
            self.newer_accepts = True
            self.sidecar.listener.hand_over(True)
            logger.info("newer process accepts clients")
        elif message["what"] == "order":
            self.apply_forwarded_command(message, self.older)

    def hand_over(self, link: HandoverLink, hello: Message) -> None:
        """Sends the state and the listening socket to a newer process.

        From now on this process may open at most SPARE_DESCRIPTORS more descriptors. Raises HotRestartError
        if the protocol versions differ or this process accepts no clients.
        """
        if hello.get("v") != VERSION or not self.sidecar.accepts_clients():
            raise HotRestartError("protocol version differs, or there is no state to hand over")
        if self.newer is not None:
            logger.warning("second newer process replaces the first")
            self.newer.close()
        self.newer = link
        self.loop.call_later(READY_TIMEOUT_S, self.on_ready_timeout, link)
        self.announced_descriptors = self.sidecar.budget.connections() + SPARE_DESCRIPTORS
        self.sidecar.budget.cap(self.announced_descriptors)
        self.sidecar.pool.dispatcher.set_slow_start_share(0.5)
        link.send(self.state().to_message(), self.sidecar.listener.socket.fileno())

    def on_ready_timeout(self, link: HandoverLink) -> None:
        """Closes the link to a newer process that does not serve in time.

        Guards against one that hangs: this process would keep its reduced limits.
        """
        if link is self.newer and not self.newer_accepts:
            logger.warning("newer process not ready in time", timeout_s=READY_TIMEOUT_S)
            link.close()

    def on_newer_closed(self, link: HandoverLink) -> None:
        """Called when the newer process has ended: this one serves alone again, with its full limits."""
        if link is not self.newer:
            return
        self.newer = None
        self.newer_accepts = False
        self.sidecar.listener.hand_over(False)
        logger.warning("newer process ended, this one serves on")
        self.restore_full_limits()

    def state(self) -> HandoverState:
        """Returns the state that a newer process takes over."""
        from shedgrade.sidecar.learned_state_file import to_disk

        pool = self.sidecar.pool
        reader = pool.reader
        endpoint_list = None
        if pool.has_list:
            endpoint_list = {
                "generation": reader.version or 0,
                "reset": True,
                "instances": list(reader.known_entries.values()),
            }
        learned = to_disk(
            pool.dispatcher.export(), reader.indices.ids, list(reader.zones), list(reader.kinds)
        )
        return HandoverState(
            disabled=sorted(self.sidecar.commands.disabled),
            standing_by=self.sidecar.is_standing_by(),
            descriptors=self.announced_descriptors,
            endpoint_list=endpoint_list,
            learned=learned,
        )

    # --- in both processes

    def forward_command(self, command: str, upstream_id: str = "") -> None:
        """Forwards an operator's command to the other processes. `command`: one of COMMANDS."""
        for link in (self.older, self.newer):
            if link is not None:
                link.send({"what": "order", "call": command, "name": upstream_id})

    def apply_forwarded_command(self, message: Message, onward: HandoverLink | None) -> None:
        """Executes a command that another process forwarded.

        `onward`: the link to a third process, which gets the command too. Raises HotRestartError if the
        command is invalid.
        """
        command, upstream_id = message["call"], message["name"]
        if type(upstream_id) is not str or command not in COMMANDS:
            raise HotRestartError("the command is unknown, or the upstream's id is not a string")
        if onward is not None:
            onward.send(message)
        self.sidecar.commands.apply_forwarded(command, upstream_id)

    def restore_full_limits(self) -> None:
        """Restores the full limits of descriptors and of slow start, as there is no other process."""
        self.sidecar.budget.share(None)
        self.sidecar.pool.dispatcher.set_slow_start_share(1.0)

    def tick(self) -> None:
        """Called periodically: tells the newer process how many descriptors this older one still has open."""
        if self.newer is not None and self.newer_accepts:
            open_connections = self.sidecar.budget.connections()
            if open_connections < self.announced_descriptors:
                self.announced_descriptors = open_connections
                self.sidecar.budget.cap(open_connections)
                self.newer.send({"what": "holds", "holds": open_connections})

    def close(self) -> None:
        """Closes the listener and the links, without further callbacks."""
        if self.listener is not None:
            self.listener.close()
        for link in (self.older, self.newer):
            if link is not None:
                link.on_close = lambda: None
                link.close()
        self.older = None
        self.newer = None
        self.newer_accepts = False

    def check_invariants(self) -> None:
        """Raises AssertionError if links and flags contradict each other."""
        assert self.newer is not None or not self.newer_accepts
        assert self.older is None or self.older is not self.newer
        assert self.announced_descriptors >= 0
        for link in (self.older, self.newer):
            assert link is None or link.socket.fileno() >= 0, "a closed link is still referenced"
