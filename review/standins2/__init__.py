"""Stand-ins of the second review; they use the standard library only."""
