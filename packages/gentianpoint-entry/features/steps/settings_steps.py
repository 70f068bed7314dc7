"""Steps for settings that keep an entry from starting."""

from concurrent import futures
import functools

import behave
import settings_builders


def run_all(context, cases):
    """Run the entries, three at a time, and record the results."""
    with futures.ThreadPoolExecutor(3) as pool:
        jobs = [
            (pool.submit(start), flag, reason) for start, flag, reason in cases
        ]
        context.runs = [(job.result(), *rest) for job, *rest in jobs]


@behave.when("an entry is started with these settings")
def start_with_settings(context):
    cases = []
    for row in context.table:
        settings = settings_builders.make_settings()
        settings[row["flag"]] = row["value"]
        start = functools.partial(settings_builders.run_entry, settings)
        cases.append((start, row["flag"], row["reason"]))
    run_all(context, cases)


@behave.when("an entry is started with these variables")
def start_with_variables(context):
    cases = []
    for row in context.table:
        start = functools.partial(
            settings_builders.run_entry,
            settings_builders.make_settings(),
            **{row["variable"]: row["value"]},
        )
        cases.append((start, row["flag"], row["reason"]))
    run_all(context, cases)


@behave.when("an entry is started without these settings")
def start_without_settings(context):
    cases = []
    for row in context.table:
        settings = settings_builders.make_settings()
        del settings[row["flag"]]
        start = functools.partial(settings_builders.run_entry, settings)
        cases.append((start, row["flag"], "Missing option"))
    run_all(context, cases)


@behave.then("each exits with code 2 and names the flag and the reason")
def check_runs(context):
    for run, flag, reason in context.runs:
        assert run.code == 2, (flag, run)
        assert flag in run.output, (flag, run.output)
        assert reason in run.output, (reason, run.output)
        variable = "GENTIANPOINT_" + flag.strip("-").replace("-", "_").upper()
        assert variable in run.output, (variable, run.output)
