"""Starts and stops the processes of each scenario.

After the last step the events that entries and agents logged are replayed
against the dispatch specification; a step that it does not allow fails the
scenario.
"""

from gentianpoint_standins import processes
from spec import replay

_REPLAYED_KINDS = ("entry", "agent")


def before_scenario(context, scenario):
    context.deployment = processes.LocalDeployment()


def after_step(context, step):
    scenario = context.scenario
    if step.status.name == "passed" and step is scenario.steps[-1]:
        replay_scenario(context)


def replay_scenario(context):
    """Compare what the processes logged with the specification."""
    events = []
    for handle in context.deployment.handles:
        if handle.kind in _REPLAYED_KINDS:
            name = f"{handle.name}/{handle.pid}"
            lines = handle.log.read_lines()
            events += replay.read_events(lines, name)
    result = replay.replay_events(events)
    assert result.is_ok(), str(result.error)


def after_scenario(context, scenario):
    if scenario.status.name != "passed":
        for handle in context.deployment.handles:
            print(f"--- {handle.name}\n{handle.log.tail()}")
    context.deployment.kill_all()
