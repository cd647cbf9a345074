"""Limits of an instance's own capacity: its network link, its event loop, and the jobs it holds."""
