"""Loads `flatbuffers` without NumPy.

Guards against a machine on which NumPy happens to be installed: the library takes it up wherever it finds
it, for vectors of arrays that no frame here has, and that costs each process memory and time at its start.
"""

import sys
from importlib.util import find_spec, module_from_spec, spec_from_file_location
from pathlib import Path

if "flatbuffers" not in sys.modules:
    package = find_spec("flatbuffers")
    name = "flatbuffers.compat"
    spec = spec_from_file_location(name, Path(package.origin).with_name("compat.py"))
    compat = module_from_spec(spec)
    spec.loader.exec_module(compat)
    compat.import_numpy = lambda: None
    sys.modules[name] = compat
