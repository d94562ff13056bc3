"""The whole state of a balancer as plain data, and back. No I/O.

    state = freeze(balancer, number)     number: returns the number of a request for its tag
    balancer, rpcs = thaw(state, module) module: the decisions that the state is put into; rpcs: by number

Objects of the balancer become rows that name their fields, and refer to each other by index, so that a
capture may begin at any time, whatever is in flight. Nothing is pickled: reading a capture executes none of
its bytes.
"""

from collections.abc import Callable, Iterable
from itertools import count
from random import Random
from types import ModuleType

from shedgrade.sidecar.capture.stored_names import ATTRIBUTES, CLASSES, STORED_ATTRIBUTES, STORED_CLASSES

VERSION = 6  # of the fields of the state; a state with other fields can't be restored
DRAWS = {"chance": "random", "span": "uniform", "pick": "choices"}  # stored name -> method of the one Random


class StateError(Exception):
    """A state does not fit the balancer; the text says why in one line."""


PLAIN = frozenset((int, float, bool, str, type(None)))
UNSET = object()


def fields(thing: object) -> dict:
    """Returns an object's attributes by name, in a fixed order, without those that were never set."""
    if hasattr(thing, "__dict__"):
        return dict(thing.__dict__)
    return {
        name: value for name in type(thing).__slots__ if (value := getattr(thing, name, UNSET)) is not UNSET
    }


def freeze(balancer: object, number: Callable[[object], int], rpcs: Iterable = ()) -> dict:
    """Returns the balancer's state as plain data.

    `number`: returns the number of a request for its tag. `rpcs`: all requests in flight, as the balancer
    itself refers only to those that wait for something. StateError if a value has no stored form.
    """
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
        raise StateError(f"a value of type {kind.__name__} can't be stored")

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
    """Returns the balancer of a stored state, and its requests in flight by number.

    `module`: the decisions to use; `kind`: a subclass of the module's Balancer to create in its place.
    StateError if the state does not fit the module.
    """
    try:
        return put_back(state, module, kind or module.Balancer)
    except (AttributeError, IndexError, KeyError, TypeError, ValueError) as wrong:
        raise StateError(f"the state does not fit these decisions: {wrong!r}") from wrong


def put_back(state: dict, module: ModuleType, kind: type) -> tuple[object, dict[int, object]]:
    """As `thaw`, but a state that does not fit may also raise other errors."""
    if state["v"] != VERSION:
        raise StateError(f"state of version {state['v']}")
    made = []
    for name, _ in state["rows"]:
        if name not in CLASSES:
            raise StateError(f"unknown class {name!r}")
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
            raise StateError(f"{name} has other fields: {sorted(set(told) - known)}")
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
