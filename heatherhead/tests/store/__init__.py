"""Tests of `heatherhead.store`."""
