"""Configuration: compare-and-swap with lost replies, change ids, overlay, and restarts.

The model follows the document of one service and one operator's change to it, which is requested
with one change id and one expected revision, possibly again at another instance. All other changes
are moves of the environment. A write that was sent may take effect at any later time, and any
earlier document may be delivered to an instance at any time. Two instances in service, one of which
lags behind, represent all others, beside one that starts. Other services matter only because a
starting instance needs them as well: it must not serve before it has a complete snapshot.
"""

from __future__ import annotations

from spec.configuration import editor, invariants, replica
from spec.configuration.state import part

__all__ = ["invariants", "editor", "part", "replica"]
