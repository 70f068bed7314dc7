"""Steps for turns that an entry short of processor time borrows."""

import behave
import loan_builders


@behave.given("an entry that lacks turns at a target")
def make_borrower(context):
    context.borrower = loan_builders.Borrower()


@behave.when(
    "it stands still for {still_ms:d} ms, and is lent the turns meanwhile"
)
def lend_turns(context, still_ms):
    context.borrower.play(still_ms / 1000, is_answered=True)


@behave.when("it stands still for {still_ms:d} ms, and is lent nothing")
def lend_nothing(context, still_ms):
    context.took_s = context.borrower.play(still_ms / 1000, is_answered=False)


@behave.then("the request has turns")
def check_turns(context):
    assert context.borrower.has_found


@behave.then("the request has no turns {most_ms:d} ms after it came")
def check_refused(context, most_ms):
    assert not context.borrower.has_found
    assert context.took_s * 1000 <= most_ms, context.took_s
