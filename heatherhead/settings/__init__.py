"""Settings of a daemon: the schema with its defaults, and the loader of settings files."""

from heatherhead.settings.loader import load_settings, parse_settings
from heatherhead.settings.schema import Settings

__all__ = ["Settings", "load_settings", "parse_settings"]
