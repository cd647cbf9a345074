"""Clients of external systems: the platform's key-value service and backend servers."""
