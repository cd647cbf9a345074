"""Fakes and simulations of external systems, for tests, benchmarks and the demo."""
