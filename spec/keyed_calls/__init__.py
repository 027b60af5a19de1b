"""Keyed calls: grants, key table, incarnations, passing on, pauses, restarts and late duplicates.

One key is followed, whose grant was issued by incarnation 0 of its owner. Other keys matter only
in that they fill the table. The network may deliver any copy of the call at any time, many times
or never, to the owner or to another instance. An attempt that was sent may be run by the upstream
at any later time, also after its owner died.
"""

from __future__ import annotations

from spec.keyed_calls import attempts, claims, key_table, network
from spec.keyed_calls.state import part

__all__ = ["attempts", "claims", "key_table", "network", "part"]
