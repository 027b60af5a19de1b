"""Settings of all tests: hypothesis uses fixed seeds and no wall-clock deadline."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None, suppress_health_check=list(HealthCheck)
)
settings.load_profile("fixed")
