"""The operators' RPC."""
