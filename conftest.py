"""Test-wide set-up: hypothesis runs with fixed seeds and without wall-clock bounds."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None, suppress_health_check=list(HealthCheck)
)
settings.load_profile("fixed")
