"""The callers' side: the HTTP application, problem documents and the client library."""
