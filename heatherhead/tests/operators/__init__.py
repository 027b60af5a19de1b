"""Tests of `heatherhead.operators`."""
