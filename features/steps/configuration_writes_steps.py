"""Steps for operators' writes."""

import functools
import itertools
import json

import behave
import httpx

from features import administration
from features import builders


def declare(context, entry, name, change, weight=1):
    return administration.put_customer(
        context.deployment,
        entry,
        name,
        change=change,
        spec={"weight": weight},
    )


def count_records(context):
    witness = context.deployment.read_witness(context.fixture.log)
    return witness["records"]["configuration"]


@behave.when(
    "{count:d} operators race with the same base for {rounds:d} rounds"
)
def race(context, count, rounds):
    context.rounds = []
    base = 0
    for number in range(rounds):
        pairs = zip(itertools.cycle(context.entries), range(count))
        answers = administration.call_at_once(
            [
                functools.partial(
                    administration.put_customer,
                    context.deployment,
                    entry,
                    "raced",
                    base=base,
                    spec={"weight": 1 + number * count + operator},
                )
                for entry, operator in pairs
            ]
        )
        context.rounds.append(answers)
        won = [row for row in answers if row.status_code == 200]
        assert won, [row.text for row in answers]
        base = won[0].json()["revision"]
    context.offset = max(row.json()["revision"] for row in context.rounds[-1])


@behave.then("in each round exactly one is accepted")
def check_one_accepted(context):
    for answers in context.rounds:
        statuses = sorted(row.status_code for row in answers)
        expected = [200] + [409] * (len(answers) - 1)
        assert statuses == expected, [row.text for row in answers]


@behave.then("the others are told the revision that won")
def check_losers(context):
    for answers in context.rounds:
        won = [row for row in answers if row.status_code == 200][0]
        for row in answers:
            if row.status_code == 409:
                revision = won.json()["revision"]
                reason = row.json()["reason"]
                assert f"revision is {revision}" in reason, reason


@behave.then("all entries have the resources of the winners")
def check_winners(context):
    won = [row for row in context.rounds[-1] if row.status_code == 200][0]
    for entry in context.entries:
        administration.wait_for_offset(entry, context.offset)
        item = administration.call(
            context.deployment, entry, "GET", "customers/raced"
        ).json()
        assert item["revision"] == won.json()["revision"], item


@behave.when("the log loses {count:d} reply by {way}")
def lose_reply(context, count, way):
    context.records = count_records(context)
    context.deployment.set_faults(
        context.fixture.log, lose_replies=count, lose_by=way
    )


@behave.when(
    "an operator declares the customer {name} with the change {change}"
)
def declare_with_change(context, name, change):
    context.weight = getattr(context, "weight", 0) + 1
    context.answer = declare(
        context, context.entries[0], name, change, context.weight
    )


@behave.then("the change {change} is accepted")
def check_accepted(context, change):
    answer = context.answer.json()
    assert context.answer.status_code == 200, answer
    assert answer["change"] == change, answer
    assert answer["state"] == "accepted", answer


@behave.then("the log has {count:d} record more")
def check_records(context, count):
    # Entries tell their status in another stream of the log.
    assert count_records(context) == context.records + count


@behave.when("the change {change} is sent again through every entry")
def send_again(context, change):
    context.first = context.answers = [
        declare(context, entry, "ana", change) for entry in context.entries
    ]


@behave.then("every answer tells the outcome of the change {change}")
def check_outcomes(context, change):
    rows = [answer.json() for answer in context.answers]
    assert all(row["change"] == change for row in rows), rows
    assert all(row["state"] == "accepted" for row in rows), rows
    assert len({row["revision"] for row in rows}) == 1, rows


@behave.then("the customer {name} is as the change {change} left it")
def check_customer(context, name, change):
    for entry in context.entries:
        item = administration.call(
            context.deployment, entry, "GET", f"customers/{name}"
        ).json()
        assert item["spec"]["weight"] == context.weight, item


@behave.when("the change {change} is appended to the log {times:d} times")
def append_directly(context, change, times):
    record = {
        "version": 1,
        "change": change,
        "action": "put",
        "kind": "customer",
        "name": "ana",
        "base": 0,
        "spec": {"key_hashes": []},
    }
    url = f"{context.fixture.log.url}/streams/configuration/records"
    context.appended = [
        httpx.post(url, content=json.dumps(record)).json()["offset"]
        for _ in range(times)
    ]


@behave.then("the change {change} is accepted at its first record")
def check_first_record(context, change):
    for entry in context.entries:
        administration.wait_for_offset(entry, context.appended[-1])
        row = administration.call(
            context.deployment, entry, "GET", f"changes/{change}"
        ).json()
        assert row["state"] == "accepted", row
        assert row["revision"] == context.appended[0], row


@behave.when("an operator makes these writes")
def make_writes(context):
    context.before = administration.list_all(
        context.deployment, context.entries[0]
    )
    context.records = count_records(context)
    context.answers = [
        write_text(context, row["path"], row["spec"]) for row in context.table
    ]
    context.reasons = [row["reason"] for row in context.table]


def write_text(context, path, spec):
    body = f'{{"spec": {spec}}}' if spec.startswith("{") else spec
    return httpx.put(
        f"{context.entries[0].url}/admin/v1/{path}",
        content=body,
        headers=administration.make_operator(context.deployment),
        timeout=administration.CALL_TIMEOUT_S,
    )


def check_refusal(answer, reason):
    assert answer.status_code in (400, 404), answer.text
    assert reason in answer.json()["error"]["message"], answer.text


@behave.then("the answer is refused naming {reason}")
def check_refused(context, reason):
    check_refusal(context.answer, reason)


@behave.then("each is refused with its reason")
def check_each_refused(context):
    for answer, reason in zip(context.answers, context.reasons, strict=True):
        check_refusal(answer, reason)


@behave.then("nothing has changed")
def check_unchanged(context):
    assert count_records(context) == context.records
    now = administration.list_all(context.deployment, context.entries[0])
    assert now == context.before


@behave.when("these calls are made")
def make_calls(context):
    context.statuses = [
        (call_with_key(context, row["key of"], row["path"]), row)
        for row in context.table
    ]


def call_with_key(context, who, path):
    deployment = context.deployment
    headers = {
        "a customer": builders.make_headers(),
        "an operator": administration.make_operator(deployment),
        "a peer": {
            "Gentianpoint-Peer-Key": deployment.peer_key,
            "Authorization": f"Bearer {deployment.peer_key}",
        },
    }[who]
    url = f"{context.entries[0].url}{path}"
    with httpx.stream("GET", url, headers=headers) as answer:
        return answer.status_code


@behave.then("each is answered with its status")
def check_statuses(context):
    for status, row in context.statuses:
        assert str(status) == row["status"], (status, row)
