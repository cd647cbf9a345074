"""The operators' intent: file format, checks, storage and distribution."""
