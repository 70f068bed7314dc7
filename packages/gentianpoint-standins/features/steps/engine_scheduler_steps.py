"""Steps for the engine's batches."""

import behave
import standin_builders

from gentianpoint_standins import engine_lengths
from gentianpoint_standins import engine_memory

_MOST_STEPS = 1000


@behave.given("an engine of {blocks:d} blocks of 4 tokens")
def make_engine(context, blocks):
    context.scheduler = standin_builders.make_scheduler(blocks)


@behave.given("streams of 4 prompt tokens with priorities {priorities}")
def add_streams(context, priorities):
    context.streams = [
        standin_builders.make_stream(
            str(number), number, f"prompt {number}".ljust(16), int(text), 8
        )
        for number, text in enumerate(priorities.split(), 1)
    ]
    for stream in context.streams:
        context.scheduler.add(stream)


@behave.when("{count:d} steps are made")
def make_steps(context, count):
    for _ in range(count):
        context.scheduler.begin_step()
        context.scheduler.finish_step()


@behave.when("steps are made until all have ended")
def make_all_steps(context):
    for _ in range(_MOST_STEPS):
        if not context.scheduler.has_work():
            return
        make_steps(context, 1)
    raise AssertionError(context.scheduler.figures())


@behave.then("the streams {names} were preempted")
def check_preempted(context, names):
    seen = [
        stream.identifier
        for stream in context.streams
        if stream.preempted_before
    ]
    assert (" ".join(seen) or "none") == names, seen
    assert context.scheduler.figures().preemptions == len(seen)


@behave.then("{count:d} tokens were computed again")
def check_redone(context, count):
    figures = context.scheduler.figures()
    assert figures.redone_tokens == count, figures


@behave.then("each stream's tokens are numbered without gap or double")
def check_numbers(context):
    for stream in context.streams:
        lines = b"".join(stream.lines).split(b"\n")
        numbers = [line for line in lines if line.startswith(b'{"n"')]
        assert len(numbers) == stream.generated == 8, stream.lines
        for number, line in enumerate(numbers, 1):
            assert line.startswith(b'{"n":%d,' % number), line


@behave.then("no blocks are in use")
def check_free(context):
    assert context.scheduler.figures().blocks_used == 0


@behave.then("the end of stream {number:d} is {end}")
def check_end(context, number, end):
    assert context.streams[number - 1].end == end


@behave.when("prompts {prompts} run one after another")
def run_prompts(context, prompts):
    memory = context.scheduler.memory
    for letters in prompts.split():
        prompt = "".join(
            letter * standin_builders.CHUNK_CHARACTERS for letter in letters
        )
        digests = engine_memory.digest_prefixes(prompt)
        context.held = memory.take_chunks(digests, 0)
        memory.release_chunks(digests)


@behave.then("{count:d} chunks of the last were held already")
def check_held(context, count):
    assert context.held == count, context.held


@behave.then(
    "with seed {seed:d} prompt {prompt} gets between {least:d} and {most:d} "
    "tokens, always the same"
)
def check_length(context, seed, prompt, least, most):
    lengths = {
        engine_lengths.LengthTable(
            seed, engine_lengths.DEFAULT_CLASSES, now
        ).draw(prompt, now)
        for now in (0.0, 100.0)
    }
    assert len(lengths) == 1, lengths
    assert least <= lengths.pop() <= most
