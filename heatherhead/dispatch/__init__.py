"""Dispatch decisions: upstream selection, queueing, load shedding, retries and hedges.

All modules except the dispatcher are free of I/O: they take state and a time and return a decision.
"""
