"""Tests of `heatherhead.routing`."""
