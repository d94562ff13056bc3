"""Loads the load balancing module of another checkout, to replay a capture with it and with the present one.

An older checkout has the module in another folder, imports modules that have moved since, and has other
names for methods, attributes and classes. The tables here and in `stored_names` list the older names; the
loaded module gets the present ones as aliases, so that a replay uses one set of names.
"""

import importlib
import importlib.util
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from operator import attrgetter
from pathlib import Path
from types import ModuleType

from shedgrade.sidecar.capture.stored_names import ATTRIBUTES, CLASSES

NAME = "other_decide"  # of the loaded module in `sys.modules`
# Files in which a checkout has its load balancing module: the present package, older places, or, in the
# package's own folder, `__init__.py`.
PLACES = (
    "shedgrade/load_balancing/__init__.py",
    "shedgrade/decide/__init__.py",
    "shedgrade/decide.py",
    "__init__.py",
)
# Module that an older load balancing module imports -> where its content is now.
MOVED_MODULES = {"shedgrade.core.dealing": "shedgrade.load_balancing.subset_assignment"}
# By class: older name of a method -> present name.
METHODS = {
    "Balancer": {
        "take": "admit",
        "doubted": "mark_unverified",
        "retuned": "update_settings",
        "divided": "set_slow_start_share",
        "ordered": "set_withdrawn",
        "released": "take_released",
        "luck": "draw_admission",
        "fit": "fit_latency",
        "choose": "choose_upstream",
        "rotate": "next_in_rotation",
        "room": "has_capacity",
        "is_cold": "is_warming_up",
        "hold": "enqueue",
    },
    "Zone": {"full": "is_full"},
    "Rpc": {
        "ended": "attempt_finished",
        "gone": "client_disconnected",
        "coming": "body_received",
        "started": "response_started",
        "first_run": "first_possibly_executed",
    },
}


def find_decisions(checkout: Path) -> Path | None:
    """Returns the file to load from a checkout, a package folder or a single file; None without one."""
    if checkout.is_dir():
        return next((checkout / place for place in PLACES if (checkout / place).is_file()), None)
    return checkout if checkout.is_file() else None


def load_decisions(path: Path) -> ModuleType:
    """Returns the module at that path, with the present names. Raises whatever its import raises."""
    folders = [str(path.parent)] if path.name == "__init__.py" else None
    spec = importlib.util.spec_from_file_location(NAME, path, submodule_search_locations=folders)
    if spec is None or spec.loader is None:
        raise ImportError(f"{path} is not a Python module")
    for loaded in [name for name in sys.modules if name == NAME or name.startswith(f"{NAME}.")]:
        del sys.modules[loaded]
    module = importlib.util.module_from_spec(spec)
    sys.modules[NAME] = module
    with moved_modules():
        spec.loader.exec_module(module)
    if is_older(module):
        add_present_names(module)
    return module


@contextmanager
def moved_modules() -> Iterator[None]:
    """Context in which the modules of `MOVED_MODULES` can be imported under their older names."""
    added = []
    for older, present in MOVED_MODULES.items():
        package = older.rpartition(".")[0]
        if package not in sys.modules:
            sys.modules[package] = ModuleType(package)
            added.append(package)
        sys.modules[older] = importlib.import_module(present)
        added.append(older)
    try:
        yield
    finally:
        for name in added:
            del sys.modules[name]


def is_older(module: ModuleType) -> bool:
    """Returns whether the module's methods have the names from before they were renamed."""
    return not hasattr(module.Balancer, "admit")


def add_present_names(module: ModuleType) -> None:
    """Adds the present names of methods, attributes and classes to an older module, as aliases."""
    for stored, present in CLASSES.items():
        if not hasattr(module, present):
            setattr(module, present, getattr(module, stored))
    for class_name in ("Balancer", *CLASSES):
        cls = getattr(module, class_name)
        for older, present in METHODS.get(class_name, {}).items():
            if hasattr(cls, older):
                setattr(cls, present, getattr(cls, older))
        for older, present in ATTRIBUTES[class_name].items():
            setattr(cls, present, alias_of(older))


def alias_of(name: str) -> property:
    """Returns a property that reads and sets the attribute of another name."""

    def assign(owner: object, value: object) -> None:
        setattr(owner, name, value)

    return property(attrgetter(name), assign)
