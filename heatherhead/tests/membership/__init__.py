"""Tests of `heatherhead.membership`."""
