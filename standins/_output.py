"""The output of the stand-in engine: a pure function of the prompt and the token index."""

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
"""Token texts by token id. Some are multibyte or contain text that may confuse a parser."""

SHORTEST_PREFIX_BYTES = 64
BYTES_PER_TOKEN = 4
SHORTEST_OUTPUT_TOKENS = 16
LONGEST_OUTPUT_TOKENS = 256
_LENGTH_MARKER = re.compile(r"OUTPUT-TOKENS-(\d+)")
_CRASH_MARKER = "CRASH-ENGINE"


@dataclass(frozen=True, slots=True, kw_only=True)
class Prompt:
    """A prompt and the values that are derived from its text."""

    text: str
    digest: int
    tokens: int
    output_tokens: int
    prefixes: tuple[int, ...]

    @property
    def crashes_engine(self) -> bool:
        """Whether this prompt crashes any engine that runs it."""
        return _CRASH_MARKER in self.text


def analyze_prompt(text: str) -> Prompt:
    """Compute a prompt's length, prefix hashes and the natural length of its output."""
    encoded = text.encode()
    digest = xxhash.xxh64_intdigest(encoded)
    return Prompt(
        text=text,
        digest=digest,
        tokens=count_prompt_tokens(encoded),
        output_tokens=_draw_output_tokens(text, digest),
        prefixes=hash_prefixes(encoded),
    )


def count_prompt_tokens(encoded: bytes) -> int:
    """Return the number of tokens in a prompt."""
    return max(1, len(encoded) // BYTES_PER_TOKEN)


def hash_prefixes(encoded: bytes) -> tuple[int, ...]:
    """Hash the prompt's first 64, 128, 256, ... bytes, shortest first."""
    hashes = []
    length = SHORTEST_PREFIX_BYTES
    while length <= len(encoded):
        hashes.append(xxhash.xxh64_intdigest(encoded[:length]))
        length *= 2
    return tuple(hashes)


def pick_token(digest: int, index: int) -> int:
    """Return the id of output token ``index`` of the prompt with this digest."""
    hashed = xxhash.xxh64_intdigest(index.to_bytes(8, "little"), seed=digest)
    return hashed % len(VOCABULARY)


def decode_tokens(token_ids: list[int] | tuple[int, ...]) -> str:
    """Return the text of the tokens."""
    return "".join(VOCABULARY[token_id] for token_id in token_ids)


def compute_output(text: str, max_tokens: int | None = None) -> str:
    """Return the whole answer to a prompt, which is the same at every engine."""
    prompt = analyze_prompt(text)
    length = prompt.output_tokens if max_tokens is None else min(max_tokens, prompt.output_tokens)
    return decode_tokens([pick_token(prompt.digest, index) for index in range(length)])


def _draw_output_tokens(text: str, digest: int) -> int:
    length_match = _LENGTH_MARKER.search(text)
    if length_match:
        return max(1, int(length_match.group(1)))
    fraction = (xxhash.xxh64_intdigest(b"length", seed=digest) % 10_000) / 10_000
    doublings = math.log2(LONGEST_OUTPUT_TOKENS / SHORTEST_OUTPUT_TOKENS)
    return int(SHORTEST_OUTPUT_TOKENS * 2 ** (fraction * doublings))
