"""JSON format of the etcd v3 gateway: base64 keys and values, 64-bit integers as strings."""

import base64
from typing import Any

from rosedyke.configuration import ports


def encode_text(text: str) -> str:
    """Return a key in base64."""
    return base64.b64encode(text.encode()).decode()


def encode_bytes(value: bytes) -> str:
    """Return a value in base64."""
    return base64.b64encode(value).decode()


def range_request(key_range: ports.KeyRange, revision: int = 0, limit: int = 0) -> dict[str, Any]:
    """Return the body of a range request; reads are linearizable by default."""
    request: dict[str, Any] = {"key": encode_text(key_range.first)}
    if key_range.end:
        request["range_end"] = encode_text(key_range.end)
    if key_range.min_revision:
        request["min_mod_revision"] = str(key_range.min_revision)
    if revision:
        request["revision"] = str(revision)
    if limit:
        request["limit"] = str(limit)
    return request


def compare(condition: ports.Compare) -> dict[str, Any]:
    """Return a transaction's condition; a missing key has modification revision 0."""
    return {
        "key": encode_text(condition.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(condition.revision),
    }


def operation(change: ports.Put | ports.Delete) -> dict[str, Any]:
    """Return a transaction's operation."""
    if isinstance(change, ports.Put):
        put = {"key": encode_text(change.key), "value": encode_bytes(change.value)}
        if change.lease:
            put["lease"] = str(change.lease)
        return {"request_put": put}
    return {"request_delete_range": {"key": encode_text(change.key)}}


def watch_request(key_range: ports.KeyRange, revision: int) -> dict[str, Any]:
    """Return the body of a watch request."""
    request = {"key": encode_text(key_range.first), "start_revision": str(revision)}
    if key_range.end:
        request["range_end"] = encode_text(key_range.end)
    return {"create_request": request}


def entries(response: dict[str, Any]) -> tuple[ports.Entry, ...]:
    """Return the entries in a range response."""
    return tuple(
        ports.Entry(
            base64.b64decode(kv["key"]).decode(),
            base64.b64decode(kv.get("value", "")),
            int(kv["mod_revision"]),
        )
        for kv in response.get("kvs", ())
    )


def revision(response: dict[str, Any]) -> int:
    """Return the revision of the store in a response header."""
    return int(response["header"]["revision"])


def changes(result: dict[str, Any]) -> tuple[ports.Change, ...]:
    """Return the changes in the result of a watch message."""
    parsed_changes = []
    for event in result.get("events", ()):
        kv = event["kv"]
        is_delete = event.get("type") == "DELETE"
        value = None if is_delete else base64.b64decode(kv.get("value", ""))
        key = base64.b64decode(kv["key"]).decode()
        parsed_changes.append(ports.Change(key, value, int(kv["mod_revision"])))
    return tuple(parsed_changes)
