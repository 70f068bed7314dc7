"""Steps for checks of deploy folders and settings."""

import pathlib
import tempfile

import behave
from click import testing
import deploy_builders

from gentianpoint_entry import cli

ROOT = pathlib.Path(__file__).resolve().parents[4]
SETTINGS = {
    "that are right": lambda text: text,
    "without bounds": lambda text: text.partition("[bounds]")[0],
    "whose ip is no address": lambda text: text.replace(
        'ip = "10.1.0.19"', 'ip = "north"'
    ),
    "without an address for callers": lambda text: text.replace(
        'front = "10.1.0.19:8740"', ""
    ),
    "that are no TOML": lambda text: text + "[",
}


def make_root(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return pathlib.Path(folder.name)


@behave.given("the project's deploy folder")
def take_own(context):
    context.arguments = [str(ROOT / "deploy")]


@behave.given("a folder that is missing")
def take_missing(context):
    context.arguments = [str(make_root(context) / "deploy")]


@behave.given("a deploy folder whose {field} is {value}")
def make_folder(context, field, value):
    context.changes = {field: value}


@behave.given("its {field} is {value}")
def change_folder(context, field, value):
    context.changes[field] = value


@behave.given("a deploy folder with the day {text}")
def make_day(context, text):
    folder = deploy_builders.write_folder(make_root(context), {})
    (folder / "days" / "day.toml").write_text(text.replace("; ", "\n"))
    context.arguments = [str(folder)]


@behave.given("settings {change}")
def make_settings(context, change):
    path = make_root(context) / "settings.toml"
    path.write_text(SETTINGS[change](deploy_builders.SETTINGS))
    context.arguments += ["--settings", str(path)]


@behave.when("it is checked")
def check(context):
    if "changes" in context:
        folder = deploy_builders.write_folder(
            make_root(context), context.changes
        )
        context.arguments = [str(folder)]
    context.result = testing.CliRunner().invoke(
        cli._Commands("gentianpoint"), ["check", *context.arguments]
    )


@behave.then("nothing is wrong")
def check_right(context):
    assert context.result.exit_code == 0, context.result.output
    assert context.result.output == "nothing is wrong\n"


@behave.then('one line says "{problem}"')
def check_problem(context, problem):
    assert context.result.exit_code == 1, context.result.output
    (line,) = context.result.output.splitlines()
    assert problem in line, line


@behave.then("{count:d} lines tell what is wrong")
def check_problems(context, count):
    assert context.result.exit_code == 1
    assert len(context.result.output.splitlines()) == count
