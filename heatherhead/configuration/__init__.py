"""The service configuration: its model, its replica on each instance, its dissemination."""

from heatherhead.configuration.replica import create_replica
from heatherhead.configuration.service import ConfigurationService, create_configuration

__all__ = ["ConfigurationService", "create_configuration", "create_replica"]
