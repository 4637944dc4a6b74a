"""A chosen upstream with the forecast by which it was chosen."""

from collections.abc import Sequence
from dataclasses import dataclass

from ._domain_traffic import Crossing
from ._forecasts import Forecast
from ._jobs import Placement
from ._links import ForwardingHost
from ._upstreams import UpstreamState

SHORT_OUTPUT_SHARE = 0.7
"""A tolerant job is refused only if it could not complete by its deadline even with this share of
the expected output; sensitive jobs are not refused for that. Forecasts are often too long, and an
answer that misses its target but not its deadline is still useful."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """A chosen upstream with the forecast for the job.

    Attributes:
        expected_s: Forecast time to the first event, or to the answer of a plain service.
        prefill_s: Forecast prefill time of the job.
        reason: Why this upstream was chosen, for the log.
        completion_s: Forecast time to the end of a stream; 0 for a plain service.
        min_completion_s: The same for an answer that is shorter than expected.
        sample_tokens: See ``InFlightRequest.sample_tokens``.
        begins_at_once: Whether the upstream has a free slot and little other work.
        crossing: Between which domains the job is sent.
    """

    state: UpstreamState
    expected_s: float
    prefill_s: float
    reason: str
    begins_at_once: bool
    crossing: Crossing | None = None
    completion_s: float = 0.0
    min_completion_s: float = 0.0
    sample_tokens: float | None = None

    def build_placement(self, *, via: ForwardingHost | None, now_s: float) -> Placement:
        """Return the placement of a job that is not counted at the upstream yet.

        Args:
            via: The host that forwards the request, if one does.
        """
        load = self.state.measure(now_s)
        return Placement(
            upstream=self.state.record,
            reason=self.reason,
            expected_s=self.expected_s,
            prefill_s=self.prefill_s,
            requests=load.requests,
            tolerant_requests=load.tolerant_requests,
            via=via,
            crossing=self.crossing,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class NoRoom:
    """No engine has room for a job that has waited for as long as it may.

    Attributes:
        first_event_s: Forecast time to the first event on the best engine.
    """

    first_event_s: float


def find_least_cost(forecasts: Sequence[Forecast]) -> Forecast:
    """Return the forecast of the engine that is chosen if any may be."""
    return min(forecasts, key=lambda forecast: forecast.cost_s)


def build_choice(forecast: Forecast, reason: str) -> Choice:
    """Return the choice of a forecast's engine; see ``Choice`` for the reason."""
    return Choice(
        state=forecast.state,
        expected_s=forecast.first_event_s,
        prefill_s=forecast.prefill_s,
        reason=reason,
        begins_at_once=forecast.begins_at_once,
        completion_s=forecast.completion_s,
        min_completion_s=forecast.first_event_s
        + SHORT_OUTPUT_SHARE * (forecast.completion_s - forecast.first_event_s),
        sample_tokens=forecast.sample_tokens,
    )
