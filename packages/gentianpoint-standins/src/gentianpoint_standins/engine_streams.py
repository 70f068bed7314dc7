"""One stream of an engine: its lines, and what its readers wait for."""

import typing

import msgspec
import trio
import xxhash

from gentianpoint_standins import engine_memory

__all__ = ("EngineStream", "StreamStart", "digest_prompt")

_WORDS: typing.Final = (
    "bobina",
    "cobre",
    "estator",
    "ranura",
    "vuelta",
    "fase",
    "calor",
    "prueba",
    "bilhete",
    "ponte",
    "praia",
    "quanto",
    "custa",
    "bom",
    "dia",
    "obrigado",
    "rua",
    "farol",
    "linha",
    "volta",
    "motor",
    "eixo",
    "corrente",
)
_STAMP: typing.Final = "stamp:yes"
_PREEMPTED_LINE: typing.Final = b'{"preempted":true}\n'
_encode: typing.Final = msgspec.json.Encoder().encode


def digest_prompt(prompt: str) -> str:
    """Return the digest under which the witness counts a prompt."""
    return xxhash.xxh64_hexdigest(prompt.encode())


class StreamStart(typing.TypedDict):
    """Body of ``POST /streams``."""

    id: str
    """Identifier chosen by the caller."""
    prompt: str
    """Prompt text."""
    max_tokens: int
    """Most tokens to generate."""
    priority: int
    """Priority, larger is more urgent."""
    model: str
    """Model wanted; empty for whatever is loaded."""
    adapter: str
    """Adapter wanted; empty for none."""
    version: str
    """Version wanted; empty for whatever is loaded."""


class EngineStream:
    """A stream that waits, runs or has ended."""

    def __init__(
        self, start: StreamStart, arrival: int, length: int, boot: str
    ) -> None:
        """Make the stream that came as number ``arrival``.

        Its answer has ``length`` tokens unless it is cut short. With
        ``stamp:yes`` in the prompt each token names this very start, so that
        a test sees when an answer was put together from two generations.
        """
        prompt = start["prompt"]
        self.identifier: typing.Final = start["id"]
        self.priority: typing.Final = start["priority"]
        self.arrival: typing.Final = arrival
        self.digests: typing.Final = engine_memory.digest_prefixes(prompt)
        self.prompt_tokens: typing.Final = engine_memory.count_prompt_tokens(
            prompt
        )
        self.own_prompt_tokens: typing.Final = (
            self.prompt_tokens - len(self.digests) * engine_memory.CHUNK_TOKENS
        )
        most = start["max_tokens"] or length
        self.limit: typing.Final = min(length, most)
        self.limit_end: typing.Final = "stop" if length <= most else "length"
        self.generated = 0
        self.own_blocks = 0
        self.prefill_left = 0
        self.preempted_before = False
        self.end = ""
        self.died = False
        # Version of the software that generates.
        self.software = ""
        self.lines: typing.Final[list[bytes]] = []
        self._changed = trio.Event()
        self._token_ends: typing.Final[list[int]] = []
        self._word: typing.Final = xxhash.xxh64_intdigest(prompt.encode())
        self._stamp: typing.Final = (
            f" {boot}.{arrival}." if _STAMP in prompt else ""
        )

    def rank(self) -> tuple[int, int]:
        """Return the key by which streams are served, the first lowest."""
        return -self.priority, self.arrival

    def own_tokens(self) -> int:
        """Return the tokens in memory that no other stream shares."""
        return self.own_prompt_tokens + self.generated

    def add_token(self) -> None:
        """Generate the next token."""
        self.generated += 1
        number = self.generated
        word = _WORDS[(self._word + number * number) % len(_WORDS)]
        text = f"{self._stamp}{number}" if self._stamp else f" {word}"
        if self._stamp and self.software:
            text = f"{text}/{self.software}"
        self.lines.append(_encode({"n": number, "text": text}) + b"\n")
        self._token_ends.append(len(self.lines))
        self.wake_readers()

    def add_preemption(self) -> None:
        """Tell the readers that the stream was preempted."""
        self.preempted_before = True
        self.lines.append(_PREEMPTED_LINE)
        self.wake_readers()

    def add_end(self, end: str) -> None:
        """End the stream with a line that says why."""
        self.end = end
        line = {
            "end": end,
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.generated,
        }
        self.lines.append(_encode(line) + b"\n")
        self.wake_readers()

    def die(self) -> None:
        """End the stream without a word."""
        self.died = True
        self.wake_readers()

    def is_over(self) -> bool:
        """Tell whether no more lines come."""
        return bool(self.end) or self.died

    def find_line_after(self, token: int) -> int:
        """Return the index of the first line after token ``token``."""
        if token <= 0 or not self._token_ends:
            return 0
        return self._token_ends[min(token, len(self._token_ends)) - 1]

    def wake_readers(self) -> None:
        """Let the readers look again."""
        self._changed.set()
        self._changed = trio.Event()

    async def wait_for_change(self) -> None:
        """Wait until there is more to read."""
        await self._changed.wait()
