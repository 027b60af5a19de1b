"""A randomized soak test: daemons on loopback under injected faults, with invariants checked."""
