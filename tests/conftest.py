"""Settings shared by all tests."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "repeatable",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.filter_too_much],
)
settings.load_profile("repeatable")
