"""A caller's request from its arrival to its answer, with its attempts at upstreams."""

from ._exchange import RequestExchange
from ._inputs import ExchangeInputs
from ._refusal_answers import answer_refusal
from ._stream_origins import OriginSearch

__all__ = [
    "ExchangeInputs",
    "OriginSearch",
    "RequestExchange",
    "answer_refusal",
]
