"""Prompts as described by request headers: ordered chunks and the number of output tokens."""

from __future__ import annotations

from dataclasses import dataclass

MAX_PARTS = 64
MAX_TOKENS = 10_000_000  # of one chunk, or of a response
MAX_NUMBER_DIGITS = 16
DECIMAL = 10  # base of counts of tokens
HEXADECIMAL = 16  # base of the names of chunks


class PromptError(ValueError):
    """`X-Token-Count` or `X-Prompt-Prefix` is invalid."""


@dataclass(frozen=True, slots=True)
class PromptChunk:
    """A chunk of a prompt; prompts with a common prefix share chunks with the same `id`."""

    id: int
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """The prompt chunks and the number of output tokens of one request."""

    parts: tuple[PromptChunk, ...]
    output_tokens: int

    @property
    def tokens(self) -> int:
        """Number of tokens of all chunks."""
        return sum(part.tokens for part in self.parts)

    @property
    def token_count_header(self) -> str:
        """The value of `X-Token-Count`."""
        return f"{self.tokens},{self.output_tokens}"

    @property
    def prefix_header(self) -> str:
        """The value of `X-Prompt-Prefix`."""
        return ",".join(f"{part.id:x}:{part.tokens}" for part in self.parts)


def parse_prompt(token_count: bytes, prefix: bytes) -> Prompt:
    """Parse the two header values; raises `PromptError` if they are invalid."""
    tokens_in, _, tokens_out = token_count.partition(b",")
    parts = tuple(_parse_chunk(text) for text in prefix.split(b",")[: MAX_PARTS + 1]) if prefix else ()
    prompt = Prompt(parts, _parse_number(tokens_out, 10))
    if len(parts) > MAX_PARTS:
        raise PromptError(f"more than {MAX_PARTS} parts")
    if prompt.tokens != _parse_number(tokens_in, 10):
        raise PromptError("the tokens of the parts do not add up to the count")
    if prompt.output_tokens < 1:
        raise PromptError("the number of output tokens is below 1")
    return prompt


def _parse_chunk(text: bytes) -> PromptChunk:
    name, _, tokens = text.strip().partition(b":")
    part = PromptChunk(_parse_number(name, HEXADECIMAL), _parse_number(tokens, DECIMAL))
    if part.tokens < 1:
        raise PromptError("a part without tokens")
    return part


def _parse_number(text: bytes, base: int) -> int:
    if not text.isalnum() or len(text) > MAX_NUMBER_DIGITS:
        raise PromptError(f"{text!r} is not a number")
    try:
        number = int(text, base)
    except ValueError:
        raise PromptError(f"{text!r} is not a number") from None
    if base == DECIMAL and number > MAX_TOKENS:
        raise PromptError(f"{number} tokens are too many")
    return number
