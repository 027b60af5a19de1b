"""Tests, in modules that mirror the package."""
