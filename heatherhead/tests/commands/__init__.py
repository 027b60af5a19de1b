"""Tests of `heatherhead.commands`."""
