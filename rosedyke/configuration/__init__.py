"""The operators' intent: file format, validation, storage and distribution."""
