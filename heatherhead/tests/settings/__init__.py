"""Tests of `heatherhead.settings`."""
