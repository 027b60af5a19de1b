"""Tests of `heatherhead.health`."""
