"""Clients of outside systems: the platform's key-value service and backend servers."""
