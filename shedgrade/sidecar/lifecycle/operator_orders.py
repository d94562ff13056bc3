"""The operators' commands, which stay in force while the sidecar runs."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from shedgrade.sidecar.lifecycle.sidecar import Sidecar

Reply = Callable[[bool, str], None]  # called once with: whether the call succeeded, a short explanation


class OperatorCommands:
    """Executes the operators' commands, in this process and in the other one of a hot restart.

    Attributes:
        disabled: ids of the upstreams that get no requests. A new endpoint list does not change them: an
            upstream that the list omits, or lists with another address or start time, stays disabled until
            an operator enables it.
    """

    def __init__(self, sidecar: "Sidecar") -> None:
        self.sidecar = sidecar
        self.disabled: set[str] = set()

    def ready(self) -> bool:
        """Returns whether this process accepts clients and has an endpoint list."""
        return self.sidecar.accepts_clients()

    def disable(self, upstream_id: str, reply: Reply) -> None:
        """Stops sending requests to this upstream."""
        self.change(upstream_id, True, reply)

    def enable(self, upstream_id: str, reply: Reply) -> None:
        """Sends requests to this upstream again, with a slow start."""
        self.change(upstream_id, False, reply)

    def change(self, upstream_id: str, disable: bool, reply: Reply) -> None:
        """Disables or enables a known upstream, in this process and in the other one of a hot restart."""
        if upstream_id not in self.disabled and upstream_id not in self.sidecar.pool.reader.indices.by_id:
            reply(False, "no upstream has that id")
            return
        if disable and upstream_id not in self.disabled:
            logger.info("upstream disabled by operator", upstream=upstream_id)
        elif not disable and upstream_id in self.disabled:
            logger.info("upstream enabled by operator", upstream=upstream_id)
        self.sidecar.hot_restart.forward_command("out" if disable else "back", upstream_id)
        self.apply(upstream_id, disable, reply)

    def apply(self, upstream_id: str, disable: bool, reply: Reply) -> None:
        """Disables or enables an upstream in this process; calls `reply` once the balancer has applied it."""
        pool = self.sidecar.pool
        (self.disabled.add if disable else self.disabled.discard)(upstream_id)
        text = "nothing more goes there" if disable else "it is back, as cold"
        pool.dispatcher.set_withdrawn(
            pool.reader.indices.index(upstream_id), disable, lambda: reply(True, text)
        )

    def apply_forwarded(self, command: str, upstream_id: str) -> None:
        """Executes a command that the other process of a hot restart received: out, back, drain or resume."""
        if command in ("out", "back"):
            self.apply(upstream_id, command == "out", lambda done, text: None)
        elif command == "drain":
            self.sidecar.stand_by()
        else:
            self.sidecar.resume()

    def drain(self) -> tuple[bool, str]:
        """Moves clients away from this sidecar until `resume`. Returns whether it succeeded, and a text."""
        self.sidecar.hot_restart.forward_command("drain")
        return self.sidecar.stand_by(), "standing by"

    def resume(self) -> tuple[bool, str]:
        """Ends the drain. Returns whether it succeeded, and a text."""
        self.sidecar.hot_restart.forward_command("resume")
        done = self.sidecar.resume()
        return done, "serving" if done else "it ends"
