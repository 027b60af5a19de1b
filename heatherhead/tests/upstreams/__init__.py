"""Tests of `heatherhead.upstreams`."""
