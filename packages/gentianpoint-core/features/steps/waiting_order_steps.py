"""Steps for the order of waiting requests."""

import behave

from gentianpoint_core.decisions import waiting_order


@behave.when("requests of {customers} with priorities {priorities} wait")
def wait(context, customers, priorities):
    context.order = waiting_order.WaitingOrder()
    context.places = [
        context.order.join(int(priority), customer)
        for customer, priority in zip(
            customers.split(), priorities.split(), strict=True
        )
    ]


@behave.then("they go in the order {numbers}")
def check_order(context, numbers):
    found = {
        context.order.count_ahead(place): str(number)
        for number, place in enumerate(context.places, 1)
    }
    assert [found[rank] for rank in sorted(found)] == numbers.split()
    for place in context.places:
        context.order.leave(place)
    again = context.order.join(1, "a")
    assert context.order.count_ahead(again) == 0
    assert again.round == 0


@behave.when("3 callers of priority 1 are told to come back at 5, 6 and 7 s")
def promise(context):
    context.promised = (7.0, 5.0, 6.0)


@behave.then(
    "at {now:g} s a caller of priority {priority:d} comes after {count:d}"
    " others"
)
def check_promised(context, now, priority, count):
    # Those that are due are forgotten, and the times asked for go back.
    order = waiting_order.WaitingOrder()
    for at in context.promised:
        order.promise(1, at)
    assert order.count_expected(priority, now) == count


@behave.then("callers of priorities {priorities} would come after {counts}")
def check_expected(context, priorities, counts):
    found = [
        context.order.count_expected(int(priority), 0.0)
        for priority in priorities.split()
    ]
    assert found == [int(count) for count in counts.split()], found
