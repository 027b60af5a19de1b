"""Keyed calls: grants, key table, incarnations, forwarding, pauses, restarts and late duplicates.

The model follows one key, whose grant was issued by incarnation 0 of its owner. Other keys matter
only because they fill the table. The network may deliver any copy of the call at any time, many
times or never, to the owner or to another instance. An upstream may run an attempt at any time
after it was sent, also after the owner crashed.
"""

from __future__ import annotations

from spec.keyed_calls import attempts, invariants, key_table, network
from spec.keyed_calls.state import part

__all__ = ["attempts", "invariants", "key_table", "network", "part"]
