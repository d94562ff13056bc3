"""The packages form layers, and every import leads to a lower layer; imports are read from the syntax trees.

`docs/architecture.md` shows the layers; a new package is added in both places.
"""

import ast
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
# The lowest layer first. Packages of one layer don't import each other.
LAYERS = (
    (
        "buffers",
        "configuration",
        "engines",
        "file_frames",
        "findings",
        "in_flight",
        "load_balancing",
        "load_reports",
        "prefix_cache_index",
        "replication",
        "route_matching",
        "runtime",
    ),
    (
        "control_messages",
        "http",
        "model_routing",
        "peer_transport",
        "process_settings",
        "request_dispatch",
        "served_routes",
        "simulator_adapter",
        "storage",
    ),
    ("membership", "program", "upstream_pool"),
    ("controlplane", "dataplane", "sidecar"),
    ("ctl", "lab", "simulation"),
    ("cli",),
    ("__main__",),
)
LEVEL = {name: level for level, names in enumerate(LAYERS) for name in names}


def modules():
    """Returns the path of each module by its dotted name."""
    found = {}
    for path in (ROOT / "shedgrade").rglob("*.py"):
        parts = path.relative_to(ROOT).with_suffix("").parts
        found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


def imported(name, path):
    """Yields the dotted names that a module imports, also within functions."""
    package = name if path.name == "__init__.py" else name.rpartition(".")[0]
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            above = package.split(".")
            above = above[: len(above) - node.level + 1] if node.level else []
            base = ".".join([*above, *([node.module] if node.module else [])])
            yield from (f"{base}.{alias.name}" for alias in node.names)


def package_of(name):
    """Returns the top-level package or module that contains a dotted name; None if that is not ours."""
    parts = name.split(".")
    return parts[1] if parts[0] == "shedgrade" and len(parts) > 1 else None


def test_every_package_has_its_layer():
    packages = {package_of(name) for name in modules()} - {None}
    assert packages == set(LEVEL)


def test_every_import_leads_to_a_lower_layer():
    upward = set()
    for name, path in modules().items():
        importer = package_of(name)
        for target in imported(name, path):
            target_package = package_of(target)
            if importer is None or target_package in (None, importer) or target_package == "__version__":
                continue
            if LEVEL[target_package] >= LEVEL[importer]:
                upward.add(f"{name} imports {target}")
    assert upward == set()
