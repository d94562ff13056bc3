"""A hot restart: what this process takes over from an older one, and what it hands to a newer one.

As in Envoy, two processes of the same sidecar run side by side for a while: the newer one takes the listening
socket, the list of upstreams, what was learned and the operators' orders; the older one drains. Steps and the
ways not taken: docs/design/operating.md.
"""

import socket
from typing import TYPE_CHECKING, Any

from loguru import logger

from shedgrade.http.endpoint_discovery import ListError
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

READY_TIMEOUT_S = 10.0  # within which a newer process must serve: it is owed a yes within 6
SPARE_DESCRIPTORS = 8  # that the older process may still open while the newer one takes its place
ORDERS = ("out", "back", "drain", "resume")  # as they are called between the processes


class HotRestart:
    """The links to an older and to a newer process of the same sidecar, while they last.

    Attributes:
        path: where the processes of this sidecar meet; None where they share no folder.
        listener: waits for the newer process; None until this one serves, or where it can't.
        older, newer: the links; None while there is no such process.
        newer_accepts: the newer one accepts the clients now; only while there is one.
        starts_standing_by: the older process stood by when it handed over.
        descriptors_stated: the most descriptors that the newer process was told are open here.
    """

    def __init__(self, sidecar: "Sidecar") -> None:
        self.sidecar = sidecar
        self.loop = sidecar.loop
        self.path = handover_path(sidecar.config.listen)
        self.listener: HandoverListener | None = None
        self.older: HandoverLink | None = None
        self.newer: HandoverLink | None = None
        self.newer_accepts = False
        self.starts_standing_by = False
        self.descriptors_stated = 0

    # --- as the newer one

    def take_over(self) -> socket.socket | None:
        """Takes what an older process hands over; its listening socket, if there is one."""
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
                raise HotRestartError(f"its state is not sound: {error!r}") from error
        except HotRestartError as error:
            logger.warning("nothing taken over from older process", error=str(error))
            return None
        self.older = link
        link.follow(self.on_older_message, self.on_older_closed)
        logger.info(
            "state taken over from older process",
            disabled_upstreams=len(self.sidecar.orders.disabled),
            descriptors=state.descriptors,
        )
        return listening_socket

    def apply_state(self, state: HandoverState) -> None:
        """Puts the older process's state in force; the list is read first, as only that can be refused."""
        sidecar, pool = self.sidecar, self.sidecar.pool
        if state.endpoint_list is not None:
            pool.listed(state.endpoint_list, asked=False)
            pool.take_over("the older process")
        if state.learned is not None:
            self.restore_learned(state.learned)
        for name in state.disabled:
            sidecar.orders.disabled.add(name)
            pool.dispatcher.set_withdrawn(pool.reader.indices.index(name), True, lambda: None)
        pool.dispatcher.set_slow_start_share(0.5)
        pool.dispatcher.run()
        sidecar.budget.share(state.descriptors)
        self.starts_standing_by = state.standing_by

    def restore_learned(self, stored: dict[str, Any]) -> None:
        """Hands the balancer what the older one had learned, as far as it fits."""
        from shedgrade.sidecar.learned_state_file import from_disk

        pool = self.sidecar.pool
        reader = pool.reader
        learned = from_disk(stored, reader.indices.by_id, list(reader.zones), list(reader.kinds))
        if learned is not None:
            pool.dispatcher.restore(learned, 0.0)

    def start_serving(self) -> None:
        """This process accepts clients: the older one need not, and the next one may come."""
        if self.older is not None:
            self.older.send({"what": "serving"})
            if self.starts_standing_by:
                self.sidecar.stand_by()
        if self.path is not None:
            try:
                self.listener = HandoverListener(self.loop, self.path, self.on_link)
            except OSError as failure:
                logger.warning("hot restart not possible", error=failure.strerror)

    def on_older_message(self, message: Message, descriptors: list[int]) -> None:
        """The older process gives descriptors back, or passes an order on."""
        if message["what"] == "holds":
            self.sidecar.budget.share(max(0, int(message["holds"])))
        elif message["what"] == "order":
            self.apply_order(message, self.newer)

    def on_older_closed(self) -> None:
        """The older process is gone."""
        if self.older is not None:
            self.older = None
            logger.info("older process ended")
            if self.newer is None:
                self.take_whole_budget()

    # --- as the older one

    def on_link(self, link: HandoverLink) -> None:
        """Somebody connected, who has not said who it is."""
        link.follow(
            lambda message, descriptors: self.on_newer_message(link, message),
            lambda: self.on_newer_closed(link),
        )

    def on_newer_message(self, link: HandoverLink, message: Message) -> None:
        """HotRestartError for what a newer process may not say."""
        if message["what"] == "hello":
            self.hand_over(link, message)
        elif link is not self.newer:
            raise HotRestartError("it has not said who it is")
        elif message["what"] == "serving":
            self.newer_accepts = True
            self.sidecar.listener.hand_over(True)
            logger.info("newer process accepts clients")
        elif message["what"] == "order":
            self.apply_order(message, self.older)

    def hand_over(self, link: HandoverLink, hello: Message) -> None:
        """Answers a newer process with all that it needs; from here on this one opens hardly anything."""
        if hello.get("v") != VERSION or not self.sidecar.accepts_clients():
            raise HotRestartError("another build, or nothing to hand over")
        if self.newer is not None:
            logger.warning("second newer process replaces the first")
            self.newer.close()
        self.newer = link
        self.loop.call_later(READY_TIMEOUT_S, self.on_ready_timeout, link)
        self.descriptors_stated = self.sidecar.budget.connections() + SPARE_DESCRIPTORS
        self.sidecar.budget.cap(self.descriptors_stated)
        self.sidecar.pool.dispatcher.set_slow_start_share(0.5)
        link.send(self.state().to_message(), self.sidecar.listener.socket.fileno())

    def on_ready_timeout(self, link: HandoverLink) -> None:
        """Guards against a newer process that stands still: this one would keep half of everything."""
        if link is self.newer and not self.newer_accepts:
            logger.warning("newer process not ready in time", timeout_s=READY_TIMEOUT_S)
            link.close()

    def on_newer_closed(self, link: HandoverLink) -> None:
        """The newer process is gone: this one serves on."""
        if link is not self.newer:
            return
        self.newer = None
        self.newer_accepts = False
        self.sidecar.listener.hand_over(False)
        logger.warning("newer process ended, this one serves on")
        self.take_whole_budget()

    def state(self) -> HandoverState:
        """All that a newer process takes over."""
        from shedgrade.sidecar.learned_state_file import to_disk

        pool = self.sidecar.pool
        reader = pool.reader
        endpoint_list = None
        if pool.listed_once:
            endpoint_list = {
                "generation": reader.version or 0,
                "reset": True,
                "instances": list(reader.told.values()),
            }
        learned = to_disk(
            pool.dispatcher.export(), reader.indices.ids, list(reader.zones), list(reader.kinds)
        )
        return HandoverState(
            disabled=sorted(self.sidecar.orders.disabled),
            standing_by=self.sidecar.is_standing_by(),
            descriptors=self.descriptors_stated,
            endpoint_list=endpoint_list,
            learned=learned,
        )

    # --- both

    def send_order(self, call: str, name: str = "") -> None:
        """An order that came here counts for the other process too. `call`: one of ORDERS."""
        for link in (self.older, self.newer):
            if link is not None:
                link.send({"what": "order", "call": call, "name": name})

    def apply_order(self, message: Message, onward: HandoverLink | None) -> None:
        """An order of the other process; `onward`: a third one that has to know. HotRestartError if it is
        none."""
        call, name = message["call"], message["name"]
        if type(name) is not str or call not in ORDERS:
            raise HotRestartError("no such order")
        if onward is not None:
            onward.send(message)
        self.sidecar.orders.apply_remote(call, name)

    def take_whole_budget(self) -> None:
        """There is no other process: everything is this one's again."""
        self.sidecar.budget.share(None)
        self.sidecar.pool.dispatcher.set_slow_start_share(1.0)

    def tick(self) -> None:
        """Now and then: the older one gives back the descriptors that it no longer holds."""
        if self.newer is not None and self.newer_accepts:
            held = self.sidecar.budget.connections()
            if held < self.descriptors_stated:
                self.descriptors_stated = held
                self.sidecar.budget.cap(held)
                self.newer.send({"what": "holds", "holds": held})

    def close(self) -> None:
        """This process ends; nothing is called any more."""
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
        """AssertionError if links and flags contradict each other."""
        assert self.newer is not None or not self.newer_accepts
        assert self.older is None or self.older is not self.newer
        assert self.descriptors_stated >= 0
        for link in (self.older, self.newer):
            assert link is None or link.socket.fileno() >= 0, "a closed link is still here"
