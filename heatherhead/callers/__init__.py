"""The callers' HTTP port: parsing, address answers, deadlines and errors."""
