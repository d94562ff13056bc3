"""One side of an upgrade: what this process takes over from an older one, and what it tells a newer one."""

import socket

from loguru import logger

from shedgrade.http.discovery import ListError
from shedgrade.sidecar.lifecycle.succession import Link, Rendezvous, SuccessionError, meet, rendezvous

VERSION = 1
SERVES = 10.0  # s within which a newer process must serve: it is owed a yes within 6
SLACK = 8  # descriptors that the old process may still open while the new one takes its place


class Upgrade:
    """The links to an older and to a newer process of the same sidecar, while they last."""

    def __init__(self, sidecar) -> None:
        self.sidecar, self.loop = sidecar, sidecar.loop
        self.path = rendezvous(sidecar.config.listen)
        self.place: Rendezvous | None = None
        self.older: Link | None = None
        self.newer: Link | None = None
        self.replaced = False  # the newer one takes the clients now
        self.stands_by = False  # so the older one does
        self.told = 0  # descriptors that the newer one was told are held here

    # --- as the newer one

    def take_over(self) -> socket.socket | None:
        """What an older process hands over; its listening socket, if there is one."""
        if self.path is None:
            return None
        try:
            found = meet(self.loop, self.path)
            if found is None:
                return None
            link, told, handle = found
            try:
                self.take(told)
            except (AttributeError, KeyError, TypeError, ValueError, ListError) as wrong:
                link.close()
                handle.close()
                raise SuccessionError(f"what it tells is not sound: {wrong!r}") from wrong
        except SuccessionError as wrong:
            logger.warning("nothing is taken over from the older process: {}", wrong)
            return None
        self.older = link
        link.follow(self.from_older, self.older_gone)
        logger.info(
            "taken over from the older process: {} upstreams out, {} descriptors held there",
            len(self.sidecar.orders.outs),
            told["holds"],
        )
        return handle

    def take(self, told: dict) -> None:
        """All of it is looked at before any of it is used."""
        sidecar, pool = self.sidecar, self.sidecar.pool
        outs, stands_by, holds = told["outs"], told["standing_by"], told["holds"]
        if not (
            type(outs) is list
            and all(type(name) is str for name in outs)
            and type(stands_by) is bool
            and type(holds) is int
            and holds >= 0
        ):
            raise TypeError("orders or holds")
        if told["list"] is not None:
            pool.listed(told["list"], asked=False)
            pool.take_over("the older process")
        if told["learnt"] is not None:
            from shedgrade.sidecar.learned_state_file import from_disk

            state = from_disk(
                told["learnt"], pool.reader.indices.by_id, list(pool.reader.zones), list(pool.reader.kinds)
            )
            if state is not None:
                pool.dispatcher.restore(state, 0.0)
        for name in outs:
            sidecar.orders.outs.add(name)
            pool.dispatcher.set_withdrawn(pool.reader.indices.index(name), True, lambda: None)
        pool.dispatcher.set_slow_start_share(0.5)
        pool.dispatcher.run()
        sidecar.budget.share(holds)
        self.stands_by = stands_by

    def serving(self) -> None:
        """This process takes clients: the older one need not, and the next one may come."""
        if self.older is not None:
            self.older.send({"what": "serving"})
            if self.stands_by:
                self.sidecar.stand_by()
        if self.path is not None:
            try:
                self.place = Rendezvous(self.loop, self.path, self.came)
            except OSError as failure:
                logger.warning("the next process will find nothing to take over: {}", failure.strerror)

    def from_older(self, line: dict, handles: list[int]) -> None:
        if line["what"] == "holds":
            self.sidecar.budget.share(max(0, int(line["holds"])))
        elif line["what"] == "order":
            self.apply(line, self.newer)

    def older_gone(self) -> None:
        if self.older is not None:
            self.older = None
            logger.info("the older process has ended")
            if self.newer is None:
                self.alone()

    # --- as the older one

    def came(self, link: Link) -> None:
        link.follow(lambda line, handles: self.from_newer(link, line), lambda: self.newer_gone(link))

    def from_newer(self, link: Link, line: dict) -> None:
        if line["what"] == "hello":
            sound = line.get("v") == VERSION and self.sidecar.takes_clients()
            if not sound:
                raise SuccessionError("another build, or nothing to hand over")
            if self.newer is not None:
                logger.warning("a second newer process came, it takes the first one's place")
                self.newer.close()
            self.newer = link
            self.loop.call_later(SERVES, self.late, link)
            self.told = self.sidecar.budget.held() + SLACK
            self.sidecar.budget.cap(self.told)
            self.sidecar.pool.dispatcher.set_slow_start_share(0.5)
            self.newer.send(self.state(), self.sidecar.listener.socket.fileno())
        elif link is not self.newer:
            raise SuccessionError("it has not said who it is")
        elif line["what"] == "serving":
            self.replaced = True
            self.sidecar.listener.hand_over(True)
            logger.info("a newer process takes the clients")
        elif line["what"] == "order":
            self.apply(line, self.older)

    def late(self, link: Link) -> None:
        """Guards against a newer process that stands still: this one would keep half of everything."""
        if link is self.newer and not self.replaced:
            logger.warning("the newer process does not get to serve")
            link.close()

    def newer_gone(self, link: Link) -> None:
        if link is not self.newer:
            return
        self.newer, self.replaced = None, False
        self.sidecar.listener.hand_over(False)
        logger.warning("the newer process has ended, this one serves on")
        self.alone()

    def state(self) -> dict:
        from shedgrade.sidecar.learned_state_file import to_disk

        pool, orders = self.sidecar.pool, self.sidecar.orders
        reader = pool.reader
        rows = {"generation": reader.version or 0, "reset": True, "instances": list(reader.told.values())}
        learnt = to_disk(pool.dispatcher.export(), reader.indices.ids, list(reader.zones), list(reader.kinds))
        return {
            "v": VERSION,
            "what": "state",
            "outs": sorted(orders.outs),
            "standing_by": self.sidecar.stands_by(),
            "holds": self.told,
            "list": rows if pool.listed_once else None,
            "learnt": learnt,
        }

    # --- both

    def order(self, call: str, name: str = "") -> None:
        """An order that came here counts for the other process too."""
        for link in (self.older, self.newer):
            if link is not None:
                link.send({"what": "order", "call": call, "name": name})

    def apply(self, line: dict, onward: Link | None) -> None:
        call, name = line["call"], line["name"]
        if type(name) is not str or call not in ("out", "back", "drain", "resume"):
            raise SuccessionError("no such order")
        if onward is not None:
            onward.send(line)
        self.sidecar.orders.carry_out(call, name)

    def alone(self) -> None:
        """Everything is this process's again."""
        self.sidecar.budget.share(None)
        self.sidecar.pool.dispatcher.set_slow_start_share(1.0)

    def look_after(self) -> None:
        """The old one gives back what it no longer holds."""
        if self.newer is not None and self.replaced:
            held = self.sidecar.budget.held()
            if held < self.told:
                self.told = held
                self.sidecar.budget.cap(held)
                self.newer.send({"what": "holds", "holds": held})

    def close(self) -> None:
        if self.place is not None:
            self.place.close()
        for link in (self.older, self.newer):
            if link is not None:
                link.ended = lambda: None
                link.close()
