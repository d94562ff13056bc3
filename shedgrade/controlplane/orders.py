"""The operators' orders, decided against the newest control state. Pure: `make_decide` gives the function."""
from collections.abc import Container, Mapping
from hashlib import blake2b

import msgspec

from shedgrade.replication.effects import Decision

REMEMBERED = 64     # configurations taken, of which a late repeat is told that it was


class PutConfiguration(msgspec.Struct, array_like=True, frozen=True, tag="put"):
    """A configuration whose content has been checked. `base`: the version it builds on, None: not said."""
    base: int | None
    version: int
    raw: bytes


class Evacuate(msgspec.Struct, array_like=True, frozen=True, tag="evacuate"):
    zone: str


class Return(msgspec.Struct, array_like=True, frozen=True, tag="return"):
    zone: str


Order = PutConfiguration | Evacuate | Return


class Reply(msgspec.Struct, array_like=True, frozen=True):
    """`status` and text of an answer."""
    status: int
    text: str = ""


def digest(raw: bytes) -> str:
    return blake2b(raw, digest_size=12).hexdigest()


def make_decide(zones: Container[str]):
    """`decide(state, order)` for a deployment with these zones."""

    def put(state: Mapping[str, bytes], order: PutConfiguration) -> Decision:
        current = int(state.get("version") or 0)
        taken = msgspec.json.decode(state.get("taken") or b"[]")
        if [order.version, digest(order.raw)] in taken:
            return Decision({}, Reply(200))
        if order.base is None or order.base != current:
            return Decision({}, Reply(412, f"version {current} is in place"))
        if order.version <= current:
            return Decision({}, Reply(400, f"configVersion: is not above {current}"))
        taken = [*taken, [order.version, digest(order.raw)]][-REMEMBERED:]
        return Decision({"configuration": order.raw, "version": b"%d" % order.version,
                         "taken": msgspec.json.encode(taken)}, Reply(200))

    def evacuations(state: Mapping[str, bytes], zone: str, wanted: bool) -> Decision:
        if zone not in zones:
            return Decision({}, Reply(404, f"{zone}: no such zone"))
        known = set(msgspec.json.decode(state.get("evacuations") or b"[]"))
        if (zone in known) == wanted:
            return Decision({}, Reply(200))
        known ^= {zone}
        return Decision({"evacuations": msgspec.json.encode(sorted(known))}, Reply(200))

    def decide(state: Mapping[str, bytes], order: Order) -> Decision:
        match order:
            case PutConfiguration():
                return put(state, order)
            case Evacuate(zone):
                return evacuations(state, zone, True)
            case Return(zone):
                return evacuations(state, zone, False)
        raise TypeError(f"no order: {order!r}")

    return decide
