"""Active health checks of upstreams that have had no recent calls."""

from heatherhead.health.checker import HealthChecker, create_health_checker

__all__ = ["HealthChecker", "create_health_checker"]
