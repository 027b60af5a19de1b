"""Tests of `heatherhead.configuration`."""
