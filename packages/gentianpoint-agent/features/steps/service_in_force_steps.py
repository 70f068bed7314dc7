"""Steps for the service resource in force at an agent."""

import behave
import trio

from gentianpoint_agent import service_in_force


async def take(service, offset, targets):
    service.take(
        {
            "type": "configure",
            "offset": offset,
            "revision": 0,
            "service": b"",
            "replicas": targets,
        }
    )


async def make_service():
    return service_in_force.ServiceInForce("modelo-taller")


@behave.given(
    "an agent that was told offset {offset:d} with {count:d} targets"
)
def tell_first(context, offset, count):
    context.service = trio.run(make_service)
    trio.run(take, context.service, offset, count)


@behave.when("an entry tells it offset {offset:d} with {count:d} targets")
def tell(context, offset, count):
    trio.run(take, context.service, offset, count)


@behave.then("it goes by offset {offset:d} and {count:d} targets")
def check(context, offset, count):
    assert context.service.offset == offset, context.service.offset
    assert context.service.replicas == count, context.service.replicas
