"""Tests, in modules that mirror the package, and the fakes that several of them use."""
