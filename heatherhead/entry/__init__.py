"""The entry service: one process on each instance, between callers and upstreams."""
