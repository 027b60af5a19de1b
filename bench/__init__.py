"""Measurements: fake upstreams, load and fleets of daemons."""
