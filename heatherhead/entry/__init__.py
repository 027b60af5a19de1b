"""The entry role: one process on each instance, between callers and upstreams."""
