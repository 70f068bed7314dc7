"""The operators' commands for resources: apply, get, watch and delete."""

from collections import abc
import contextlib
import pathlib
import time
import typing

import httpx
import msgspec
import typer

from gentianpoint_core import configuration
from gentianpoint_core import option_types
from gentianpoint_entry import administration_client
from gentianpoint_entry import manifests

__all__ = ("register_operator_commands",)

REFUSED: typing.Final = 1
"""Exit code if a resource was refused, a document is invalid or a watch can't
continue since its revision was compacted."""
USAGE: typing.Final = 2
"""Exit code if an argument is wrong, such as the path of a file."""
UNFINISHED: typing.Final = 3
"""Exit code if the entries can't be asked, or if a write is not decided or not
in force everywhere within the timeout."""
_POLL_S: typing.Final = 0.5
"""Interval between two polls, seconds."""
_PLURALS: typing.Final = {
    "service": "services",
    "services": "services",
    "customer": "customers",
    "customers": "customers",
}

Entries = typing.Annotated[
    list[str],
    typer.Option(
        "--entry",
        envvar="GENTIANPOINT_ENTRIES",
        show_envvar=True,
        parser=option_types.parse_url,
        help="Base URL of an entry; several are tried in turn. In the "
        "variable they are separated by spaces.",
    ),
]
Key = typing.Annotated[
    str,
    typer.Option(
        "--key",
        envvar="GENTIANPOINT_OPERATOR_KEY",
        show_envvar=True,
        help="The operators' bearer key. Prefer the variable to the flag.",
    ),
]
Kind = typing.Annotated[
    str, typer.Argument(help="Either services or customers.")
]
Timeout = typing.Annotated[
    float,
    typer.Option(
        "--within-s", min=0, help="Longest wait for the outcome, seconds."
    ),
]


@contextlib.contextmanager
def _connect(
    entries: abc.Sequence[str], key: str
) -> abc.Iterator[administration_client.AdministrationClient]:
    """Provide a client; on an administration error, print it and exit."""
    with httpx.Client(trust_env=False) as client:
        try:
            yield administration_client.AdministrationClient(
                entries, key, client
            )
        except administration_client.AdministrationError as error:
            typer.echo(f"error: {error}", err=True)
            raise typer.Exit(UNFINISHED) from error


def _find_plural(kind: str) -> str:
    if kind not in _PLURALS:
        typer.echo(
            f"error: KIND: {kind!r} is neither services nor customers",
            err=True,
        )
        raise typer.Exit(USAGE)
    return _PLURALS[kind]


def _write_until_decided(
    write: abc.Callable[[str], administration_client.WriteAnswer],
    deadline: float,
) -> administration_client.WriteAnswer:
    """Repeat a write, with the same change identifier, until it is decided."""
    change = administration_client.make_change_identifier()
    answer = write(change)
    while answer.state == "pending" and time.monotonic() < deadline:
        time.sleep(_POLL_S)
        answer = write(change)
    return answer


def _print_answer(
    resource: str, answer: administration_client.WriteAnswer
) -> int:
    """Print the outcome of a write, and return the exit code."""
    if answer.state == "accepted":
        typer.echo(
            f"{resource} accepted, revision {answer.revision}, "
            f"change {answer.change}"
        )
        return 0
    if answer.state == "refused":
        typer.echo(f"{resource} refused: {answer.reason}", err=True)
        return REFUSED
    typer.echo(f"{resource} pending, change {answer.change}", err=True)
    return UNFINISHED


def _wait_in_force(
    client: administration_client.AdministrationClient,
    resource: str,
    change: str,
    deadline: float,
) -> int:
    """Wait until a change is in force everywhere, and return the exit code."""
    while True:
        found = client.read(f"changes/{change}").get("in_force")
        if found and found["n"] == found["of"] > 0:
            typer.echo(f"{resource} in force on {found['n']} of {found['of']}")
            return 0
        if time.monotonic() >= deadline:
            break
        time.sleep(_POLL_S)
    count = f"{found['n']} of {found['of']}" if found else "an unknown number"
    lagging = ", ".join(found["lagging"]) if found else ""
    typer.echo(f"{resource} in force on {count}, not on {lagging}", err=True)
    return UNFINISHED


def _apply_one(
    client: administration_client.AdministrationClient,
    manifest: manifests.Manifest,
    wait: bool,
    timeout_s: float,
) -> int:
    resource = f"{manifest.kind}/{manifest.name}"
    deadline = time.monotonic() + timeout_s
    answer = _write_until_decided(
        lambda change: client.put(manifest, change), deadline
    )
    code = _print_answer(resource, answer)
    if code == 0 and wait:
        return _wait_in_force(client, resource, answer.change, deadline)
    return code


def _read_files(files: abc.Sequence[pathlib.Path]) -> list[manifests.Manifest]:
    found: list[manifests.Manifest] = []
    for path in files:
        result = manifests.parse_manifests(path.read_text(), str(path))
        if result.is_error():
            typer.echo(f"error: {result.error}", err=True)
            raise typer.Exit(REFUSED)
        found += result.ok
    return found


def apply(
    entry: Entries,
    key: Key,
    file: typing.Annotated[
        list[pathlib.Path],
        typer.Option(
            "--file",
            "-f",
            exists=True,
            dir_okay=False,
            readable=True,
            help="File of YAML or JSON documents; can be repeated.",
        ),
    ],
    wait: typing.Annotated[
        bool,
        typer.Option(
            "--wait", help="Wait until the change is in force everywhere."
        ),
    ] = False,
    timeout_s: Timeout = 60.0,
) -> None:
    """Declare the resources in files, in the order of the files.

    Prints for each resource whether it was accepted or refused. If a document
    is invalid, nothing is changed. Exit code 1 means that a resource was
    refused, 3 that an outcome was not known in time.
    """
    found = _read_files(file)
    with _connect(entry, key) as client:
        codes = [_apply_one(client, row, wait, timeout_s) for row in found]
    refused = REFUSED in codes
    raise typer.Exit(REFUSED if refused else max(codes))


def get(
    entry: Entries,
    key: Key,
    kind: Kind,
    name: typing.Annotated[
        typing.Optional[str], typer.Argument(help="Name of one resource.")
    ] = None,
    output: typing.Annotated[
        typing.Literal["text", "json"],
        typer.Option("--output", "-o", help="Format of the output."),
    ] = "text",
) -> None:
    """Show the resources of a kind, or one of them."""
    plural = _find_plural(kind)
    with _connect(entry, key) as client:
        if name:
            found = client.read(f"{plural}/{name}")
        else:
            found = client.list_resources(plural)
    if output == "json":
        typer.echo(msgspec.json.format(msgspec.json.encode(found)).decode())
        return
    for row in found["items"] if name is None else [found]:
        spec = msgspec.json.encode(row["spec"]).decode()
        typer.echo(f"{row['name']}\trevision {row['revision']}\t{spec}")


def watch(
    entry: Entries,
    key: Key,
    kind: Kind,
    after: typing.Annotated[
        typing.Optional[int],
        typer.Option(
            "--after", min=0, help="Last revision that was already seen."
        ),
    ] = None,
) -> None:
    """Print each change, and where it is in force, as a line of JSON.

    After a lost connection the watch continues at the next entry, from the
    last revision that was seen.
    """
    plural = _find_plural(kind)
    with _connect(entry, key) as client:
        while True:
            for line in client.watch(plural, after):
                if line["type"] == "change":
                    after = max(after or 0, line["revision"])
                if line["type"] == "heartbeat" and after is None:
                    after = line["revision"]
                if line["type"] != "heartbeat":
                    typer.echo(msgspec.json.encode(line).decode())
                if line["type"] == "compacted":
                    raise typer.Exit(REFUSED)
            time.sleep(_POLL_S)


def delete(
    entry: Entries,
    key: Key,
    kind: Kind,
    name: typing.Annotated[str, typer.Argument(help="Name of the resource.")],
    base: typing.Annotated[
        int,
        typer.Option(
            "--base", min=-1, help="Revision that it must have; -1 for any."
        ),
    ] = configuration.ANY_REVISION,
    timeout_s: Timeout = 60.0,
) -> None:
    """Delete a resource."""
    plural = _find_plural(kind)
    with _connect(entry, key) as client:
        answer = _write_until_decided(
            lambda change: client.delete(plural, name, base, change),
            time.monotonic() + timeout_s,
        )
    code = _print_answer(f"{plural}/{name}", answer)
    raise typer.Exit(code)


def evacuate(
    entry: Entries,
    key: Key,
    data_centre: typing.Annotated[
        str, typer.Argument(help="Name of the data centre.")
    ],
    end: typing.Annotated[
        bool, typer.Option("--end", help="Take the data centre back.")
    ] = False,
) -> None:
    """Send no new work to the targets of a data centre, until --end.

    Calls that run there are finished. Exit code 3 means that it is not known
    whether the log has the evacuation; the command can be repeated.
    """
    with _connect(entry, key) as client:
        offset = client.set_evacuation(data_centre, is_evacuated=not end)
    word = "taken back" if end else "evacuated"
    typer.echo(f"{data_centre} {word}, revision {offset}")


def evacuations(entry: Entries, key: Key) -> None:
    """Show the evacuated data centres, and how many agents obey."""
    with _connect(entry, key) as client:
        found = client.read("evacuations")
    for row in found["items"]:
        typer.echo(
            f"{row['name']}\trevision {row['revision']}\t{row['n']} of "
            f"{row['of']} connected agents refuse new calls"
        )


def register_operator_commands(app: typer.Typer) -> None:
    """Add the commands to ``app``."""
    for command in (apply, get, watch, delete, evacuate, evacuations):
        app.command()(command)
