"""Client of the platform's key-value service through etcd's published v3 JSON gateway."""

import contextlib
import json
from collections.abc import Iterator
from typing import Any

import urllib3
from urllib3 import exceptions

from rosedyke import runtime as runtime_module
from rosedyke.configuration import ports
from rosedyke.gateways import etcd_breaker, etcd_events, etcd_format, etcd_metrics, settings
from rosedyke.observe import event, metric

PAGE_ENTRIES = 16  # of a value of a megabyte each
MAX_LINE_BYTES = 4 * 1024 * 1024  # of one message of a watch
CODE_OUT_OF_RANGE = 11  # gRPC's code for a compacted revision
CHUNK_BYTES = 65_536

# The gateway's statuses for a call that was cancelled or aborted inside the store.
MAY_HAVE_ACTED = frozenset({408, 409, 499})
# Nothing has left the process: the call may go to another endpoint, also when it writes.
NOT_SENT = (exceptions.NewConnectionError, exceptions.ConnectTimeoutError)


class EtcdStore:
    """Implements ``ports.Store``.

    Parameters
    ----------
    own_settings : StoreSettings
        Endpoints and timeouts.
    runtime : Runtime
        For backoff.
    """

    def __init__(self, own_settings: settings.StoreSettings, runtime: runtime_module.Runtime):
        self.settings = own_settings
        self.runtime = runtime
        self.breaker = etcd_breaker.Breaker(own_settings, runtime)
        # The client's own retries are off: whether a call may be repeated is decided here.
        self.pool = urllib3.PoolManager(retries=False, maxsize=4)

    def read(self, *spans: ports.KeyRange) -> ports.ReadResult:
        """Return the entries of all spans at one revision, with a single call."""
        body = {"success": [{"request_range": etcd_format.range_request(s)} for s in spans]}
        response = self._call("/v3/kv/txn", body, is_write=False)
        with _shape():
            found: list[ports.Entry] = []
            for each in response["responses"]:
                found.extend(etcd_format.entries(each["response_range"]))
            return ports.ReadResult(etcd_format.revision(response), tuple(found))

    def read_all(self, *spans: ports.KeyRange) -> ports.ReadResult:
        """Return the entries of all spans at one revision, in pages."""
        revision = 0
        found: list[ports.Entry] = []
        for span in spans:
            rest: ports.KeyRange | None = span
            while rest is not None:
                body = etcd_format.range_request(rest, revision, PAGE_ENTRIES)
                response = self._call("/v3/kv/range", body, is_write=False)
                with _shape():
                    page = etcd_format.entries(response)
                    revision = revision or etcd_format.revision(response)
                found.extend(page)
                has_more = response.get("more", False) and page
                rest = ports.KeyRange(page[-1].key + "\0", span.end) if has_more else None
        return ports.ReadResult(revision, tuple(found))

    def write(
        self,
        compares: tuple[ports.Compare, ...],
        operations: tuple[ports.Put | ports.Delete, ...],
    ) -> bool:
        """Do all operations if every condition holds; return whether they were done."""
        body = {
            "compare": [etcd_format.compare(each) for each in compares],
            "success": [etcd_format.operation(each) for each in operations],
        }
        response = self._call("/v3/kv/txn", body, is_write=True)
        return bool(response.get("succeeded", False))

    def watch(self, span: ports.KeyRange, revision: int) -> Iterator[tuple[ports.Change, ...]]:
        """Yield changes as they come; ends after ``watch_idle_s`` without any."""
        url = self._first_usable()
        metric.count(etcd_metrics.CALLS)
        timeout = urllib3.Timeout(
            connect=self.settings.connect_timeout_s, read=self.settings.watch_idle_s
        )
        response = None
        try:
            response = self.pool.request(
                "POST",
                url + "/v3/watch",
                body=json.dumps(etcd_format.watch_request(span, revision)),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
                preload_content=False,
            )
            if response.status != 200:
                self._raise_status(url, response.status, response.read(CHUNK_BYTES), False)
            for line in _lines(response):
                yield _watched(line)
        except exceptions.ReadTimeoutError:
            # Nothing for a long time: all may be well, or something in between has lost the
            # connection and would stay silent for ever.  A new watch costs one call.
            return
        except exceptions.HTTPError as error:
            self._failed(url, error)
            raise ports.StoreUnreachable(f"{url}: watch cut: {error}") from error
        finally:
            if response is not None:
                response.close()

    def _first_usable(self) -> str:
        urls = self.breaker.usable()
        if not urls:
            wait_s = self.breaker.next_s()
            raise ports.StoreUnreachable(f"all endpoints failed; next try in {wait_s:.1f} s")
        return urls[0]

    def _call(self, path: str, body: dict[str, Any], is_write: bool) -> dict[str, Any]:
        """Post to the first endpoint that answers.

        A write goes to a further endpoint only if nothing of it left; a read always may.
        """
        self._first_usable()
        content = json.dumps(body)
        failure: ports.StoreError | None = None
        for url in self.breaker.usable():
            try:
                return self._post(url, path, content, is_write)
            except (ports.StoreOutcomeUnknown, ports.StoreRefused, ports.StoreCompacted):
                raise
            except ports.StoreError as error:
                failure = error
        raise failure or ports.StoreUnreachable("no endpoint left to try")

    def _post(self, url: str, path: str, content: str, is_write: bool) -> dict[str, Any]:
        metric.count(etcd_metrics.CALLS)
        timeout = urllib3.Timeout(
            connect=self.settings.connect_timeout_s, read=self.settings.timeout_s
        )
        started = self.runtime.now()
        try:
            response = self.pool.request(
                "POST",
                url + path,
                body=content,
                headers={"Content-Type": "application/json"},
                timeout=timeout,
            )
        except NOT_SENT as error:
            self._failed(url, error)
            raise ports.StoreUnreachable(f"{url}: {error}") from error
        except exceptions.HTTPError as error:
            self._failed(url, error)
            raise _lost(url, error, is_write) from error
        metric.timing(etcd_metrics.CALL_TIME, (self.runtime.now() - started) * 1000)
        if response.status != 200:
            self._raise_status(url, response.status, response.data, is_write)
        try:
            decoded = json.loads(response.data)
        except ValueError as error:
            raise _lost(url, error, is_write) from error
        if not isinstance(decoded, dict):
            raise _lost(url, "not an object", is_write)
        self.breaker.succeeded(url)
        return decoded

    def _raise_status(self, url: str, status: int, data: bytes, is_write: bool) -> None:
        code, text = _error(data)
        if code == CODE_OUT_OF_RANGE and "compacted" in text:
            raise ports.StoreCompacted(text)
        if 400 <= status < 500 and status not in MAY_HAVE_ACTED:
            raise ports.StoreRefused(f"{url}: {status} {text}")
        # A timeout inside the store ends here too: the write may have been proposed.
        self._failed(url, f"{status} {text}")
        raise _lost(url, f"{status} {text}", is_write)

    def _failed(self, url: str, error: object) -> None:
        # What lost one open connection has often lost all of them: each idle one in the pool would
        # cost a call its whole timeout.  New connections cost next to nothing.
        self.pool.clear()
        self.breaker.failed(url)
        metric.count(etcd_metrics.FAILURES)
        event.log(etcd_events.ENDPOINT_FAILED, endpoint=url, detail=error)


def _lost(url: str, error: object, is_write: bool) -> ports.StoreError:
    if is_write:
        return ports.StoreOutcomeUnknown(f"{url}: {error}")
    return ports.StoreUnreachable(f"{url}: {error}")


@contextlib.contextmanager
def _shape():
    """Turn what a foreign answer does to the code that reads it into the port's error."""
    try:
        yield
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ports.StoreUnreachable(f"answer of another shape: {error!r}") from error


def _error(data: bytes) -> tuple[int, str]:
    """Return gRPC's code and the text of an error document."""
    try:
        document = json.loads(data)
        return int(document.get("code", 0)), str(document.get("message", document.get("error")))
    except (ValueError, AttributeError, TypeError):
        return 0, data[:200].decode(errors="replace")


def _lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the documents of a stream, one a line."""
    pending = b""
    while True:
        chunk = response.read1(CHUNK_BYTES)
        if not chunk:
            raise exceptions.ProtocolError("the stream ended")
        *lines, pending = (pending + chunk).split(b"\n")
        if len(pending) > MAX_LINE_BYTES:
            raise exceptions.ProtocolError("a message of the watch is too long")
        yield from (line for line in lines if line.strip())


def _watched(line: bytes) -> tuple[ports.Change, ...]:
    """Return the changes of one message of a watch."""
    with _shape():
        document = json.loads(line)
        if "error" in document:
            raise ports.StoreUnreachable(f"watch failed: {document['error']}")
        result = document["result"]
        if int(result.get("compact_revision", 0)):
            raise ports.StoreCompacted(f"compacted at {result['compact_revision']}")
        if result.get("canceled", False):
            raise ports.StoreUnreachable(f"watch canceled: {result.get('cancel_reason', '')}")
        return etcd_format.changes(result)
