"""Writes the code and reference pages that come from the files in schema/.

Messages and resources become TypedDict classes, written by
datamodel-code-generator. Settings become a NamedTuple and a click command;
events become constants. Reference pages in docs/ come from the same files,
so that page and code can't differ.

Run ``make generate`` after a change in schema/; ``--check`` only tells
whether the committed files are up to date.
"""

import argparse
import json
import pathlib
import subprocess
import sys
import tempfile
import typing

ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent
SCHEMA: typing.Final = ROOT / "schema"
PACKAGES: typing.Final = ROOT / "packages"
CORE: typing.Final = (
    PACKAGES / "gentianpoint-core/src/gentianpoint_core/generated"
)
DO_NOT_EDIT: typing.Final = "# Written by tools/generate.py: do not edit."
PYTHON_TYPES: typing.Final = {
    "string": "str",
    "integer": "int",
    "boolean": "bool",
    "address": "str",
}


def _load(name: str) -> typing.Any:
    return json.loads((SCHEMA / name).read_text())


def _class_name(process: str) -> str:
    return process.capitalize() + "Settings"


def write_typed_dicts(schema_name: str) -> str:
    """Return the module of TypedDict classes for one JSON Schema file."""
    with tempfile.TemporaryDirectory() as folder:
        output = pathlib.Path(folder) / "out.py"
        subprocess.run(
            [
                str(pathlib.Path(sys.executable).parent / "datamodel-codegen"),
                "--input",
                str(SCHEMA / schema_name),
                "--input-file-type",
                "jsonschema",
                "--output",
                str(output),
                "--output-model-type",
                "typing.TypedDict",
                "--target-python-version",
                "3.11",
                "--use-schema-description",
                "--use-field-description",
                "--disable-timestamp",
                "--no-use-closed-typed-dict",
                "--use-generic-container-types",
                "--custom-file-header",
                DO_NOT_EDIT,
                "--formatters",
                "ruff-format",
            ],
            check=True,
        )
        return output.read_text()


def write_json_schema(schema_name: str, constant: str) -> str:
    """Return a module that holds a JSON Schema file as a constant."""
    schema = json.dumps(_load(schema_name), indent=4)
    return (
        f"{DO_NOT_EDIT}\n"
        "from collections import abc\n"
        "import typing\n\n"
        f"{constant}: typing.Final[abc.Mapping[str, typing.Any]] = "
        f"{schema.replace(': false', ': False').replace(': true', ': True')}"
        "\n"
    )


def write_events() -> str:
    """Return the module of numbered log events."""
    lines = [
        DO_NOT_EDIT,
        "import typing",
        "",
        "",
        "class Event(typing.NamedTuple):",
        '    """A numbered log event."""',
        "",
        "    number: int",
        "    level: str",
        "    name: str",
        "",
        "",
    ]
    for event in _load("events.json")["events"]:
        lines.append(
            f"{event['name'].upper()}: typing.Final = Event("
            f"{event['number']}, {event['level']!r}, {event['name']!r})"
        )
        lines.append(f'"""{event["meaning"]}"""')
    return "\n".join(lines) + "\n"


def _write_kind(setting: typing.Any) -> str:
    """Return the type of an option, as click takes it."""
    if "choices" in setting:
        choices = ", ".join(repr(choice) for choice in setting["choices"])
        return f"click.Choice([{choices}])"
    if setting["type"] == "address":
        return "click_types.ADDRESS"
    if setting["name"].endswith("-url"):
        return "click_types.URL"
    if setting["name"].endswith("-key-hash"):
        return "click_types.DIGEST"
    kind = PYTHON_TYPES[setting["type"]]
    bounds = [
        f"{bound}={setting[bound]}"
        for bound in ("min", "max")
        if bound in setting
    ]
    if bounds:
        return f"click.{kind.title()}Range({', '.join(bounds)})"
    return kind


def _write_option(setting: typing.Any) -> str:
    flag = "--" + setting["name"]
    if setting["type"] == "boolean":
        flag = f"{flag}/--no-{setting['name']}"
    arguments = [
        repr(flag),
        f"type={_write_kind(setting)}",
        f"envvar={_variable(setting)!r}",
        "show_envvar=True",
    ]
    if setting["default"] is None:
        arguments.append("required=True")
    else:
        arguments += [f"default={setting['default']!r}", "show_default=True"]
    arguments.append(f"help={setting['description']!r}")
    return f"@click.option({', '.join(arguments)})"


def _variable(setting: typing.Any) -> str:
    name = str(setting["name"])
    return "GENTIANPOINT_" + name.upper().replace("-", "_")


def _field(setting: typing.Any) -> str:
    return str(setting["name"]).replace("-", "_")


def _required_first(settings: typing.Any) -> list[typing.Any]:
    return sorted(settings, key=lambda item: item["default"] is not None)


def write_settings(process: str) -> str:
    """Return the settings module of one process."""
    described = _load("settings.json")["processes"][process]
    settings = _required_first(described["settings"])
    name = _class_name(process)
    lines = [
        DO_NOT_EDIT,
        "from collections import abc",
        "import typing",
        "",
        "import click",
        "",
        "from gentianpoint_core import click_types",
        "",
        "",
        f"class {name}(typing.NamedTuple):",
        f'    """{described["description"]}"""',
        "",
    ]
    for setting in settings:
        kind = PYTHON_TYPES[setting["type"]]
        default = setting["default"]
        tail = "" if default is None else f" = {default!r}"
        lines.append(f"    {_field(setting)}: {kind}{tail}")
        lines.append(f'    """{setting["description"]}"""')
    lines += [
        "",
        "",
        f"def make_{process}_command("
        f"run: abc.Callable[[{name}], None]) -> click.Command:",
        f'    """Return the command that runs the {process}."""',
        "",
        f"    @click.command({process!r})",
    ]
    lines += [f"    {_write_option(item)}" for item in settings]
    lines += [
        f"    def {process}(**values: typing.Any) -> None:",
        f'        """{described["description"]}"""',
        f"        run({name}(**values))",
        "",
        f"    return {process}",
    ]
    return "\n".join(lines) + "\n"


def write_events_page() -> str:
    """Return the catalogue of log events."""
    lines = [
        "# Log events",
        "",
        "Each log line is a JSON object with `event`, its `number`, the time",
        "and the fields that tell the step and the peer. Written by",
        "`make generate` from `schema/events.json`.",
        "",
        "| number | level | event | meaning | what to do |",
        "|---|---|---|---|---|",
    ]
    for event in _load("events.json")["events"]:
        cells = (
            event["number"],
            event["level"],
            f"`{event['name']}`",
            event["meaning"],
            event["action"],
        )
        lines.append("| " + " | ".join(str(cell) for cell in cells) + " |")
    return "\n".join(lines) + "\n"


def write_settings_page() -> str:
    """Return the reference of all settings."""
    lines = [
        "# Settings",
        "",
        "Every setting is a flag and an environment variable; the flag goes",
        "first. A wrong value ends the process with exit code 2 and a line",
        "that names the flag, the variable and the reason. Written by",
        "`make generate` from `schema/settings.json`.",
    ]
    commands = {"entry": "gentianpoint entry", "agent": "gentianpoint-agent"}
    for process, command in commands.items():
        described = _load("settings.json")["processes"][process]
        lines += [
            "",
            f"## `{command}`",
            "",
            described["description"],
            "",
            "| flag | variable | default | meaning |",
            "|---|---|---|---|",
        ]
        for item in _required_first(described["settings"]):
            default = item["default"]
            shown = "required" if default is None else f"`{default!r}`"
            meaning = item["description"]
            if "choices" in item:
                meaning += " One of: " + ", ".join(item["choices"]) + "."
            if "min" in item:
                meaning += f" From {item['min']} to {item['max']}."
            lines.append(
                f"| `--{item['name']}` | `{_variable(item)}` "
                f"| {shown} | {meaning} |"
            )
    return "\n".join(lines) + "\n"


def _format(source: str) -> str:
    done = subprocess.run(
        [
            str(pathlib.Path(sys.executable).parent / "ruff"),
            "format",
            "--line-length",
            "79",
            "-",
        ],
        input=source,
        text=True,
        check=True,
        capture_output=True,
    )
    return str(done.stdout)


def write_all() -> dict[pathlib.Path, str]:
    """Return the text of every generated file by its path."""
    files = {
        CORE / "messages.py": _format(write_typed_dicts("messages.json")),
        CORE / "resources.py": _format(write_typed_dicts("resources.json")),
        CORE / "resource_schema.py": _format(
            write_json_schema("resources.json", "RESOURCE_SCHEMA")
        ),
        CORE / "fold_schema.py": _format(
            write_json_schema("fold.json", "FOLD_SCHEMA")
        ),
        CORE / "events.py": _format(write_events()),
        ROOT / "docs/EVENTS.md": write_events_page(),
        ROOT / "docs/SETTINGS.md": write_settings_page(),
    }
    for process in ("entry", "agent"):
        package = PACKAGES / f"gentianpoint-{process}"
        module = package / f"src/gentianpoint_{process}/generated"
        files[module / "settings.py"] = _format(write_settings(process))
    return files


def main() -> int:
    """Write the files, or with --check compare them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    arguments = parser.parse_args()
    stale = [
        path
        for path, text in write_all().items()
        if not path.exists() or path.read_text() != text
    ]
    if arguments.check:
        for path in stale:
            print(f"{path.relative_to(ROOT)} is not up to date")
        return 1 if stale else 0
    for path, text in write_all().items():
        path.write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
