"""What core members and edges say over one link, told apart by the body's first byte."""

from collections.abc import Mapping

import msgspec

from shedgrade.controlplane.orders import Conflict, Order, Reply

REPLICATION, KNOWLEDGE, DUTIES, ORDERS = b"R", b"K", b"D", b"O"


class Relayed(msgspec.Struct, array_like=True, frozen=True, tag="relayed"):
    """An order that another member took, for the primary. `order`: None for a read. `held`: the version of
    the configuration that the other member holds, finished; it needs not be sent again."""

    order: Order | None
    held: int = 0


class Outcome(msgspec.Struct, array_like=True, frozen=True, tag="outcome"):
    """What became of it. `reply`: None if it can't be said here. `state`: of a read, its configuration."""

    reply: Reply | Conflict | None
    state: dict[str, bytes] | None = None


def version_of(state: Mapping[str, bytes]) -> int:
    """0 if there is no configuration yet."""
    return int(state.get("version") or 0)


def read_response(state: Mapping[str, bytes], held: int = 0) -> dict[str, bytes]:
    """What a read is answered with: the version of the configuration and, unless that is `held`, its bytes;
    none of the record of those before it. One number never stands for two configurations."""
    response = {key: state[key] for key in ("version", "configuration") if key in state}
    if held and version_of(state) == held:
        del response["configuration"]
    return response


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Relayed | Outcome).decode
