"""The stand-in store's side of the JSON gateway: requests in, response documents out."""

import base64
from typing import Any

from rosedyke.standins import keyvalue


class BadRequest(Exception):
    """The request can't be understood."""


def decode(text: Any) -> bytes:
    """Return the bytes of a base64 field; absent is empty."""
    return base64.b64decode(text or "")


def encode(value: bytes) -> str:
    """Return bytes as base64."""
    return base64.b64encode(value).decode()


def header(state: keyvalue.KeyValue) -> dict[str, str]:
    """Return the header of a response; 64-bit numbers are strings as in the gateway."""
    return {"cluster_id": "1", "member_id": "1", "revision": str(state.revision), "raft_term": "1"}


def record_document(record: keyvalue.Record) -> dict[str, Any]:
    """Return a key-value pair."""
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
    """Return an event of a watch; the gateway leaves out the type of a put."""
    if event.is_delete:
        record = event.record
        kv = {"key": encode(record.key), "mod_revision": str(record.mod_revision)}
        return {"type": "DELETE", "kv": kv}
    return {"kv": record_document(event.record)}


def do_range(state: keyvalue.KeyValue, request: dict[str, Any], stale: int) -> dict[str, Any]:
    """Answer a range request, as of an earlier revision if ``stale`` is set."""
    revision = int(request.get("revision", 0)) or stale
    limit = int(request.get("limit", 0))
    since = int(request.get("min_mod_revision", 0))
    key, end = decode(request.get("key")), decode(request.get("range_end"))
    records, count = state.range(key, end, revision, 0)
    records = [record for record in records if record.mod_revision >= since]
    document: dict[str, Any] = {"header": header(state), "count": str(count)}
    if stale:
        document["header"]["revision"] = str(stale)
    if limit and len(records) > limit:
        document["more"] = True
        records = records[:limit]
    if records:
        document["kvs"] = [record_document(record) for record in records]
    return document


def do_txn(state: keyvalue.KeyValue, request: dict[str, Any], stale: int) -> dict[str, Any]:
    """Answer a transaction; its writes share one revision."""
    holds = all(_compare(state, condition) for condition in request.get("compare", ()))
    operations = request.get("success" if holds else "failure", ())
    if len(operations) > 128:
        raise BadRequest("etcdserver: too many operations in txn request")
    changing = any("request_range" not in _snake(each) for each in operations)
    revision = state.revision + 1 if changing else state.revision
    responses = [_operation(state, _snake(each), revision, stale) for each in operations]
    state.revision = revision
    document: dict[str, Any] = {"header": header(state), "responses": responses}
    if stale and not changing:
        document["header"]["revision"] = str(stale)
    if holds:
        document["succeeded"] = True
    return document


def _compare(state: keyvalue.KeyValue, condition: dict[str, Any]) -> bool:
    target = condition.get("target", "VERSION")
    field = {"MOD": "mod_revision", "CREATE": "create_revision"}.get(target, target.lower())
    wanted = condition.get(field, 0)
    wanted = decode(wanted) if target == "VALUE" else int(wanted)
    return state.compare(decode(condition["key"]), target, condition.get("result", "EQUAL"), wanted)


def _snake(operation: dict[str, Any]) -> dict[str, Any]:
    """Return an operation with the gateway's other spelling of its name replaced."""
    names = {
        "requestPut": "request_put",
        "requestRange": "request_range",
        "requestDeleteRange": "request_delete_range",
    }
    return {names.get(name, name): value for name, value in operation.items()}


def _operation(
    state: keyvalue.KeyValue, operation: dict[str, Any], revision: int, stale: int
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
    return {"response_range": do_range(state, operation["request_range"], stale)}
