"""Health checks of upstreams that have shown nothing in calls for a while."""

from heatherhead.health.checker import HealthChecker, create_health_checker

__all__ = ["HealthChecker", "create_health_checker"]
