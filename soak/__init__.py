"""A randomized soak: real daemons on loopback, faults from outside, promises checked by callers."""
