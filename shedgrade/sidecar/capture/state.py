"""The whole state of a balancer as plain data, and back. No I/O.

    state = freeze(balancer, number)
    balancer, rpcs = thaw(state, module)

`number` is called with the `tag` of an `Rpc` and returns the number of the request. `module` is the load
balancing module whose classes are created; `rpcs` are its requests in flight by number.

Each object of the balancer becomes a row with its class and its fields by name; rows refer to each other by
index. So a capture may begin at any time, whatever is in flight. Nothing is pickled: reading a capture
executes none of its bytes.
"""

from collections.abc import Callable, Iterable
from itertools import count
from random import Random
from types import ModuleType

from shedgrade.sidecar.capture.stored_names import ATTRIBUTES, CLASSES, STORED_ATTRIBUTES, STORED_CLASSES

VERSION = 6  # of the fields of the state; a state with other fields can't be restored
# Stored name -> method of the balancer's random number generator, a `Random`.
RANDOM_METHODS = {"chance": "random", "span": "uniform", "pick": "choices"}


class StateError(Exception):
    """A value can't be stored, or a stored state does not fit the balancer; the text says why in one line."""


PLAIN_TYPES = frozenset((int, float, bool, str, type(None)))
UNSET = object()


def attributes_of(instance: object) -> dict:
    """Returns an object's attributes by name, in a fixed order, without those that were never set."""
    if hasattr(instance, "__dict__"):
        return dict(instance.__dict__)
    return {
        name: value
        for name in type(instance).__slots__
        if (value := getattr(instance, name, UNSET)) is not UNSET
    }


def freeze(balancer: object, number: Callable[[object], int], rpcs: Iterable = ()) -> dict:
    """Returns the balancer's state as plain data.

    `number`: returns the number of a request for its tag. `rpcs`: all requests in flight, as the balancer
    itself refers only to those that wait for something. StateError if a value has no stored form.
    """
    rows: list[list] = []
    indices: dict[int, int] = {}

    def index_of(instance: object) -> int:
        index = indices.get(id(instance))
        if index is None:
            index = indices[id(instance)] = len(rows)
            rows.append([])
            stored = {}
            cls = STORED_CLASSES[type(instance).__name__]
            stored_names = STORED_ATTRIBUTES[cls]
            for attribute in type(instance).__slots__:
                value = getattr(instance, attribute, UNSET)
                name = stored_names.get(attribute, attribute)
                if type(value) in PLAIN_TYPES:
                    stored[name] = number(value) if name == "tag" else value
                elif name == "tag":
                    stored[name] = number(value)
                elif value is not UNSET and name != "home":
                    stored[name] = encode(value)
            rows[index] = [cls, stored]
        return index

    def encode(value: object) -> object:
        value_type = type(value)
        if value_type in PLAIN_TYPES:
            return value
        if value_type is list:
            return ["l", [encode(item) for item in value]]
        if value_type is tuple:
            return ["t", [encode(item) for item in value]]
        if value_type is dict:
            return ["d", [[encode(key), encode(item)] for key, item in value.items()]]
        if value_type.__name__ in STORED_CLASSES:
            return ["o", index_of(value)]
        raise StateError(f"a value of type {value_type.__name__} can't be stored")

    stored = {}
    stored_names = STORED_ATTRIBUTES["Balancer"]
    for attribute, value in attributes_of(balancer).items():
        name = stored_names.get(attribute, attribute)
        if name in RANDOM_METHODS:
            stored[name] = None
        elif name == "count":
            stored[name] = value.__self__.__reduce__()[1][0]
        else:
            stored[name] = encode(value)
    for rpc in rpcs:
        index_of(rpc)
    version, words, gauss = balancer.random.__self__.getstate()
    return {"v": VERSION, "balancer": stored, "rows": rows, "random": [version, list(words), gauss]}


def thaw(
    state: dict, module: ModuleType, balancer_class: type | None = None
) -> tuple[object, dict[int, object]]:
    """Returns the balancer of a stored state, and its requests in flight by number.

    `module`: the load balancing module to use. `balancer_class`: a subclass of the module's Balancer to use
    instead.
    StateError if the state does not fit the module.
    """
    try:
        return restore(state, module, balancer_class or module.Balancer)
    except (AttributeError, IndexError, KeyError, TypeError, ValueError) as error:
        raise StateError(f"the state does not fit the load balancing module: {error!r}") from error


def restore(state: dict, module: ModuleType, balancer_class: type) -> tuple[object, dict[int, object]]:
    """As `thaw`, but a state that does not fit may also raise other errors."""
    if state["v"] != VERSION:
        raise StateError(f"the state has version {state['v']}, expected {VERSION}")
    instances = []
    for name, _ in state["rows"]:
        if name not in CLASSES:
            raise StateError(f"the state has an object of an unknown class {name!r}")
        cls = getattr(module, CLASSES[name])
        instances.append(cls.__new__(cls))

    def decode(value: object) -> object:
        if type(value) is not list:
            return value
        type_tag, content = value
        if type_tag == "o":
            return instances[content]
        if type_tag == "d":
            return {decode(key): decode(item) for key, item in content}
        return (
            [decode(item) for item in content] if type_tag == "l" else tuple(decode(item) for item in content)
        )

    balancer = balancer_class.__new__(balancer_class)
    rpcs = {}
    for instance, (name, stored) in zip(instances, state["rows"], strict=True):
        attributes, stored_names = ATTRIBUTES[name], STORED_ATTRIBUTES[name]
        known = {stored_names.get(slot, slot) for slot in type(instance).__slots__} - {"home"}
        if not set(stored) <= known or not stored:
            raise StateError(f"{name} has no fields or unknown ones: {sorted(set(stored) - known)}")
        for field, value in stored.items():
            setattr(instance, attributes.get(field, field), value if field == "tag" else decode(value))
        if name == "Rpc":
            instance.balancer = balancer
            rpcs[instance.tag] = instance
    version, words, gauss = state["random"]
    random = Random()
    random.setstate((version, tuple(words), gauss))
    attributes = ATTRIBUTES["Balancer"]
    for name, value in state["balancer"].items():
        attribute = attributes.get(name, name)
        if name in RANDOM_METHODS:
            setattr(balancer, attribute, getattr(random, RANDOM_METHODS[name]))
        elif name == "count":
            setattr(balancer, attribute, count(value).__next__)
        else:
            setattr(balancer, attribute, decode(value))
    return balancer, rpcs
