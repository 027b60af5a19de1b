"""Stand-ins for the clients, servers and platform of a small deployment, on loopback addresses."""
