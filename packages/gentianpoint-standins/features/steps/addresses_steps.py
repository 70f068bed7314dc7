"""Steps for addresses."""

import subprocess
import sys

import behave

from gentianpoint_standins import addresses

_FIRST_SHARED_PORT = 9100
_FIRST_OWN_PORT = 9200
_OTHER_PROCESS = """
import sys
from gentianpoint_standins import addresses
pool = addresses.AddressPool(int(sys.argv[1]), int(sys.argv[2]))
print(*[pool.reserve() for _ in range(int(sys.argv[3]))], flush=True)
sys.stdin.read()
"""


def _make_pool(context, first_port, count):
    context.pool = addresses.AddressPool(first_port, count)
    context.add_cleanup(context.pool.release_all)


def _end(process):
    process.stdin.close()
    process.wait()


@behave.given(
    "another process has taken {taken:d} addresses of a range of {count:d}"
)
def take_elsewhere(context, taken, count):
    arguments = [str(number) for number in (_FIRST_SHARED_PORT, count, taken)]
    process = subprocess.Popen(
        [sys.executable, "-c", _OTHER_PROCESS, *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(_end, process)
    context.taken_elsewhere = process.stdout.readline().split()
    assert len(context.taken_elsewhere) == taken, context.taken_elsewhere
    _make_pool(context, _FIRST_SHARED_PORT, count)


@behave.given("a pool of {count:d} addresses")
def make_pool(context, count):
    _make_pool(context, _FIRST_OWN_PORT, count)


@behave.when("{count:d} addresses of the same range are taken here")
@behave.when("{count:d} addresses of the pool are taken")
def take_here(context, count):
    context.taken = [context.pool.reserve() for _ in range(count)]


@behave.then("no address was given out twice")
def check_distinct(context):
    taken = [*context.taken, *context.taken_elsewhere]
    assert len(set(taken)) == len(taken), sorted(taken)


@behave.then("one more is refused")
def check_refused(context):
    try:
        address = context.pool.reserve()
    except OSError:
        return
    raise AssertionError(f"given out beyond the range: {address}")
