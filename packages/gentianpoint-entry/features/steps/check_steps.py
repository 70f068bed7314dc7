"""Steps for the command that checks deploy folders and settings."""

import pathlib
import tempfile

import behave
from click import testing
import deploy_builders

from gentianpoint_entry import cli

ROOT = pathlib.Path(__file__).resolve().parents[4]
SETTINGS = {
    "that are valid": lambda text: text,
    "without bounds": lambda text: text.partition("[bounds]")[0],
    "whose ip is not an address": lambda text: text.replace(
        'ip = "10.1.0.19"', 'ip = "north"'
    ),
    "without an address for callers": lambda text: text.replace(
        'front = "10.1.0.19:8740"', ""
    ),
    "that are not TOML": lambda text: text + "[",
}


def make_temporary_folder(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return pathlib.Path(folder.name)


@behave.given("the project's deploy folder")
def use_project_folder(context):
    context.arguments = [str(ROOT / "deploy")]


@behave.given("a folder that does not exist")
def use_missing_folder(context):
    context.arguments = [str(make_temporary_folder(context) / "deploy")]


@behave.given("a deploy folder whose {field} is {value}")
def set_field(context, field, value):
    context.changes = {field: value}


@behave.given("its {field} is {value}")
def set_another_field(context, field, value):
    context.changes[field] = value


@behave.given("a deploy folder with the day {text}")
def write_day(context, text):
    folder = deploy_builders.write_folder(make_temporary_folder(context), {})
    (folder / "days" / "day.toml").write_text(text.replace("; ", "\n"))
    context.arguments = [str(folder)]


@behave.given("settings {change}")
def write_settings(context, change):
    path = make_temporary_folder(context) / "settings.toml"
    path.write_text(SETTINGS[change](deploy_builders.SETTINGS))
    context.arguments += ["--settings", str(path)]


@behave.when("the folder is checked")
def check(context):
    if "changes" in context:
        folder = deploy_builders.write_folder(
            make_temporary_folder(context), context.changes
        )
        context.arguments = [str(folder)]
    context.result = testing.CliRunner().invoke(
        cli._Commands("gentianpoint"), ["check", *context.arguments]
    )


@behave.then("no problems are found")
def check_no_problems(context):
    assert context.result.exit_code == 0, context.result.output
    assert context.result.output == "no problems found\n"


@behave.then('the only line printed contains "{problem}"')
def check_message(context, problem):
    assert context.result.exit_code == 1, context.result.output
    (line,) = context.result.output.splitlines()
    assert problem in line, line


@behave.then("{count:d} problems are reported")
def check_count(context, count):
    assert context.result.exit_code == 1
    assert len(context.result.output.splitlines()) == count
