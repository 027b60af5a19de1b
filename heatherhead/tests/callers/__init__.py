"""Tests of `heatherhead.callers`."""
