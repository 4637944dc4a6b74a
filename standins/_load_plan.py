"""Seeded plans of requests: which workspace sends what and when, independent of the answers."""

import random

import msgspec
from msgspec import Struct

from ._completions import Message
from ._output import BYTES_PER_TOKEN, compute_output

_WORDS = ("gear", "tooth", "torque", "shaft", "booth", "truss", "hall", "rule", "quote", "panel")
SHARED_PREFIX_BYTES = 512


class ClassMix(Struct, frozen=True, kw_only=True):
    """The completion requests of one class.

    ``rate_per_s`` is the mean rate of a Poisson process; lengths are drawn log-uniformly between
    their bounds. ``give_up_s`` is the time after which a caller closes its connection.
    ``resends`` limits how often a caller resends a request that was refused with a retry time or
    that failed.
    """

    service_class: str
    rate_per_s: float
    prompt_tokens: tuple[int, int]
    output_tokens: tuple[int, int]
    give_up_s: float | None = None
    resends: int = 0


class ServiceMix(Struct, frozen=True, kw_only=True):
    """The calls to one plain service."""

    service: str
    method: str
    rate_per_s: float
    service_class: str


Mix = ClassMix | ServiceMix
"""One kind of request in a plan."""


class Burst(Struct, frozen=True, kw_only=True):
    """A period in which the request rate of one class is multiplied by ``factor``."""

    service_class: str
    start_s: float
    length_s: float
    factor: float


class Sender(Struct, frozen=True, kw_only=True):
    """A workspace that sends requests; ``weight`` is its relative share of them."""

    workspace: str
    key: str
    weight: float = 1.0


class LoadShape(Struct, frozen=True, kw_only=True):
    """The parameters from which a plan is drawn."""

    seed: int
    duration_s: float
    model: str
    classes: tuple[ClassMix, ...]
    senders: tuple[Sender, ...]
    services: tuple[ServiceMix, ...] = ()
    bursts: tuple[Burst, ...] = ()


class PlannedRequest(Struct, frozen=True, kw_only=True):
    """One request, complete except for the entry host that receives it.

    ``expected`` is the text of the whole answer, or None for a plain service.
    """

    index: int
    at_s: float
    workspace: str
    key: str
    service_class: str
    method: str
    path: str
    body: str
    idempotency_key: str | None = None
    expected: str | None = None
    give_up_s: float | None = None
    resends: int = 0


def plan_requests(shape: LoadShape) -> list[PlannedRequest]:
    """Draw a plan; the same shape always gives the same plan."""
    rng = random.Random(shape.seed)
    mixes: list[Mix] = [*shape.classes, *shape.services]
    arrivals = [(at_s, mix) for mix in mixes for at_s in _draw_arrivals(rng, shape, mix)]
    arrivals.sort(key=lambda arrival: arrival[0])
    return [
        _plan_request(rng, shape, index, at_s, mix) for index, (at_s, mix) in enumerate(arrivals)
    ]


def _draw_arrivals(rng: random.Random, shape: LoadShape, mix: Mix) -> list[float]:
    bursts = [
        burst
        for burst in shape.bursts
        if isinstance(mix, ClassMix) and burst.service_class == mix.service_class
    ]
    arrivals = _draw_poisson_arrivals(rng, mix.rate_per_s, 0.0, shape.duration_s)
    for burst in bursts:
        end_s = min(shape.duration_s, burst.start_s + burst.length_s)
        arrivals += _draw_poisson_arrivals(
            rng, mix.rate_per_s * (burst.factor - 1), burst.start_s, end_s
        )
    return arrivals


def _draw_poisson_arrivals(
    rng: random.Random, rate_per_s: float, start_s: float, end_s: float
) -> list[float]:
    arrivals = []
    at_s = start_s
    while rate_per_s > 0:
        at_s += rng.expovariate(rate_per_s)
        if at_s >= end_s:
            break
        arrivals.append(at_s)
    return arrivals


def _plan_request(
    rng: random.Random, shape: LoadShape, index: int, at_s: float, mix: Mix
) -> PlannedRequest:
    sender = rng.choices(shape.senders, weights=[s.weight for s in shape.senders])[0]
    match mix:
        case ClassMix():
            return _plan_completion(rng, shape, index, at_s, mix, sender)
        case ServiceMix():
            return _plan_service_call(shape, index, at_s, mix, sender)


def _plan_completion(
    rng: random.Random,
    shape: LoadShape,
    index: int,
    at_s: float,
    mix: ClassMix,
    sender: Sender,
) -> PlannedRequest:
    prompt_tokens = _draw_length(rng, mix.prompt_tokens)
    output_tokens = _draw_length(rng, mix.output_tokens)
    content = _build_prompt(rng, shape.seed, sender.workspace, prompt_tokens, output_tokens, index)
    message = Message(role="user", content=content)
    body = {"model": shape.model, "stream": True, "messages": [message]}
    return PlannedRequest(
        index=index,
        at_s=at_s,
        workspace=sender.workspace,
        key=sender.key,
        service_class=mix.service_class,
        method="POST",
        path="/v1/chat/completions",
        body=msgspec.json.encode(body).decode(),
        expected=compute_output(f"user:{content}"),
        give_up_s=mix.give_up_s,
        resends=mix.resends,
    )


def _plan_service_call(
    shape: LoadShape, index: int, at_s: float, mix: ServiceMix, sender: Sender
) -> PlannedRequest:
    is_post = mix.method == "POST"
    return PlannedRequest(
        index=index,
        at_s=at_s,
        workspace=sender.workspace,
        key=sender.key,
        service_class=mix.service_class,
        method=mix.method,
        path=f"/services/{mix.service}/items/{index}",
        body=msgspec.json.encode({"item": index}).decode() if is_post else "",
        idempotency_key=f"key-{shape.seed}-{index}" if is_post else None,
    )


def _draw_length(rng: random.Random, bounds: tuple[int, int]) -> int:
    shortest, longest = bounds
    length: float = shortest * (longest / shortest) ** rng.random()
    return round(length)


def _build_prompt(
    rng: random.Random, seed: int, workspace: str, tokens: int, output_tokens: int, index: int
) -> str:
    shared_prefix = f"{workspace} house rules ".ljust(SHARED_PREFIX_BYTES, ".")
    length = tokens * BYTES_PER_TOKEN
    words = [f" request {seed}-{index} OUTPUT-TOKENS-{output_tokens}"]
    length_so_far = len(shared_prefix) + len(words[0])
    while length_so_far < length:
        word = f" {rng.choice(_WORDS)}"
        words.append(word)
        length_so_far += len(word)
    return shared_prefix[: max(0, length - len(words[0]))] + "".join(words)
