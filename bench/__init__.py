"""Benchmarks: fake upstreams, load generators and fleets of daemon processes."""
