"""Check that packages import one way only, so that an aggregate never depends on a transport.

The order is the one in ``LAYERS``: a module may import from its own package and from packages
before it.  Libraries that talk to the network are allowed only in the packages of ``NETWORK``.
"""

import ast
import pathlib
import sys

import attrs

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = "rosedyke"

# From the lowest layer to the highest.
LAYERS = (
    "fault",
    "runtime",
    "observe",
    "wire",
    "membership",
    "configuration",
    "job",
    "dispatch",
    "rerun",
    "gateways",
    "callers",
    "daemon",
    "command",
    "standins",
)

# Libraries that would tie a rule of the domain to one way of doing input and output.
NETWORK_LIBRARIES = {"eventlet", "zmq", "urllib3", "socket", "http", "requests"}
NETWORK_LAYERS = {"observe", "wire", "gateways", "callers", "daemon", "command", "standins"}
# The codec and the peers' interface are part of ``wire`` that aggregates may see; this is not.
TRANSPORT_MODULES = {"rosedyke.wire.transport"}
AGGREGATES = {"membership", "configuration", "job", "dispatch", "rerun"}


@attrs.frozen
class Fault:
    """One import that breaks the order, with its position in the source."""

    path: pathlib.Path
    line: int
    text: str


def imported_modules(tree):
    """Yield ``(line, dotted name)`` for each import of a parsed module."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield node.lineno, alias.name
        elif isinstance(node, ast.ImportFrom) and node.module and not node.level:
            yield node.lineno, node.module
            for alias in node.names:
                yield node.lineno, f"{node.module}.{alias.name}"


def check_module(path, layer):
    """Return the faults of one module that belongs to ``layer``."""
    faults = []
    rank = LAYERS.index(layer)
    is_test = path.name.endswith("_test.py")
    tree = ast.parse(path.read_text(), filename=str(path))
    for line, name in imported_modules(tree):
        parts = name.split(".")
        if parts[0] in NETWORK_LIBRARIES and layer not in NETWORK_LAYERS and not is_test:
            faults.append(Fault(path, line, f"{layer} must not import {parts[0]}"))
        if name in TRANSPORT_MODULES and layer in AGGREGATES:
            faults.append(Fault(path, line, f"{layer} must not import {name}"))
        if parts[0] != PACKAGE or len(parts) < 2 or is_test:
            continue
        if parts[1] not in LAYERS:
            faults.append(Fault(path, line, f"{parts[1]} has no place in the order of layers"))
        elif LAYERS.index(parts[1]) > rank:
            faults.append(Fault(path, line, f"{layer} must not import {parts[1]}"))
    return faults


def main():
    """Print every fault and return 1 if there is any."""
    faults = []
    for path in sorted((ROOT / PACKAGE).rglob("*.py")):
        relative = path.relative_to(ROOT / PACKAGE)
        layer = relative.parts[0].removesuffix(".py")
        if layer == "__init__":
            continue
        if layer not in LAYERS:
            faults.append(Fault(path, 1, f"{layer} has no place in the order of layers"))
            continue
        faults.extend(check_module(path, layer))
    for fault in faults:
        print(f"{fault.path.relative_to(ROOT)}:{fault.line}: {fault.text}")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
