"""Loads pyserde without NumPy.

Guards against a machine on which NumPy happens to be installed: pyserde takes it up with the first model, for
arrays that no configuration has, and that costs each process memory and time at its start.
"""

import sys
from importlib import import_module

ABSENT = "numpy"

if ABSENT in sys.modules:
    serde = import_module("serde")  # it is here already: nothing is won by leaving it out
else:
    sys.modules[ABSENT] = None
    try:
        import_module("serde.numpy")
    finally:
        del sys.modules[ABSENT]
    serde = import_module("serde")

SerdeError, deserialize, disabled, from_dict = (
    serde.SerdeError,
    serde.deserialize,
    serde.disabled,
    serde.from_dict,
)
