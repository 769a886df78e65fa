"""Prompts as the headers of a request describe them: parts in order, and tokens out."""

from __future__ import annotations

from dataclasses import dataclass

MAX_PARTS = 64
MAX_TOKENS = 10_000_000  # of one part, or of an answer
MAX_NUMBER_DIGITS = 16
DECIMAL = 10  # base of counts of tokens
HEXADECIMAL = 16  # base of the names of chunks


class PromptError(ValueError):
    """`X-Token-Count` or `X-Prompt-Prefix` cannot be read."""


@dataclass(frozen=True, slots=True)
class PromptChunk:
    """A chunk of a prompt; requests whose prompts begin alike share parts, by `id`."""

    id: int
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a model server has to read and to write for one request."""

    parts: tuple[PromptChunk, ...]
    output_tokens: int

    @property
    def tokens(self) -> int:
        """Tokens of all parts."""
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
    """The prompt that two header values describe; `PromptError` where they make no sense."""
    tokens_in, _, tokens_out = token_count.partition(b",")
    parts = tuple(_parse_chunk(text) for text in prefix.split(b",")[: MAX_PARTS + 1]) if prefix else ()
    prompt = Prompt(parts, _parse_number(tokens_out, 10))
    if len(parts) > MAX_PARTS:
        raise PromptError(f"more than {MAX_PARTS} parts")
    if prompt.tokens != _parse_number(tokens_in, 10):
        raise PromptError("the tokens of the parts do not add up to the count")
    if prompt.output_tokens < 1:
        raise PromptError("no token may come out")
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
