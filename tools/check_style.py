"""Checks rules of the house style that no linter has.

Modules are imported, not objects: ``from package import module``. The check
takes a name as a module when it starts with a lower-case letter and the
package has a module of that name, or the package is not ours. Every event
that the code logs has to be in the catalogue, and every event in the
catalogue has to be logged somewhere.
"""

import ast
from collections import abc
import importlib.util
import json
import pathlib
import re
import sys
import typing

ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent
FOLDERS: typing.Final = (
    "packages",
    "platform",
    "tools",
    "bench",
    "spec",
    "features",
)


def find_sources() -> abc.Iterator[pathlib.Path]:
    """Yield every hand-written Python file."""
    for folder in FOLDERS:
        for path in sorted((ROOT / folder).rglob("*.py")):
            if "generated" not in path.parts and "build" not in path.parts:
                yield path


def _is_module(package: str, name: str) -> bool:
    try:
        return importlib.util.find_spec(f"{package}.{name}") is not None
    except (ImportError, ValueError):
        return False


def find_object_imports(path: pathlib.Path) -> abc.Iterator[str]:
    """Yield a line for each import of an object instead of a module."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.module is None:
            continue
        if node.module == "__future__":
            continue
        for alias in node.names:
            if not _is_module(node.module, alias.name):
                yield (
                    f"{path.relative_to(ROOT)}:{node.lineno}: import the "
                    f"module {node.module}, not {alias.name}"
                )


def find_unused_events() -> abc.Iterator[str]:
    """Yield a line for each event of the catalogue that nothing logs."""
    text = "\n".join(
        path.read_text()
        for path in find_sources()
        if "platform" in path.parts
        or ("packages" in path.parts and "src" in path.parts)
    )
    used = set(re.findall(r"\bevents\.([A-Z_]+)\b", text))
    catalogue = json.loads((ROOT / "schema/events.json").read_text())
    for event in catalogue["events"]:
        if event["name"].upper() not in used:
            yield f"schema/events.json: nothing logs {event['name']}"


def main() -> int:
    """Print what breaks a rule."""
    sys.path.insert(0, str(ROOT))
    faults = [
        fault for path in find_sources() for fault in find_object_imports(path)
    ]
    faults += find_unused_events()

    for fault in faults:
        print(fault)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
