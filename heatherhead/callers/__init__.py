"""The HTTP port for callers: request parsing, address answers, deadlines and errors."""
