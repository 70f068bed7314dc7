"""Validates a deploy folder and settings files before a deployment starts.

Without this check, a role whose program does not exist or a day file that
can't be parsed is found only after hosts have been reserved and started. Each
file is checked as far as that is possible without hosts, and all problems are
reported at once.
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
"""Program in the folder of a role's own one that checks a settings file."""
_HOST_CLASSES: typing.Final = ("front", "side")
"""Host classes that a role can run on."""
_CLIENT_KINDS: typing.Final = ("front", "side", "control")
"""Kinds of clients that a role can serve."""
_MAX_ROLES_PER_HOST: typing.Final = 2
"""Most roles that one host can run."""
_MAX_TEMPLATE_BYTES: typing.Final = 65536
"""Size in bytes from which a role's template is rejected."""
_METRICS_ADDRESS: typing.Final = re.compile(r"([0-9]{1,5})/.*")
_ENVIRONMENT_NAME: typing.Final = re.compile(r"[A-Z][A-Z0-9_]*")
_SETTINGS_TIMEOUT_S: typing.Final = 30.0
"""Timeout of the program that checks settings, seconds."""

_Fields = abc.Mapping[str, typing.Any]


def check_folder(folder: pathlib.Path) -> abc.Sequence[str]:
    """Return the problems of a deploy folder, one sentence each.

    Paths of programs and templates are relative to the folder's parent.
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
    """Return the problems of a settings file for the folder's roles."""
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
        return [f"{folder}: no role has a program that checks settings"]
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
            timeout=_SETTINGS_TIMEOUT_S,
        )
    except (OSError, subprocess.TimeoutExpired) as error:
        return [f"{program}: {error}"]
    if done.returncode == 0:
        return []
    lines = done.stdout.splitlines() or done.stderr.splitlines()[-1:]
    return lines or [f"{program}: exited with status {done.returncode}"]


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
        yield "build must be a command"
    roles = fields.get("roles")
    if not isinstance(roles, dict) or not roles:
        yield "no roles are defined"
        return
    for name, role in roles.items():
        if not isinstance(role, dict):
            yield f"role {name} must be a table"
            continue
        for problem in _check_role(role, root):
            yield f"role {name}: {problem}"
    tables = _list_tables(roles)
    if len(tables) == len(roles):
        yield from _check_hosts(tables)


def _check_role(role: _Fields, root: pathlib.Path) -> abc.Iterator[str]:
    if not isinstance(role.get("run"), str) or not role["run"].strip():
        yield "run must be a command"
    else:
        program = _find_program(role, root)
        if program is not None and not program.is_file():
            yield f"its program {program.relative_to(root)} does not exist"
    if role.get("on") not in _HOST_CLASSES:
        yield f"on must be one of {', '.join(_HOST_CLASSES)}"
    yield from _check_host_number(role)
    unknown = [
        item for item in _list_served(role) if item not in _CLIENT_KINDS
    ]
    if unknown:
        yield (
            f"serves {unknown[0]!r}, "
            f"which is not one of {', '.join(_CLIENT_KINDS)}"
        )
    metrics = _METRICS_ADDRESS.fullmatch(str(role.get("metrics", "1/")))
    if metrics is None or not 0 < int(metrics[1]) < 65536:
        yield "metrics must be PORT/PATH"
    yield from _check_template(role, root)
    environment = role.get("env", {})
    if not isinstance(environment, dict):
        yield "env must be a table"
        return
    for name in environment:
        if not _ENVIRONMENT_NAME.fullmatch(name):
            yield f"env has {name!r}, which is not in capitals"


def _check_host_number(role: _Fields) -> abc.Iterator[str]:
    if "share" in role and "count" in role:
        yield "share and count cannot both be given"
    share = role.get("share", 1.0)
    if not _is_number(share) or not 0 < share <= 1:
        yield "share must be above 0 and at most 1"
    count = role.get("count", 1)
    if not _is_number(count) or count != int(count) or count < 1:
        yield "count must be a whole number above 0"


def _is_number(value: typing.Any) -> bool:
    is_number = isinstance(value, (int, float))
    # The last comparison also excludes NaN and infinity.
    return is_number and not isinstance(value, bool) and abs(value) < 1e9


def _check_template(role: _Fields, root: pathlib.Path) -> abc.Iterator[str]:
    if "template" not in role:
        return
    path = root / str(role["template"])
    if not path.is_file():
        yield f"its template {role['template']} does not exist"
    elif path.stat().st_size >= _MAX_TEMPLATE_BYTES:
        yield f"its template has {_MAX_TEMPLATE_BYTES} bytes or more"


def _check_hosts(roles: abc.Sequence[_Fields]) -> abc.Iterator[str]:
    for name in _HOST_CLASSES:
        on_class = [role for role in roles if role.get("on") == name]
        if len(on_class) > _MAX_ROLES_PER_HOST:
            yield (
                f"{len(on_class)} roles are on {name}, "
                f"at most {_MAX_ROLES_PER_HOST} can be"
            )
        served = [item for role in on_class for item in _list_served(role)]
        for item in _CLIENT_KINDS:
            if served.count(item) > 1:
                yield f"{served.count(item)} roles on {name} serve {item}"
    if not any("front" in _list_served(role) for role in roles):
        yield "no role serves front, so callers are not served"


def _list_served(role: _Fields) -> abc.Sequence[str]:
    served = role.get("serves", [])
    return [str(item) for item in served] if isinstance(served, list) else []


def _find_program(
    role: _Fields, root: pathlib.Path
) -> typing.Optional[pathlib.Path]:
    """Return the Python file that a role runs, if its command names one."""
    for word in str(role.get("run", "")).split():
        if word.endswith(".py"):
            return root / word
    return None


def _check_day(fields: _Fields) -> abc.Iterator[str]:
    if not isinstance(fields.get("name"), str):
        yield "the day has no name"
    events = [
        item
        for group in ("plan", "faults")
        for item in _list_tables(fields.get(group))
    ]
    if not events:
        yield "the day has no plan and no faults"
    for number, item in enumerate(events, 1):
        if not isinstance(item.get("kind"), str):
            yield f"event {number} has no kind"
        at = item.get("at")
        if not _is_number(at) or typing.cast("float", at) < 0:
            yield f"event {number} has no valid time"
