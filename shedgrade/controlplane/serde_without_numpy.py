"""Imports pyserde without NumPy.

If NumPy is installed, pyserde imports it with the first model, for arrays that no configuration has. That
costs a core process 0.6 s of CPU time at its start and 13 MB of memory: an import of the operator API took
1.08 s and 49 MB with it, 0.49 s and 36 MB without (medians of five runs, NumPy 2.4.6). This module therefore
marks NumPy as missing while pyserde's own module for arrays is imported and removes the mark afterwards, so
that other importers get NumPy.
"""

import sys
from importlib import import_module

NUMPY = "numpy"

if NUMPY in sys.modules:
    serde = import_module("serde")  # NumPy is loaded already: leaving it out saves nothing
else:
    sys.modules[NUMPY] = None  # type: ignore[assignment]  # marks a missing module for the import system
    try:
        import_module("serde.numpy")
    finally:
        del sys.modules[NUMPY]
    serde = import_module("serde")

SerdeError, deserialize, disabled, from_dict = (
    serde.SerdeError,
    serde.deserialize,
    serde.disabled,
    serde.from_dict,
)
