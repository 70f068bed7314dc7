"""Steps for the operators' commands."""

import json
import os
import pathlib
import shlex
import subprocess
import sys
import tempfile
import time

import behave
import httpx

from features import administration

WITHIN_S = 30.0
COMMAND = pathlib.Path(sys.executable).parent / "gentianpoint"


def make_environment(context, key=None):
    return {
        **os.environ,
        "GENTIANPOINT_ENTRIES": " ".join(row.url for row in context.entries),
        "GENTIANPOINT_OPERATOR_KEY": key or context.deployment.operator_key,
    }


def run(context, arguments, key=None):
    context.done = subprocess.run(
        [str(COMMAND), *arguments],
        env=make_environment(context, key),
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=90,
    )
    return context.done


def apply(context, text, *options):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "resources.yaml"
        path.write_text(text)
        return run(context, ["apply", "-f", str(path), *options])


@behave.when("the operator applies the file")
def apply_file(context):
    for row in context.entries:
        if not context.deployment.is_running(row):
            context.deployment.forget_host(row.name)
    apply(context, context.text, "--wait")


@behave.when("the operator applies these files")
def apply_files(context):
    context.runs = [
        (apply(context, row["file"].strip('"')), row) for row in context.table
    ]


@behave.then("each ends with its code and says what is wrong")
def check_runs(context):
    for done, row in context.runs:
        assert str(done.returncode) == row["code"], (row, done.stdout)
        assert row["says"] in done.stdout, (row, done.stdout)


@behave.when("the operator runs {arguments}")
def run_command(context, arguments):
    run(context, shlex.split(arguments))


@behave.when("the operator repeats {arguments} until it says {text}")
def run_until(context, arguments, text):
    expected = "" if text == "nothing" else text
    until = time.monotonic() + WITHIN_S
    while True:
        found = run(context, shlex.split(arguments)).stdout
        if expected in found and bool(found) == bool(expected):
            return
        assert time.monotonic() < until, found


@behave.when("an operator with a wrong key runs {arguments}")
def run_with_wrong_key(context, arguments):
    run(context, shlex.split(arguments), key="wrong")


@behave.then("the exit code is {code:d}")
def check_code(context, code):
    assert context.done.returncode == code, context.done.stdout


@behave.then("the output says {text}")
def check_output(context, text):
    assert text in context.done.stdout, context.done.stdout


@behave.when("the operator watches customers until {name} is shown")
def watch_until_shown(context, name):
    process = subprocess.Popen(
        [str(COMMAND), "watch", "customers", "--after", "1"],
        env=make_environment(context),
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        for line in process.stdout:
            if f'"name":"{name}"' in line:
                return
        raise AssertionError(f"{name} was not shown")
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


@behave.when("answers of the first entry are withheld from the operator")
def withhold_answers(context):
    deployment = context.deployment
    context.relay = deployment.start_relay(context.entries[0].address)
    deployment.set_faults(context.relay, silence="all", direction="backward")


@behave.when("the operator starts to apply the file")
def start_apply(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = pathlib.Path(folder.name) / "resources.yaml"
    path.write_text(context.text)
    urls = [f"http://{context.relay.address}", context.entries[-1].url]
    context.process = subprocess.Popen(
        [str(COMMAND), "apply", "-f", str(path)],
        env={
            **make_environment(context),
            "GENTIANPOINT_ENTRIES": " ".join(urls),
        },
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    context.add_cleanup(context.process.kill)


@behave.when("the first entry has accepted it and the connection breaks")
def break_connection(context):
    context.entries[0].log.wait_for_event(
        "change_accepted", matches=lambda event: event["name"] == "eva"
    )
    context.deployment.kill(context.relay)


@behave.then("the command ends with {code:d} and says {text}")
def check_end(context, code, text):
    output, _ = context.process.communicate(timeout=60)
    assert context.process.returncode == code, output
    assert text in output, output


@behave.when("{count:d} customers more are declared")
def declare_more(context, count):
    url = f"{context.fixture.log.url}/streams/configuration/records"
    with httpx.Client() as client:
        for number in range(count):
            record = {
                "version": 1,
                "change": f"more-{number}",
                "action": "put",
                "kind": "customer",
                "name": f"more-{number}",
                "base": 0,
                "spec": {"key_hashes": []},
            }
            answer = client.post(url, content=json.dumps(record))
            while answer.status_code == 429:
                answer = client.post(url, content=json.dumps(record))
            assert answer.status_code == 200, answer.text
    last = answer.json()["offset"]
    for entry in context.entries:
        administration.wait_for_offset(entry, last)


@behave.then("the output has {count:d} lines")
def check_lines(context, count):
    names = [line.split()[0] for line in context.done.stdout.splitlines()]
    assert len(names) == count, len(names)
    assert names == sorted(set(names)), names


@behave.when("the operator asks for a page of {limit:d} customers")
def ask_page(context, limit):
    context.answer = administration.call(
        context.deployment,
        context.entries[0],
        "GET",
        f"customers?limit={limit}",
    )


@behave.then("the page is refused naming {reason}")
def check_page(context, reason):
    assert context.answer.status_code == 400, context.answer.text
    assert reason in context.answer.json()["error"]["message"]


@behave.when("the last entry is killed")
def kill_last(context):
    context.deployment.kill(context.entries[-1])
