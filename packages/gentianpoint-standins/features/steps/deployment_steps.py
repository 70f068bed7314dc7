"""Steps for the local deployment."""

import os
import pathlib
import subprocess
import sys
import tempfile

import behave
import httpx

from gentianpoint_standins import deployment_files

_WITHIN_S = 120
_CALL_WITHIN_S = 30


def _run_module(context, *command):
    return subprocess.run(
        [sys.executable, "-m", *command],
        cwd=context.folder,
        capture_output=True,
        text=True,
        timeout=_WITHIN_S,
    )


def _run_deployment(context, *command):
    return _run_module(context, "gentianpoint_standins.deployment", *command)


def _make_folder(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)


@behave.when("the demo runs")
def run_demo(context):
    _make_folder(context)
    context.result = _run_module(context, "gentianpoint_standins.demo")


@behave.then("it ends with exit code {code:d}")
def check_code(context, code):
    assert context.result.returncode == code, context.result


@behave.then("it shows the generation, the hops and the end of all processes")
def check_demo(context):
    output = context.result.stdout
    for text in (
        "generation taller-",
        "tokens, ended by [DONE].",
        "entry call",
        "agent call",
        "target stream",
        "banco-1 got GET /echo/trabajo/17",
        "All processes stopped.",
    ):
        assert text in output, output


@behave.given("a deployment of profile {profile} is up")
def start_deployment(context, profile):
    _make_folder(context)
    context.add_cleanup(_run_deployment, context, "down")
    result = _run_deployment(context, "up", "--profile", profile)
    assert result.returncode == 0, result
    path = context.folder / ".run" / "deployment.json"
    context.page = deployment_files.load_deployment(path)


@behave.then(
    "its page names {entries:d} entries, {agents:d} agents, {targets:d} "
    "targets and {customers:d} customers"
)
def check_page(context, entries, agents, targets, customers):
    page = context.page
    assert len(page["entries"]) == entries, page
    assert len(page["agents"]) == agents, page
    assert len(page["targets"]) == targets, page
    assert len(page["customers"]) == customers, page


@behave.then("each entry answers the last customer")
def check_entries(context):
    key = context.page["customers"][-1]["key"]
    for entry in context.page["entries"]:
        answer = httpx.post(
            f"{entry['url']}/v1/completions",
            json={"model": "modelo-taller", "prompt": "tokens:3"},
            headers={"Authorization": f"Bearer {key}"},
            timeout=_CALL_WITHIN_S,
        )
        assert answer.status_code == 200, answer.text
        assert answer.json()["usage"]["completion_tokens"] == 3, answer.text


@behave.then("coming up once more is refused")
def check_up_refused(context):
    result = _run_deployment(context, "up", "--profile", "taller")
    assert result.returncode == 1, result
    assert "make down" in result.stderr, result


@behave.when("it goes down")
def stop_deployment(context):
    result = _run_deployment(context, "down")
    assert result.returncode == 0, result


@behave.then("none of its processes is left")
def check_stopped(context):
    for pid in deployment_files.list_pids(context.page):
        assert not _is_alive(pid), pid


def _is_alive(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    state = pathlib.Path(f"/proc/{pid}/stat").read_text()
    return state.rpartition(")")[2].split()[0] != "Z"
