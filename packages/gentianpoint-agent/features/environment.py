"""Ends the trio run and the processes that a scenario started."""

from gentianpoint_standins import processes


def before_scenario(context, scenario):
    context.deployment = processes.LocalDeployment()


def after_scenario(context, scenario):
    if "stage" in context:
        context.stage.close()
    if scenario.status.name != "passed":
        for handle in context.deployment.handles:
            print(f"--- {handle.name}\n{handle.log.tail()}")
    context.deployment.kill_all()
