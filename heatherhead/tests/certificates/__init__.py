"""Certificates for tests: of an authority, of an instance and an operator, and of a stranger.

The authority signed those of the instance and the operator; another authority signed that of the
stranger, which is therefore not trusted. The keys protect nothing; those of the authorities are not
kept. All are elliptic-curve certificates that expire after a hundred years.
"""

from __future__ import annotations

from pathlib import Path

__all__ = ["AUTHORITY", "INSTANCE", "OPERATOR", "STRANGER"]

_DIRECTORY = Path(__file__).parent

AUTHORITY = str(_DIRECTORY / "authority.pem")
INSTANCE = (str(_DIRECTORY / "instance.pem"), str(_DIRECTORY / "instance.key"))
OPERATOR = (str(_DIRECTORY / "operator.pem"), str(_DIRECTORY / "operator.key"))
STRANGER = (str(_DIRECTORY / "stranger.pem"), str(_DIRECTORY / "stranger.key"))
