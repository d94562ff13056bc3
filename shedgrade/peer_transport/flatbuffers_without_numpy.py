"""Loads `flatbuffers` without NumPy.

The library imports NumPy wherever it is installed, for vectors of arrays, which no frame here has. With NumPy
2.4 its import takes 0.15 s and 24 MB, without NumPy 0.02 s and 10 MB, and each process of the system would
pay that when it starts.
"""

import sys
from importlib.util import find_spec, module_from_spec, spec_from_file_location
from pathlib import Path


def load_compat_without_numpy() -> None:
    """Loads the library's module `compat` with its import of NumPy disabled. Raises ImportError if the
    library or the module is missing."""
    package = find_spec("flatbuffers")
    if package is None or package.origin is None:
        raise ImportError("flatbuffers is not installed")
    name = "flatbuffers.compat"
    spec = spec_from_file_location(name, Path(package.origin).with_name("compat.py"))
    if spec is None or spec.loader is None:
        raise ImportError("flatbuffers has no module compat")
    compat = module_from_spec(spec)
    spec.loader.exec_module(compat)
    vars(compat)["import_numpy"] = lambda: None
    sys.modules[name] = compat


if "flatbuffers" not in sys.modules:
    load_compat_without_numpy()
