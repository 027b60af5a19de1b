"""Connections and attempts to upstreams."""
