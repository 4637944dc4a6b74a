"""The mixed load of the ``standins.fleet run`` demonstration."""

from ._fleet_shape import COOPERATIVE_WORKSPACES, MODEL, build_workspace_key
from ._load_plan import Burst, ClassMix, LoadShape, Sender, ServiceMix

_CLASS_MIXES = (
    ("phone", 10.0, (64, 256), (12, 48)),
    ("summary", 4.0, (128, 768), (40, 120)),
    ("review", 1.5, (256, 2048), (120, 400)),
)
"""Class, requests per second, range of prompt tokens and range of output tokens."""

_BURST_FACTOR = 3.0


def build_mixed_load(*, seed: int, duration_s: float, rate: float = 1.0) -> LoadShape:
    """Return a load over all workspaces and classes with one burst of the summary class."""
    return LoadShape(
        seed=seed,
        duration_s=duration_s,
        model=str(MODEL),
        classes=tuple(
            ClassMix(
                service_class=name,
                rate_per_s=class_rate_per_s * rate,
                prompt_tokens=prompt_tokens,
                output_tokens=output_tokens,
            )
            for name, class_rate_per_s, prompt_tokens, output_tokens in _CLASS_MIXES
        ),
        senders=tuple(
            Sender(workspace=name, key=build_workspace_key(name), weight=weight)
            for name, weight in COOPERATIVE_WORKSPACES.items()
        ),
        services=(
            ServiceMix(
                service="archive", method="GET", rate_per_s=3.0 * rate, service_class="phone"
            ),
            ServiceMix(
                service="booking", method="POST", rate_per_s=1.0 * rate, service_class="summary"
            ),
        ),
        bursts=(
            Burst(
                service_class="summary",
                start_s=duration_s * 0.4,
                length_s=duration_s * 0.2,
                factor=_BURST_FACTOR,
            ),
        ),
    )
