"""What is wrong with a deploy folder, or a settings file, before a start.

A role whose program is missing, or a day that can't be read, shows only when
hosts have been taken and started. Here each file is read as far as it can be
without them, and everything that is wrong is told at once.
"""

from collections import abc
import pathlib
import re
import subprocess
import sys
import tomllib
import typing

__all__ = ("check_folder", "check_settings")

_SYSTEM_FILE: typing.Final = "system.toml"
_DAYS_FOLDER: typing.Final = "days"
_SETTINGS_PROGRAM: typing.Final = "check_settings.py"
"""Program beside a role's own that tells what is wrong with settings."""
_CLASSES: typing.Final = ("front", "side")
"""Classes of hosts."""
_SERVED: typing.Final = ("front", "side", "control")
"""Who may call a role from outside."""
_MOST_ROLES: typing.Final = 2
"""Roles that a host may run."""
_MOST_TEMPLATE_BYTES: typing.Final = 65536
_METRICS: typing.Final = re.compile(r"([0-9]{1,5})/.*")
_VARIABLE: typing.Final = re.compile(r"[A-Z][A-Z0-9_]*")
_WITHIN_S: typing.Final = 30.0
"""Time for the program that reads settings."""

_Fields = abc.Mapping[str, typing.Any]


def check_folder(folder: pathlib.Path) -> abc.Sequence[str]:
    """Return what is wrong with a deploy folder, one sentence each.

    Programs and templates are looked for beside the folder.
    """
    path = folder / _SYSTEM_FILE
    fields, problems = _read(path)
    if fields is not None:
        root = folder.absolute().parent
        problems = [f"{path}: {item}" for item in _check_system(fields, root)]
    for day in sorted((folder / _DAYS_FOLDER).glob("*.toml")):
        fields, found = _read(day)
        if fields is not None:
            found = [f"{day}: {item}" for item in _check_day(fields)]
        problems += found
    return problems


def check_settings(
    folder: pathlib.Path, settings: pathlib.Path
) -> abc.Sequence[str]:
    """Return what is wrong with a settings file for a folder's roles."""
    fields, problems = _read(folder / _SYSTEM_FILE)
    if fields is None:
        return problems
    root = folder.absolute().parent
    programs = {
        program.parent / _SETTINGS_PROGRAM
        for role in _list_tables(fields.get("roles"))
        if (program := _find_program(role, root)) is not None
    }
    programs = {program for program in programs if program.is_file()}
    if not programs:
        return [f"{folder}: no role has a program that reads settings"]
    return [
        problem
        for program in sorted(programs)
        for problem in _run_settings_program(program, settings)
    ]


def _run_settings_program(
    program: pathlib.Path, settings: pathlib.Path
) -> abc.Sequence[str]:
    try:
        done = subprocess.run(
            [sys.executable, str(program), str(settings)],
            capture_output=True,
            text=True,
            check=False,
            timeout=_WITHIN_S,
        )
    except (OSError, subprocess.TimeoutExpired) as error:
        return [f"{program}: {error}"]
    if done.returncode == 0:
        return []
    lines = done.stdout.splitlines() or done.stderr.splitlines()[-1:]
    return lines or [f"{program}: it ended with {done.returncode}"]


def _read(
    path: pathlib.Path,
) -> tuple[typing.Optional[_Fields], list[str]]:
    try:
        return tomllib.loads(path.read_text()), []
    except (OSError, ValueError, RecursionError) as error:
        return None, [f"{path}: {error}"]


def _list_tables(value: typing.Any) -> abc.Sequence[_Fields]:
    tables = value.values() if isinstance(value, dict) else value
    if not isinstance(tables, abc.Iterable):
        return []
    return [table for table in tables if isinstance(table, dict)]


def _check_system(fields: _Fields, root: pathlib.Path) -> abc.Iterator[str]:
    build = fields.get("build")
    if not isinstance(build, str) or not build.strip():
        yield "build is no command"
    roles = fields.get("roles")
    if not isinstance(roles, dict) or not roles:
        yield "there are no roles"
        return
    for name, role in roles.items():
        if not isinstance(role, dict):
            yield f"role {name} is no table"
            continue
        for problem in _check_role(role, root):
            yield f"role {name}: {problem}"
    tables = _list_tables(roles)
    if len(tables) == len(roles):
        yield from _check_hosts(tables)


def _check_role(role: _Fields, root: pathlib.Path) -> abc.Iterator[str]:
    if not isinstance(role.get("run"), str) or not role["run"].strip():
        yield "run is no command"
    else:
        program = _find_program(role, root)
        if program is not None and not program.is_file():
            yield f"its program {program.relative_to(root)} is missing"
    if role.get("on") not in _CLASSES:
        yield f"on is none of {', '.join(_CLASSES)}"
    yield from _check_number(role)
    unknown = [item for item in _list_served(role) if item not in _SERVED]
    if unknown:
        yield f"serves {unknown[0]!r}, which is none of {', '.join(_SERVED)}"
    metrics = _METRICS.fullmatch(str(role.get("metrics", "1/")))
    if metrics is None or not 0 < int(metrics[1]) < 65536:
        yield "metrics is no PORT/PATH"
    yield from _check_template(role, root)
    environment = role.get("env", {})
    if not isinstance(environment, dict):
        yield "env is no table"
        return
    for name in environment:
        if not _VARIABLE.fullmatch(name):
            yield f"env has {name!r}, which is no name in capitals"


def _check_number(role: _Fields) -> abc.Iterator[str]:
    if "share" in role and "count" in role:
        yield "both share and count are given"
    share = role.get("share", 1.0)
    if not _is_number(share) or not 0 < share <= 1:
        yield "share is not above 0 and at most 1"
    count = role.get("count", 1)
    if not _is_number(count) or count != int(count) or count < 1:
        yield "count is no whole number above 0"


def _is_number(value: typing.Any) -> bool:
    is_number = isinstance(value, (int, float))
    # False for what is no number, too.
    return is_number and not isinstance(value, bool) and abs(value) < 1e9


def _check_template(role: _Fields, root: pathlib.Path) -> abc.Iterator[str]:
    if "template" not in role:
        return
    path = root / str(role["template"])
    if not path.is_file():
        yield f"its template {role['template']} is missing"
    elif path.stat().st_size >= _MOST_TEMPLATE_BYTES:
        yield f"its template has {_MOST_TEMPLATE_BYTES} bytes or more"


def _check_hosts(roles: abc.Sequence[_Fields]) -> abc.Iterator[str]:
    for name in _CLASSES:
        here = [role for role in roles if role.get("on") == name]
        if len(here) > _MOST_ROLES:
            yield f"{len(here)} roles are on {name}, {_MOST_ROLES} may be"
        served = [item for role in here for item in _list_served(role)]
        for item in _SERVED:
            if served.count(item) > 1:
                yield f"{served.count(item)} roles on {name} serve {item}"
    if not any("front" in _list_served(role) for role in roles):
        yield "no role serves front, so no caller is served"


def _list_served(role: _Fields) -> abc.Sequence[str]:
    served = role.get("serves", [])
    return [str(item) for item in served] if isinstance(served, list) else []


def _find_program(
    role: _Fields, root: pathlib.Path
) -> typing.Optional[pathlib.Path]:
    """Return the file that a role runs, if its command names one."""
    for word in str(role.get("run", "")).split():
        if word.endswith(".py"):
            return root / word
    return None


def _check_day(fields: _Fields) -> abc.Iterator[str]:
    if not isinstance(fields.get("name"), str):
        yield "the day has no name"
    troubles = [
        item
        for group in ("plan", "faults")
        for item in _list_tables(fields.get(group))
    ]
    if not troubles:
        yield "the day has no plan and no faults"
    for number, item in enumerate(troubles, 1):
        if not isinstance(item.get("kind"), str):
            yield f"trouble {number} has no kind"
        at = item.get("at")
        if not _is_number(at) or typing.cast("float", at) < 0:
            yield f"trouble {number} has no time"
