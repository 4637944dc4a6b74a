"""The output of the stand-in engine: a pure function of the prompt and the token's index."""

import math
import re
from dataclasses import dataclass

import xxhash

VOCABULARY: tuple[str, ...] = (
    *(" gear", " tooth", " profile", " torque", " shaft", " bearing", " module", " pitch"),
    *(" booth", " floor", " rule", " hall", " panel", " draft", " quote", " truss"),
    *(" the", " a", " of", " and", " with", " at", " is", " holds", ",", ".", ":", "\n"),
    *(" fogaskerék", " Győr", " tűrés", " méret", " ±0,02", " µm", " 45°", " Ø12"),
    *(" 齿轮", " 展位", " 🔧", " 📐", " naïve", " größe", " ½", " →"),
    *(' "quoted"', " back\\slash", " tab\t", " \u2028", " data:", " [DONE]", " événement", " ok"),
)
"""Token texts; a token's id is its index. Some hold several bytes or what a parser may trip on."""

PREFIX_BYTES_SHORTEST = 64
BYTES_PER_TOKEN = 4
SHORTEST_OUTPUT_TOKENS = 16
LONGEST_OUTPUT_TOKENS = 256
_LENGTH_MARK = re.compile(r"OUTPUT-TOKENS-(\d+)")
_CRASH_MARK = "CRASH-ENGINE"


@dataclass(frozen=True, slots=True, kw_only=True)
class Prompt:
    """A prompt and what follows from its text alone."""

    text: str
    digest: int
    tokens: int
    output_tokens: int
    prefixes: tuple[int, ...]

    @property
    def crashes_engine(self) -> bool:
        """Whether running this prompt crashes every engine."""
        return _CRASH_MARK in self.text


def analyse_prompt(text: str) -> Prompt:
    """Compute a prompt's length, prefix hashes and the natural length of its output."""
    raw = text.encode()
    digest = xxhash.xxh64_intdigest(raw)
    return Prompt(
        text=text,
        digest=digest,
        tokens=count_prompt_tokens(raw),
        output_tokens=_draw_output_tokens(text, digest),
        prefixes=hash_prefixes(raw),
    )


def count_prompt_tokens(raw: bytes) -> int:
    """Return the number of tokens in a prompt."""
    return max(1, len(raw) // BYTES_PER_TOKEN)


def hash_prefixes(raw: bytes) -> tuple[int, ...]:
    """Hash the prompt's first 64, 128, 256, ... bytes, shortest first."""
    hashes = []
    length = PREFIX_BYTES_SHORTEST
    while length <= len(raw):
        hashes.append(xxhash.xxh64_intdigest(raw[:length]))
        length *= 2
    return tuple(hashes)


def pick_token(digest: int, index: int) -> int:
    """Return the id of output token ``index`` of the prompt with this digest."""
    mixed = xxhash.xxh64_intdigest(index.to_bytes(8, "little"), seed=digest)
    return mixed % len(VOCABULARY)


def decode_tokens(token_ids: list[int] | tuple[int, ...]) -> str:
    """Return the text of tokens."""
    return "".join(VOCABULARY[token_id] for token_id in token_ids)


def compute_output(text: str, max_tokens: int | None = None) -> str:
    """Return the whole answer to a prompt, as any engine gives it."""
    prompt = analyse_prompt(text)
    length = prompt.output_tokens if max_tokens is None else min(max_tokens, prompt.output_tokens)
    return decode_tokens([pick_token(prompt.digest, index) for index in range(length)])


def _draw_output_tokens(text: str, digest: int) -> int:
    marked = _LENGTH_MARK.search(text)
    if marked:
        return max(1, int(marked.group(1)))
    fraction = (xxhash.xxh64_intdigest(b"length", seed=digest) % 10_000) / 10_000
    doublings = math.log2(LONGEST_OUTPUT_TOKENS / SHORTEST_OUTPUT_TOKENS)
    return int(SHORTEST_OUTPUT_TOKENS * 2 ** (fraction * doublings))
