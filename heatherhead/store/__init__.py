"""The platform's configuration store behind a small interface."""
