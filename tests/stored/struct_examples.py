"""Examples of structs that are sent or stored: a value of each class, with a distinct value in each field.

`python tests/stored/struct_examples.py FILE` adds examples of all classes of `STRUCTS` that the file lacks.
It leaves existing examples as the earlier program wrote them, since their bytes stand for processes and disks
of that program.
"""

import importlib
import itertools
import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
from msgspec import inspect

# Sent between processes as arrays without field names, most of them with a tag.
SENT = {
    "controlplane.channels": "Outcome Relayed",
    "controlplane.duties": "Acknowledgement Ballot Heartbeat Vacated Vote",
    "controlplane.orders": "Conflict Evacuate PatchConfiguration PutConfiguration Reply Return",
    "knowledge": "Ask AskList ControlChange EdgeHeard EdgeSeen EdgeState EdgesKnown Instance ListMoved Model "
    "Told",
    "loads.messages": "LoadReport LoadsShared LoadsTold",
    "membership.messages": "Descriptor Digest Finding Inquiry Node Notice Ping Pong Query Rumour Shuffle "
    "Shuffled",
    "record.ledger": "AskRecord RecordMoved RecordRead",
    "replication.messages": "Ack EpochRecord Fetch HandOver Heartbeat Hello Install Installed Learn "
    "LeaveGranted Peer Piece PieceAck PreVote PreVoteReply Prepare Promise Refusal Replicate Transfer "
    "Whereabouts",
}
# Written to disk, or read from users' files, with the names of their fields.
STORED = {
    "capture.config": "Capture",
    "controlplane.delta": "Named RouteFields SplitFields",
    "core.learnt": "Export",
    "lab.scenario": "Callers Class Discovery Fault Fleet Group Judging Load Method SavedStart Scenario "
    "Settings Shape Sidecars Trace",
    "lifecycle.features": "Features",
    "quota.config": "Fleet LimitTable NodeTable Quota",
    "quota.state": "Counted Saved SavedDebt",
    "saved.config": "Saved",
    "saved.trust": "Trusting",
    "tunnel.config": "MethodTable PoolTable ProxyTable RouteTable Tunnel",
    "watch.config": "Watch",
}
STRUCTS = [
    f"{module}:{name}"
    for table in (SENT, STORED)
    for module, names in table.items()
    for name in names.split()
]

# Earlier module name: current module name. Modules that are not listed have their earlier name.
MODULES = {
    "capture.config": "sidecar.capture.config",
    "controlplane.duties": "controlplane.role_messages",
    "controlplane.orders": "controlplane.commands",
    "core.learnt": "sidecar.learned_state_file",
    "knowledge": "control_messages",
    "lifecycle.features": "sidecar.lifecycle.features",
    "loads.messages": "load_reports.messages",
    "quota.config": "sidecar.quota.config",
    "quota.state": "sidecar.quota.state",
    "record.ledger": "prefix_cache_index.index",
    "saved.config": "sidecar.endpoint_snapshot.config",
    "saved.trust": "sidecar.endpoint_snapshot.trust",
    "tunnel.config": "sidecar.tunnel.config",
    "watch.config": "sidecar.shadow_policy.config",
}
# Earlier class name: current module and class, for each class that was renamed, or moved elsewhere than
# `MODULES` says.
CLASSES: dict[str, str] = {
    "capture.config:Capture": "sidecar.capture.config:CaptureConfig",
    "core.learnt:Export": "sidecar.learned_state_file:StoredLearnedState",
    "quota.state:Counted": "sidecar.quota.state:SavedUse",
    "quota.state:Saved": "sidecar.quota.state:SavedState",
    "saved.config:Saved": "sidecar.endpoint_snapshot.config:SavedListConfig",
    "saved.trust:Trusting": "sidecar.endpoint_snapshot.trust:TrustConfig",
    "watch.config:Watch": "sidecar.shadow_policy.config:ShadowPolicyConfig",
    "replication.messages:EpochRecord": "replication.messages:EpochConfig",
    "replication.messages:Hello": "replication.messages:JoinRequest",
    "replication.messages:Learn": "replication.messages:CatchUp",
    "replication.messages:Piece": "replication.messages:Chunk",
    "replication.messages:PieceAck": "replication.messages:ChunkAck",
    "replication.messages:Whereabouts": "replication.messages:PrimaryHint",
    "controlplane.channels:Outcome": "controlplane.channels:ForwardedResponse",
    "controlplane.channels:Relayed": "controlplane.channels:ForwardedRequest",
    "controlplane.delta:Named": "controlplane.delta:ItemName",
    "controlplane.duties:Ballot": "controlplane.role_messages:VoteRequest",
    "controlplane.duties:Vacated": "controlplane.role_messages:RoleReleased",
    "controlplane.duties:Vote": "controlplane.role_messages:VoteResponse",
    "controlplane.orders:Conflict": "controlplane.commands:RevisionConflict",
    "controlplane.orders:Reply": "controlplane.commands:CommandReply",
    "controlplane.orders:Return": "controlplane.commands:CancelEvacuation",
    "knowledge:Ask": "control_messages:WatchRequest",
    "knowledge:AskList": "control_messages:EndpointListRequest",
    "knowledge:EdgeHeard": "control_messages:EdgeObservation",
    "knowledge:EdgeSeen": "control_messages:EdgeRecord",
    "knowledge:EdgeState": "control_messages:EdgeStatus",
    "knowledge:EdgesKnown": "control_messages:EdgeObservations",
    "knowledge:Instance": "control_messages:Endpoint",
    "knowledge:ListMoved": "control_messages:EndpointUpdate",
    "knowledge:Told": "control_messages:WatchResponse",
    "loads.messages:LoadsShared": "load_reports.messages:LoadSums",
    "loads.messages:LoadsTold": "load_reports.messages:LoadUpdate",
    "membership.messages:Finding": "membership.messages:IndirectAck",
    "membership.messages:Inquiry": "membership.messages:IndirectPing",
    "membership.messages:Notice": "membership.messages:MembershipUpdate",
    "membership.messages:Pong": "membership.messages:Ack",
    "membership.messages:Query": "membership.messages:DescriptorRequest",
    "membership.messages:Shuffle": "membership.messages:ShuffleRequest",
    "membership.messages:Shuffled": "membership.messages:ShuffleResponse",
    "record.ledger:AskRecord": "prefix_cache_index.index:PrefixIndexRequest",
    "record.ledger:RecordMoved": "prefix_cache_index.index:PrefixIndexUpdate",
    "record.ledger:RecordRead": "prefix_cache_index.index:PrefixIndexAdditions",
}


def current_class(name: str) -> type[msgspec.Struct]:
    """Returns the class that had this name in the earlier program."""
    module, cls = name.split(":")
    module, cls = CLASSES.get(name, f"{MODULES.get(module, module)}:{cls}").split(":")
    return getattr(importlib.import_module(f"shedgrade.{module}"), cls)


def wrap_into_bounds(number: float, least: float | None, most: float | None) -> float:
    """Wraps a number into the bounds of a field; None: the field has no such bound."""
    least = least or 0
    if most is None:
        return number + least
    return least + number % (most - least)


class Examples:
    """Makes values that differ from field to field."""

    def __init__(self) -> None:
        self.numbers = itertools.count(1)
        self.booleans = itertools.cycle((True, False))
        self.unfinished: list[type] = []  # classes whose example is being made

    def value_of(self, kind: inspect.Type) -> Any:
        """Returns a value of that type. Raises TypeError if the type is not supported."""
        number = next(self.numbers)
        match kind:
            case inspect.IntType(ge=least, le=most):
                return int(wrap_into_bounds(number, least, most))
            case inspect.FloatType(ge=least, gt=above, le=most, lt=below):
                return wrap_into_bounds(
                    number + 0.5, above if least is None else least, below if most is None else most
                )
            case inspect.StrType():
                return f"text-{number}"
            case inspect.BytesType():
                return b"\x00bytes-%d" % number
            case inspect.BoolType():
                return next(self.booleans)
            case inspect.LiteralType(values=values):
                return values[number % len(values)]
            case inspect.ListType(item_type=item) | inspect.VarTupleType(item_type=item):
                values = [self.value_of(item), self.value_of(item)]
                return tuple(values) if isinstance(kind, inspect.VarTupleType) else values
            case inspect.SetType(item_type=item) | inspect.FrozenSetType(item_type=item):
                return frozenset((self.value_of(item),))
            case inspect.TupleType(item_types=items):
                return tuple(map(self.value_of, items))
            case inspect.DictType(value_type=inspect.StructType(cls=cls)) if cls in self.unfinished:
                return {}  # a class that contains itself
            case inspect.DictType(key_type=key, value_type=value):
                return {self.value_of(key): self.value_of(value)}
            case inspect.UnionType(types=types):
                return self.value_of(next(filter(self.is_possible, types), inspect.NoneType()))
            case inspect.StructType(cls=cls, fields=fields) | inspect.DataclassType(cls=cls, fields=fields):
                self.unfinished.append(cls)
                values = {field.name: self.value_of(field.type) for field in fields}
                self.unfinished.pop()
                return cls(**values)
            case inspect.AnyType():
                return f"any-{number}"
            case inspect.NoneType():
                return None
            case inspect.Metadata(type=inner):
                return self.value_of(inner)
        raise TypeError(f"no example for {kind}")

    def is_possible(self, kind: inspect.Type) -> bool:
        """Returns whether a member of a union can be its example.

        None can't, since it shows nothing of the encoding, nor a class whose own example is being made.
        """
        return not isinstance(kind, inspect.NoneType) and getattr(kind, "cls", None) not in self.unfinished


def encode(value: msgspec.Struct) -> str:
    """Encodes a value as it is sent (MessagePack, in hexadecimal digits) or stored (JSON)."""
    if type(value).__struct_config__.array_like:
        return msgspec.msgpack.encode(value).hex()
    return msgspec.json.encode(value).decode()


def decode(text: str, cls: type[msgspec.Struct]) -> msgspec.Struct:
    """Decodes a result of `encode`."""
    if cls.__struct_config__.array_like:
        return msgspec.msgpack.decode(bytes.fromhex(text), type=cls)
    return msgspec.json.decode(text, type=cls)


def to_json_types(value: Any) -> Any:
    """Converts a value to types that JSON has."""
    return json.loads(json.dumps(msgspec.to_builtins(value, str_keys=True)))


def example(cls: type[msgspec.Struct]) -> dict[str, Any]:
    """Returns the encoded form of an example, and the value of each of its fields."""
    value = Examples().value_of(inspect.type_info(cls))
    fields = {name: to_json_types(getattr(value, name)) for name in cls.__struct_fields__}
    return {"encoded": encode(value), "fields": fields}


def missing_examples(known: dict[str, Any]) -> Iterator[str]:
    """Yields the names of `STRUCTS` that have no example."""
    return (name for name in STRUCTS if name not in known)


def main(path: Path) -> None:
    """Adds the examples that the file lacks."""
    known = json.loads(path.read_text()) if path.exists() else {}
    for name in missing_examples(known):
        known[name] = example(current_class(name))
    path.write_text(json.dumps(known, indent=1) + "\n")


if __name__ == "__main__":
    main(Path(sys.argv[1]))
