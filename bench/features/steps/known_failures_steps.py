"""Steps for failures that are known, and for what failed soaks leave."""

import gzip
import json
import pathlib
import re
import tempfile

import behave

from bench.features import soak_builders
from bench.soak import failures
from bench.soak import verdicts
from tools import run_tests


@behave.given('a known failure "{line}"')
def make_line(context, line):
    context.known = [line]


@behave.when('the scenario "{name}" fails, {promises}')
def fail(context, name, promises):
    failure = run_tests.Failure(name, tuple(re.findall('"(.*?)"', promises)))
    context.found = run_tests.find_known(failure, context.known)


@behave.then("it is {outcome}")
def check_outcome(context, outcome):
    assert (context.found is not None) == (outcome == "passed over")


@behave.given("a program that printed {count:d} bytes")
def print_output(context, count):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.root = pathlib.Path(folder.name)
    context.output = context.root / "output"
    context.output.mkdir()
    (context.output / "entry-1.log").write_bytes(b"x" * count)


@behave.when("its soak fails {times:d} times")
def fail_soak(context, times):
    facts = soak_builders.make_facts()
    broken = [verdicts.Verdict("memory is bounded", 1, ("entry-1",))]
    context.kept = [
        failures.keep("seed-1", context.output, facts, broken, context.root)
        for _ in range(times)
    ]


@behave.then(
    "{count:d} failures are kept, each with the facts and the last {size:d}"
    " bytes"
)
def check_kept(context, count, size):
    kept = [folder for folder in context.kept if folder.exists()]
    assert len(kept) == count, kept
    for folder in kept:
        assert (folder / "entry-1.log").stat().st_size == size
        facts = json.loads(
            gzip.decompress((folder / "facts.json.gz").read_bytes())
        )
        assert facts["answers"]
        assert json.loads((folder / "broken.json").read_bytes())


@behave.then("the last failure is among them")
def check_last(context):
    assert context.kept[-1].exists()
