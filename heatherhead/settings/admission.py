"""Settings of `admission`."""

from __future__ import annotations

from heatherhead.settings.section import Section

__all__ = ["AdmissionSettings"]


class AdmissionSettings(Section):
    """Bounds and addresses of `admission`."""
