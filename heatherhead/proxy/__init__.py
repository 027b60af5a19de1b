"""Carries calls between callers' connections and upstreams' connections."""
