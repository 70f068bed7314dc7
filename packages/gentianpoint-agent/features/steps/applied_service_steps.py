"""Steps for the service resource in force at an agent."""

import behave
import trio

from gentianpoint_agent import applied_service


async def apply(service, offset, targets):
    service.apply(
        {
            "type": "configure",
            "offset": offset,
            "revision": 0,
            "service": b"",
            "replicas": targets,
        }
    )


async def make_service():
    return applied_service.AppliedService("modelo-taller")


@behave.given(
    "an agent that was told offset {offset:d} with {count:d} targets"
)
def tell_first(context, offset, count):
    context.service = trio.run(make_service)
    trio.run(apply, context.service, offset, count)


@behave.when("an entry tells it offset {offset:d} with {count:d} targets")
def tell(context, offset, count):
    trio.run(apply, context.service, offset, count)


@behave.then("it goes by offset {offset:d} and {count:d} targets")
def check(context, offset, count):
    assert context.service.offset == offset, context.service.offset
    assert context.service.replicas == count, context.service.replicas
