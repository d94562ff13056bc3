"""The module's whole state as plain data, and back. No I/O.

    state = freeze(balancer, number)     number: gives an RPC's number for its tag
    balancer, rpcs = thaw(state, module) module: the decisions to put it into; rpcs by number

Objects of the module become rows that name their fields, and refer to each other by place, so that a capture
may
begin in the middle, whatever is in hand. Nothing is pickled: reading a capture runs none of its bytes.
"""

from collections.abc import Callable, Iterable
from itertools import count
from random import Random
from types import ModuleType

from shedgrade.sidecar.capture.stored_names import ATTRIBUTES, CLASSES, STORED_ATTRIBUTES, STORED_CLASSES

VERSION = 6  # of the decisions' fields: what was frozen of others can't be gone on with
DRAWS = {"chance": "random", "span": "uniform", "pick": "choices"}  # stored name: draw from the one Random


class StateError(Exception):
    """Why a state can't be put into these decisions, in one line."""


PLAIN = frozenset((int, float, bool, str, type(None)))
UNSET = object()


def fields(thing: object) -> dict:
    """Attributes by name, in a fixed order; those never set are left out."""
    if hasattr(thing, "__dict__"):
        return dict(thing.__dict__)
    return {
        name: value for name in type(thing).__slots__ if (value := getattr(thing, name, UNSET)) is not UNSET
    }


def freeze(balancer: object, number: Callable[[object], int], rpcs: Iterable = ()) -> dict:
    """`rpcs`: those in hand, as the balancer itself names only the ones that wait for something."""
    rows: list[list] = []
    places: dict[int, int] = {}

    def place(thing: object) -> int:
        known = places.get(id(thing))
        if known is None:
            known = places[id(thing)] = len(rows)
            rows.append([])
            told = {}
            cls = STORED_CLASSES[type(thing).__name__]
            stored_names = STORED_ATTRIBUTES[cls]
            for attribute in type(thing).__slots__:
                value = getattr(thing, attribute, UNSET)
                name = stored_names.get(attribute, attribute)
                if type(value) in PLAIN:
                    told[name] = number(value) if name == "tag" else value
                elif name == "tag":
                    told[name] = number(value)
                elif value is not UNSET and name != "home":
                    told[name] = spell(value)
            rows[known] = [cls, told]
        return known

    def spell(value: object) -> object:
        kind = type(value)
        if kind in PLAIN:
            return value
        if kind is list:
            return ["l", [spell(one) for one in value]]
        if kind is tuple:
            return ["t", [spell(one) for one in value]]
        if kind is dict:
            return ["d", [[spell(key), spell(one)] for key, one in value.items()]]
        if kind.__name__ in STORED_CLASSES:
            return ["o", place(value)]
        raise StateError(f"a {kind.__name__} has no form here")

    told = {}
    stored_names = STORED_ATTRIBUTES["Balancer"]
    for attribute, value in fields(balancer).items():
        name = stored_names.get(attribute, attribute)
        if name in DRAWS:
            told[name] = None
        elif name == "count":
            told[name] = value.__self__.__reduce__()[1][0]
        else:
            told[name] = spell(value)
    for rpc in rpcs:
        place(rpc)
    version, words, gauss = balancer.random.__self__.getstate()
    return {"v": VERSION, "balancer": told, "rows": rows, "random": [version, list(words), gauss]}


def thaw(state: dict, module: ModuleType, kind: type | None = None) -> tuple[object, dict[int, object]]:
    """`kind`: a subclass of the module's Balancer to be made in its place. StateError if it does not fit."""
    try:
        return put_back(state, module, kind or module.Balancer)
    except (AttributeError, IndexError, KeyError, TypeError, ValueError) as wrong:
        raise StateError(f"the state is not of these decisions: {wrong!r}") from wrong


def put_back(state: dict, module: ModuleType, kind: type) -> tuple[object, dict[int, object]]:
    """As `thaw`, with the errors of a state that does not fit as they are."""
    if state["v"] != VERSION:
        raise StateError(f"state of version {state['v']}")
    made = []
    for name, _ in state["rows"]:
        if name not in CLASSES:
            raise StateError(f"an object {name!r} is not known")
        cls = getattr(module, CLASSES[name])
        made.append(cls.__new__(cls))

    def read(value: object) -> object:
        if type(value) is not list:
            return value
        what, held = value
        if what == "o":
            return made[held]
        if what == "d":
            return {read(key): read(one) for key, one in held}
        return [read(one) for one in held] if what == "l" else tuple(read(one) for one in held)

    balancer = kind.__new__(kind)
    rpcs = {}
    for thing, (name, told) in zip(made, state["rows"], strict=True):
        attributes, stored_names = ATTRIBUTES[name], STORED_ATTRIBUTES[name]
        known = {stored_names.get(slot, slot) for slot in type(thing).__slots__} - {"home"}
        if not set(told) <= known or not told:
            raise StateError(f"{name} has other fields there: {sorted(set(told) - known)}")
        for field, value in told.items():
            setattr(thing, attributes.get(field, field), value if field == "tag" else read(value))
        if name == "Rpc":
            thing.balancer = balancer
            rpcs[thing.tag] = thing
    version, words, gauss = state["random"]
    random = Random()
    random.setstate((version, tuple(words), gauss))
    attributes = ATTRIBUTES["Balancer"]
    for name, value in state["balancer"].items():
        attribute = attributes.get(name, name)
        if name in DRAWS:
            setattr(balancer, attribute, getattr(random, DRAWS[name]))
        elif name == "count":
            setattr(balancer, attribute, count(value).__next__)
        else:
            setattr(balancer, attribute, read(value))
    return balancer, rpcs
