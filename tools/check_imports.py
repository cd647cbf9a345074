"""Check the layering of imports, so that no domain package depends on a transport.

A module may import from its own package and from those listed before it in ``LAYERS``.  Network
libraries are allowed only in the packages of ``NETWORK_LAYERS``.
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
    "overload",
    "scheduling",
    "wire",
    "membership",
    "configuration",
    "job",
    "dispatch",
    "rerunnable_jobs",
    "gateways",
    "callers",
    "daemon",
    "command",
    "standins",
)

# Libraries that domain packages must not depend on.
NETWORK_LIBRARIES = {"eventlet", "zmq", "urllib3", "socket", "http", "requests"}
NETWORK_LAYERS = {"observe", "wire", "gateways", "callers", "daemon", "command", "standins"}
# Domain packages may import the codec and the peer interface of ``wire``, but not these modules.
TRANSPORT_MODULES = {"rosedyke.wire.transport"}
DOMAIN_LAYERS = {"membership", "configuration", "job", "dispatch", "rerunnable_jobs"}


@attrs.frozen
class Violation:
    """An import that violates the layering, with its position in the source."""

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
    """Return the violations in a module of ``layer``."""
    violations = []
    rank = LAYERS.index(layer)
    is_test = path.name.endswith("_test.py")
    tree = ast.parse(path.read_text(), filename=str(path))
    for line, module_name in imported_modules(tree):
        parts = module_name.split(".")
        if parts[0] in NETWORK_LIBRARIES and layer not in NETWORK_LAYERS and not is_test:
            violations.append(Violation(path, line, f"{layer} must not import {parts[0]}"))
        if module_name in TRANSPORT_MODULES and layer in DOMAIN_LAYERS:
            violations.append(Violation(path, line, f"{layer} must not import {module_name}"))
        if parts[0] != PACKAGE or len(parts) < 2 or is_test:
            continue
        if parts[1] not in LAYERS:
            violations.append(Violation(path, line, f"{parts[1]} is not listed in LAYERS"))
        elif LAYERS.index(parts[1]) > rank:
            violations.append(Violation(path, line, f"{layer} must not import {parts[1]}"))
    return violations


def main():
    """Print every violation and return 1 if there is any."""
    violations = []
    for path in sorted((ROOT / PACKAGE).rglob("*.py")):
        relative_path = path.relative_to(ROOT / PACKAGE)
        layer = relative_path.parts[0].removesuffix(".py")
        if layer == "__init__":
            continue
        if layer not in LAYERS:
            violations.append(Violation(path, 1, f"{layer} is not listed in LAYERS"))
            continue
        violations.extend(check_module(path, layer))
    for violation in violations:
        print(f"{violation.path.relative_to(ROOT)}:{violation.line}: {violation.text}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
