"""The HTTP API for callers: server, application, problem documents and client library."""
