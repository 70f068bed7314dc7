"""Steps for trials of refused requests."""

import itertools

import behave

from gentianpoint_core.decisions import suspect_trials

KEY = "request"


@behave.given(
    "a request is refused from second {refused:d} on, as its last target ended"
    " at second {ended:d}"
)
def refuse(context, refused, ended):
    context.refusal = suspect_trials.Refusal(refused, ended, None)


@behave.given(
    "{number:d} trials of it were made, the last one at second {at:d}"
)
def make_trials(context, number, at):
    if number:
        context.refusal = context.refusal._replace(
            last=suspect_trials.Trial(number, "entry", at)
        )


@behave.then("the next trial is due at second {due:d}")
def check_due(context, due):
    assert suspect_trials.find_next_at(context.refusal) == due
    claim = suspect_trials.claim_next
    assert claim(context.refusal, "entry", due - 0.1) is None
    context.claim = claim(context.refusal, "entry", due)
    assert context.claim is not None


@behave.then("the next claim has the number {number:d}")
def check_number(context, number):
    assert context.claim.number == number, context.claim


@behave.then(
    "of any claims to one trial all entries count the same one, in whichever"
    " order they hear them"
)
def check_any_order(context):
    claims = [
        suspect_trials.Trial(1, f"entry-{number}", 100.0 + number / 10)
        for number in range(5)
    ]
    counted = set()
    for order in itertools.permutations(claims):
        best = order[0]
        for claim in order[1:]:
            best = suspect_trials.prefer(KEY, best, claim)
        counted.add(best)
    assert len(counted) == 1, counted


@behave.then('the text "{text}" names {what}')
def check_name(context, text, what):
    trial = suspect_trials.parse_trial(text, 1.0)
    if what == "no trial":
        assert trial is None, trial
        return
    assert trial is not None
    assert what == f"trial {trial.number} of {trial.claimant}", trial
