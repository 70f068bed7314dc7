"""Steps for retry budgets."""

import behave

from features import builders


@behave.given(
    "a deployment of {entries:d} entry and {targets:d} targets with a retry"
    " share of {share:g}"
)
def start_with_share(context, entries, targets, share):
    context.fixture = builders.start_fixture(
        context.deployment, entries, targets, spec={"retry_share": share}
    )


@behave.given("all agents are killed")
def kill_agents(context):
    for row in context.fixture.targets:
        context.deployment.kill(row.agent)
    for row in context.fixture.targets:
        context.fixture.entries[0].log.wait_for_event(
            "connection_lost",
            matches=lambda event, row=row: event["peer"] == row.agent.name,
        )


@behave.when("{count:d} requests are made one after another")
def make_requests(context, count):
    context.answers = [
        builders.complete(context.fixture.entries[0], f"r-{number} tokens:3")
        for number in range(count)
    ]


@behave.then("all are told not_run with when to come back")
def check_all_not_run(context):
    for answer in context.answers:
        assert answer.json()["error"]["code"] == "not_run", answer.text
        assert int(answer.headers["Retry-After"]) >= 1


@behave.then("at most {count:d} offers were made")
def check_offers(context, count):
    log = context.fixture.entries[0].log
    offers = len(log.find_events("call_offered"))
    assert offers <= count, offers
