"""A fake of the platform's key-value store: etcd's v3 JSON gateway in memory.

It implements the subset of the API that is used here and injects faults: delays, outages, replies
lost after a write took effect, stale reads and watches without events.  Faults are set with
``Server.set_faults`` or ``POST /faults``; ``GET /counts`` returns the number of calls by path.

    python -m rosedyke.standins.store --address 127.0.0.1:2379
"""

import argparse
import collections
import contextlib
import http.server
import json
import socket
import socketserver
import threading
import time
from typing import Any

import attrs

from rosedyke.standins import keyvalue, store_format

MAX_BODY_BYTES = 3 * 1024 * 1024  # 1.5 MiB in base64, with headroom
MAX_VALUE_REQUEST_BYTES = 1_572_864  # etcd's default --max-request-bytes
WATCH_POLL_S = 0.5
GRPC_INVALID = 3
GRPC_NOT_FOUND = 5
GRPC_OUT_OF_RANGE = 11


@attrs.define
class Faults:
    """Faults to inject.

    Attributes
    ----------
    is_down : bool
        Every connection is closed without a reply, and watches are closed.
    status : int
        HTTP status returned by every call, which has no effect; 0 for none.
    delay_s : float
        Delay of each reply.
    lost_answers : int
        Number of further transactions that take effect but whose connection is closed.
    stale_revision : int
        Revision that reads are served from; 0 for the newest.
    is_watch_silent : bool
        Watches stay open but deliver no events.
    """

    is_down: bool = False
    status: int = 0
    delay_s: float = 0.0
    lost_answers: int = 0
    stale_revision: int = 0
    is_watch_silent: bool = False


class Server:
    """The HTTP server of the store; ``start`` serves in background threads."""

    def __init__(self, address: str = "127.0.0.1:0"):
        self.state = keyvalue.KeyValue()
        self.faults = Faults()
        self.counts: collections.Counter[str] = collections.Counter()
        self.changed = threading.Condition()
        self.is_closed = False
        self.connections = 0
        self.unresponsive_connections = 0
        host, _, port = address.rpartition(":")
        self.http = _HttpServer((host, int(port)), _Handler)
        self.http.store = self

    @property
    def address(self) -> str:
        """``ip:port`` of the listening socket."""
        host, port = self.http.server_address[:2]
        return f"{host}:{port}"

    @property
    def url(self) -> str:
        """The endpoint URL for clients."""
        return f"http://{self.address}"

    def start(self) -> None:
        """Serve in the background."""
        threading.Thread(target=self.http.serve_forever, args=(0.05,), daemon=True).start()
        threading.Thread(target=self._expire, daemon=True).start()

    def stop(self) -> None:
        """Stop listening and close every watch."""
        with self.changed:
            self.is_closed = True
            self.changed.notify_all()
        self.http.shutdown()
        self.http.server_close()

    def set_faults(self, **faults: Any) -> None:
        """Change some faults; open watches are affected too."""
        with self.changed:
            for name, value in faults.items():
                setattr(self.faults, name, value)
            self.changed.notify_all()

    def silence(self) -> None:
        """Stop replying on the connections that are open now; new ones work."""
        with self.changed:
            self.unresponsive_connections = self.connections

    def compact(self) -> None:
        """Compact up to the current revision."""
        with self.changed:
            self.state.compact(self.state.revision)
            self.changed.notify_all()

    def put(self, key: str, value: bytes) -> None:
        """Set a key, as the platform does."""
        with self.changed:
            self.state.put(key.encode(), value, self.state.revision + 1)
            self.state.revision += 1
            self.changed.notify_all()

    def delete(self, key: str) -> None:
        """Delete a key, as the platform does."""
        with self.changed:
            self.state.delete(key.encode(), b"", self.state.revision + 1)
            self.state.revision += 1
            self.changed.notify_all()

    def _expire(self) -> None:
        while not self.is_closed:
            time.sleep(0.1)
            with self.changed:
                if self.state.expire(time.monotonic()):
                    self.changed.notify_all()

    def answer(self, path: str, request: dict[str, Any]) -> dict[str, Any]:
        """Execute one call and return its document; raises the errors of ``KeyValue``."""
        with self.changed:
            revision = self.faults.stale_revision
            document = self._answer(path, request, revision)
            self.changed.notify_all()
            return document

    def _answer(self, path: str, request: dict[str, Any], stale_revision: int) -> dict[str, Any]:
        state, now = self.state, time.monotonic()
        if path == "/v3/kv/range":
            return store_format.do_range(state, request, stale_revision)
        if path == "/v3/kv/txn":
            return store_format.do_txn(state, request, stale_revision)
        if path == "/v3/kv/put":
            store_format.do_txn(state, {"success": [{"request_put": request}]}, 0)
        elif path == "/v3/kv/deleterange":
            store_format.do_txn(state, {"success": [{"request_delete_range": request}]}, 0)
        elif path == "/v3/kv/compaction":
            state.compact(int(request["revision"]))
        elif path == "/v3/lease/grant":
            ttl_s = float(request["TTL"])
            lease = state.grant(ttl_s, now, int(request.get("ID", 0)))
            header = store_format.header(state)
            return {"header": header, "ID": str(lease), "TTL": str(int(ttl_s))}
        elif path == "/v3/lease/keepalive":
            ttl_s = state.keep_alive(int(request["ID"]), now)
            header = store_format.header(state)
            result = {"header": header, "ID": str(request["ID"]), "TTL": str(int(ttl_s))}
            return {"result": result}
        elif path in ("/v3/lease/revoke", "/v3/kv/lease/revoke"):
            state.revoke(int(request["ID"]))
        else:
            raise store_format.BadRequest(f"no such call: {path}")
        return {"header": store_format.header(state)}


class _HttpServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    store: Server

    def server_bind(self) -> None:
        """Bind without the reverse lookup of ``http.server``.

        A name server that does not answer delays it by 5 to 10 s.
        """
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = self.server_address[:2]


class _Handler(http.server.BaseHTTPRequestHandler):
    """One connection of one client."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def setup(self) -> None:
        """Assign the connection its number."""
        super().setup()
        store = self.server.store
        with store.changed:
            store.connections += 1
            self.number = store.connections

    def wait_for_disconnect(self) -> None:
        """Block until the client disconnects or the server stops."""
        while not self.is_disconnected() and not self.server.store.is_closed:
            time.sleep(0.02)
        self.drop_connection()

    def log_message(self, *_: Any) -> None:
        """Log nothing; ``GET /counts`` reports the calls."""

    def do_GET(self) -> None:  # noqa: N802
        """Return the number of calls by path."""
        self.reply(200, dict(self.server.store.counts))

    def do_POST(self) -> None:  # noqa: N802
        """Handle one call."""
        store = self.server.store
        length = int(self.headers.get("Content-Length", 0))
        if length > MAX_BODY_BYTES:
            self.reply(413, {"code": GRPC_INVALID, "message": "request is too large"})
            return
        try:
            request = json.loads(self.rfile.read(length) or b"{}")
        except ValueError:
            self.reply(400, {"code": GRPC_INVALID, "message": "not JSON"})
            return
        if self.path == "/faults":
            store.set_faults(**request)
            self.reply(200, {})
            return
        if self.path == "/compact":
            store.compact()
            self.reply(200, {})
            return
        store.counts[self.path] += 1
        if store.faults.delay_s:
            time.sleep(store.faults.delay_s)
        if store.faults.is_down:
            self.drop_connection()
        elif self.number <= store.unresponsive_connections:
            self.wait_for_disconnect()
        elif store.faults.status:
            self.reply(store.faults.status, {"code": 14, "message": "etcdserver: no leader"})
        elif self.path == "/v3/watch":
            self.watch(request["create_request"])
        else:
            self.call(request, length)

    def call(self, request: dict[str, Any], length: int) -> None:
        """Handle any call other than a watch."""
        store = self.server.store
        # Base64 encodes three bytes as four.
        if length * 3 // 4 > MAX_VALUE_REQUEST_BYTES:
            message = "etcdserver: request is too large"
            self.reply(400, {"code": GRPC_INVALID, "message": message})
            return
        try:
            document = store.answer(self.path, request)
        except keyvalue.Compacted:
            message = "etcdserver: mvcc: required revision has been compacted"
            self.reply(400, {"code": GRPC_OUT_OF_RANGE, "message": message})
            return
        except keyvalue.UnknownLease:
            message = "etcdserver: requested lease not found"
            self.reply(404, {"code": GRPC_NOT_FOUND, "message": message})
            return
        except (store_format.BadRequest, keyvalue.FutureRevision, KeyError, ValueError) as error:
            self.reply(400, {"code": GRPC_INVALID, "message": repr(error)})
            return
        if self.path == "/v3/kv/txn" and request.get("compare") and store.faults.lost_answers:
            store.faults.lost_answers -= 1
            self.drop_connection()
            return
        self.reply(200, document)

    def watch(self, request: dict[str, Any]) -> None:
        """Stream the events of a key range until the client disconnects or the server stops."""
        store = self.server.store
        key = store_format.decode(request["key"])
        end = store_format.decode(request.get("range_end"))
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        try:
            with store.changed:
                revision = int(request.get("start_revision", 0)) or store.state.revision + 1
                created = {"header": store_format.header(store.state), "created": True}
            self.send_chunk({"result": created})
            while True:
                message, revision = self.wait_for_events(key, end, revision)
                if message is None:
                    self.drop_connection()
                    return
                if message and not store.faults.is_watch_silent:
                    self.send_chunk(message)
                    if "compact_revision" in message["result"]:
                        self.drop_connection()
                        return
        except OSError:
            self.close_connection = True

    def wait_for_events(
        self, key: bytes, end: bytes, revision: int
    ) -> tuple[dict[str, Any] | None, int]:
        """Return the next message, None to close the watch, and the revision to continue from."""
        store = self.server.store
        with store.changed:
            if store.is_closed or store.faults.is_down:
                return None, revision
            header = store_format.header(store.state)
            try:
                events = store.state.since(revision, key, end)
            except keyvalue.Compacted:
                compacted = str(store.state.compacted)
                result = {"header": header, "canceled": True, "compact_revision": compacted}
                return {"result": result}, revision
            if events:
                documents = [store_format.event_document(event) for event in events]
                message = {"result": {"header": header, "events": documents}}
                return message, store.state.revision + 1
            store.changed.wait(WATCH_POLL_S)
        if self.is_disconnected():
            return None, revision
        return {}, revision

    def is_disconnected(self) -> bool:
        """Return whether the client has closed the connection."""
        try:
            return self.connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def send_chunk(self, document: dict[str, Any]) -> None:
        """Send one line of a stream as a chunk."""
        data = json.dumps(document).encode() + b"\n"
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))

    def drop_connection(self) -> None:
        """Close the connection without a reply."""
        self.close_connection = True
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_RDWR)

    def reply(self, status: int, document: dict[str, Any]) -> None:
        """Send a JSON response."""
        data = json.dumps(document).encode()
        try:
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)
        except OSError:  # the client has disconnected
            self.close_connection = True


def main() -> None:
    """Serve until interrupted."""
    parser = argparse.ArgumentParser(description="Fake of the platform's key-value store.")
    parser.add_argument("--address", default="127.0.0.1:2379", help="ip:port to listen on")
    server = Server(parser.parse_args().address)
    server.start()
    print(f"fake store listening at {server.url}", flush=True)
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        server.stop()


if __name__ == "__main__":
    main()
