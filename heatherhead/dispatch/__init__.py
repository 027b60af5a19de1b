"""Decisions under load: where a call goes, how it waits, when it is turned away or repeated.

The modules beside the dispatcher are pure: they take a view and a time and return a decision.
"""
