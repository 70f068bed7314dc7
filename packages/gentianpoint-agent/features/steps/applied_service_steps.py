"""Steps for the service resource that an agent has applied."""

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
    "an agent that was sent offset {offset:d} with {count:d} targets"
)
def send_first(context, offset, count):
    context.service = trio.run(make_service)
    trio.run(apply, context.service, offset, count)


@behave.when("an entry sends it offset {offset:d} with {count:d} targets")
def send_another(context, offset, count):
    trio.run(apply, context.service, offset, count)


@behave.then("it uses offset {offset:d} and {count:d} targets")
def check_applied(context, offset, count):
    assert context.service.offset == offset, context.service.offset
    assert context.service.replicas == count, context.service.replicas
