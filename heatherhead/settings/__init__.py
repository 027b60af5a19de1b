"""Settings of a daemon: schema classes with their defaults, and the file's loader."""

from heatherhead.settings.loader import load_settings, parse_settings
from heatherhead.settings.schema import Settings

__all__ = ["Settings", "load_settings", "parse_settings"]
