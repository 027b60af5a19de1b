"""Instances of the system: who is live, where, and how they reach each other."""
