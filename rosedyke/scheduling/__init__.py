"""Decisions about the capacity of backend servers, as plain functions over immutable records."""
