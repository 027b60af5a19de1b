"""Tests of `heatherhead.telemetry`."""
