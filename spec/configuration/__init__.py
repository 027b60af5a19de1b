"""Configuration: compare-and-swap with lost replies, change ids, overlay, and restarts.

The document of one service is followed, and one operator's change to it, which is asked for with
one change id and one expected revision, possibly again at another instance. All other changes are
moves of the environment. A write that was sent may take effect at any later time; any document
that ever was may be delivered to an instance at any time. Two instances in service, of which one lags
behind, stand for all of them, beside one that starts anew. Other services matter only in that a
new instance needs them too: it must not serve before it has a whole snapshot.
"""

from __future__ import annotations

from spec.configuration import claims, editor, replica
from spec.configuration.state import part

__all__ = ["claims", "editor", "part", "replica"]
