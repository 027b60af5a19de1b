"""Tests of `heatherhead.admission`."""
