"""Builders of deploy folders and settings files for the check command."""

import pathlib
import typing

__all__ = ("SETTINGS", "write_folder")

_SYSTEM: typing.Final = {
    "": {"build": '"true"'},
    "entry": {
        "run": '"python3 programs/entry.py"',
        "on": '"front"',
        "share": "1.0",
        "serves": '["front", "control"]',
        "metrics": '"9464/metrics"',
    },
    "agent": {
        "run": '"python3 programs/agent.py"',
        "on": '"side"',
        "serves": '["side", "control"]',
    },
}
SETTINGS: typing.Final = """
node_name = "front-north-1"
serves = ["front", "control"]
ip = "10.1.0.19"
zone = "north"
port_range = [7200, 7215]
seeds = ["10.1.0.19:8748"]
[listen]
front = "10.1.0.19:8740"
ready = "10.1.0.19:8749"
control = "10.1.0.19:8748"
[platform]
address = "10.9.0.1:9000"
[bounds]
grace_s = 8
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 20
drain_ms = 2000
config_ms = 2000
"""


def write_folder(
    root: pathlib.Path, changes: typing.Mapping[str, str]
) -> pathlib.Path:
    """Write a valid deploy folder and its programs, and return the folder.

    ``changes`` replaces fields such as ``entry.on`` by values in TOML.
    """
    programs = root / "programs"
    programs.mkdir()
    for name in ("entry.py", "agent.py"):
        (programs / name).touch()
    tables = {name: dict(table) for name, table in _SYSTEM.items()}
    replaced = []
    for field, value in changes.items():
        role, _, name = field.rpartition(".")
        if name in tables:
            del tables[name]
            replaced.append(f"roles.{name} = {value}")
        else:
            tables[role][name] = value
    lines = [f"{name} = {value}" for name, value in tables.pop("").items()]
    lines += replaced
    for role, table in tables.items():
        lines.append(f"[roles.{role}]")
        lines += [f"{name} = {value}" for name, value in table.items()]
    folder = root / "deploy"
    (folder / "days").mkdir(parents=True)
    (folder / "system.toml").write_text("\n".join(lines))
    return folder
