"""Requests and responses of etcd's JSON gateway, for the fake store."""

import base64
from typing import Any

from rosedyke.standins import keyvalue


class BadRequest(Exception):
    """The request is malformed."""


def decode(text: Any) -> bytes:
    """Return the bytes of a base64 field, empty if it is absent."""
    return base64.b64decode(text or "")


def encode(value: bytes) -> str:
    """Return bytes as base64."""
    return base64.b64encode(value).decode()


def header(state: keyvalue.KeyValue) -> dict[str, str]:
    """Return the header of a response; the gateway encodes 64-bit numbers as strings."""
    return {"cluster_id": "1", "member_id": "1", "revision": str(state.revision), "raft_term": "1"}


def record_document(record: keyvalue.Record) -> dict[str, Any]:
    """Return the document of a key-value pair."""
    document = {
        "key": encode(record.key),
        "create_revision": str(record.create_revision),
        "mod_revision": str(record.mod_revision),
        "version": str(record.version),
        "value": encode(record.value),
    }
    if record.lease:
        document["lease"] = str(record.lease)
    return document


def event_document(event: keyvalue.Event) -> dict[str, Any]:
    """Return the document of a watch event; the gateway omits the type of a put."""
    if event.is_delete:
        record = event.record
        kv = {"key": encode(record.key), "mod_revision": str(record.mod_revision)}
        return {"type": "DELETE", "kv": kv}
    return {"kv": record_document(event.record)}


def do_range(
    state: keyvalue.KeyValue, request: dict[str, Any], stale_revision: int
) -> dict[str, Any]:
    """Answer a range request, at ``stale_revision`` unless 0."""
    revision = int(request.get("revision", 0)) or stale_revision
    limit = int(request.get("limit", 0))
    min_revision = int(request.get("min_mod_revision", 0))
    key, end = decode(request.get("key")), decode(request.get("range_end"))
    records, count = state.range(key, end, revision, 0)
    records = [record for record in records if record.mod_revision >= min_revision]
    document: dict[str, Any] = {"header": header(state), "count": str(count)}
    if stale_revision:
        document["header"]["revision"] = str(stale_revision)
    if limit and len(records) > limit:
        document["more"] = True
        records = records[:limit]
    if records:
        document["kvs"] = [record_document(record) for record in records]
    return document


def do_txn(
    state: keyvalue.KeyValue, request: dict[str, Any], stale_revision: int
) -> dict[str, Any]:
    """Execute a transaction; its writes share one revision."""
    succeeded = all(_compare(state, comparison) for comparison in request.get("compare", ()))
    operations = request.get("success" if succeeded else "failure", ())
    if len(operations) > 128:
        raise BadRequest("etcdserver: too many operations in txn request")
    is_write = any("request_range" not in _to_snake_case(operation) for operation in operations)
    revision = state.revision + 1 if is_write else state.revision
    responses = [
        _execute(state, _to_snake_case(operation), revision, stale_revision)
        for operation in operations
    ]
    state.revision = revision
    document: dict[str, Any] = {"header": header(state), "responses": responses}
    if stale_revision and not is_write:
        document["header"]["revision"] = str(stale_revision)
    if succeeded:
        document["succeeded"] = True
    return document


def _compare(state: keyvalue.KeyValue, comparison: dict[str, Any]) -> bool:
    target = comparison.get("target", "VERSION")
    field = {"MOD": "mod_revision", "CREATE": "create_revision"}.get(target, target.lower())
    expected = comparison.get(field, 0)
    expected = decode(expected) if target == "VALUE" else int(expected)
    return state.compare(
        decode(comparison["key"]), target, comparison.get("result", "EQUAL"), expected
    )


def _to_snake_case(operation: dict[str, Any]) -> dict[str, Any]:
    """Return an operation with its name in snake case; the gateway accepts both spellings."""
    names = {
        "requestPut": "request_put",
        "requestRange": "request_range",
        "requestDeleteRange": "request_delete_range",
    }
    return {names.get(name, name): value for name, value in operation.items()}


def _execute(
    state: keyvalue.KeyValue, operation: dict[str, Any], revision: int, stale_revision: int
) -> dict[str, Any]:
    if "request_put" in operation:
        put = operation["request_put"]
        lease = int(put.get("lease", 0))
        state.put(decode(put["key"]), decode(put.get("value")), revision, lease)
        return {"response_put": {"header": {"revision": str(revision)}}}
    if "request_delete_range" in operation:
        delete = operation["request_delete_range"]
        count = state.delete(decode(delete["key"]), decode(delete.get("range_end")), revision)
        return {"response_delete_range": {"deleted": str(count)}}
    return {"response_range": do_range(state, operation["request_range"], stale_revision)}
