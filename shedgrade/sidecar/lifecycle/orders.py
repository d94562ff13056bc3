"""What the operators have ordered, kept for as long as the sidecar runs."""

from collections.abc import Callable

from loguru import logger


class OrderBook:
    """Which upstreams are out, by id, and whether the sidecar stands by. The module does what is ordered.

    Kept outside the list: it may drop, move or restart an upstream, which stays out until it is put back.
    """

    def __init__(self, sidecar) -> None:
        self.sidecar = sidecar
        self.outs: set[str] = set()

    def ready(self) -> bool:
        return self.sidecar.takes_clients()

    def out(self, name: str, told: Callable[[bool, str], None]) -> None:
        self.move(name, True, told)

    def back(self, name: str, told: Callable[[bool, str], None]) -> None:
        self.move(name, False, told)

    def move(self, name: str, out: bool, told: Callable[[bool, str], None]) -> None:
        pool = self.sidecar.pool
        if name not in self.outs and name not in pool.reader.indices.by_id:
            told(False, "no upstream has that id")
            return
        if out != (name in self.outs):
            logger.info("ordered: upstream {!r} is {}", name, "out" if out else "back")
        self.sidecar.upgrade.order("out" if out else "back", name)
        self.set(name, out, told)

    def set(self, name: str, out: bool, told: Callable[[bool, str], None]) -> None:
        pool = self.sidecar.pool
        (self.outs.add if out else self.outs.discard)(name)
        words = "nothing more goes there" if out else "it is back, as cold"
        pool.dispatcher.set_withdrawn(pool.reader.indices.index(name), out, lambda: told(True, words))

    def carry_out(self, call: str, name: str) -> None:
        """An order that came to the other process of an upgrade."""
        if call in ("out", "back"):
            self.set(name, call == "out", lambda yes, words: None)
        else:
            (self.sidecar.stand_by if call == "drain" else self.sidecar.resume)()

    def drain(self) -> tuple[bool, str]:
        self.sidecar.upgrade.order("drain")
        return self.sidecar.stand_by(), "standing by"

    def resume(self) -> tuple[bool, str]:
        self.sidecar.upgrade.order("resume")
        yes = self.sidecar.resume()
        return yes, "serving" if yes else "it ends"
