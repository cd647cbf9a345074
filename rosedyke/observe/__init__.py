"""Logging, metrics and fault-injection points of an instance."""
