"""Adapters between the platform's protocols and the product; they contain no policy."""
