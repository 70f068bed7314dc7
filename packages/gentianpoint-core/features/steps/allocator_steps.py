"""Steps for memory that a process returns to the system."""

import subprocess
import sys

import behave

_PROGRAM = """
import sys

from gentianpoint_core import allocator
from gentianpoint_core import caller_resources

if "return" in sys.argv:
    assert allocator.return_long_blocks()
# glibc raises its own threshold at the first long block that is freed.
bytearray(4 << 20)
before = caller_resources.read_resident_bytes()
kept = []
for _ in range(40):
    blocks = [b"x" * (250_000 + n) for n in range(4)]
    kept.append(b"x" * (60_000 + len(kept)))
    kept.append(blocks)
for blocks in kept[1::2]:
    blocks.clear()
kept_bytes = sum(map(len, kept))
print(caller_resources.read_resident_bytes() - before - kept_bytes)
"""


@behave.given("a process that returns long blocks")
def set_arguments(context):
    context.arguments = ["return"]


@behave.when("it frees long blocks that lie between short ones")
def free_blocks(context):
    found = subprocess.run(
        [sys.executable, "-c", _PROGRAM, *context.arguments],
        check=True,
        capture_output=True,
        text=True,
    )
    context.held_bytes = int(found.stdout)


@behave.then("it holds no more than {size:d} MiB of them")
def check_held(context, size):
    assert context.held_bytes <= size << 20, context.held_bytes
