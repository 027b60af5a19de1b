"""The service model, its replica on each instance and its dissemination."""

from heatherhead.configuration.replica import create_replica
from heatherhead.configuration.service import ConfigurationService, create_configuration

__all__ = ["ConfigurationService", "create_configuration", "create_replica"]
