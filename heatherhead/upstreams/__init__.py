"""Connections to upstreams, and attempts to run calls on them."""
