"""Membership, home selection, peer messages and replication of the store's contents."""
