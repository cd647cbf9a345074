"""Client of the platform's key-value service, using the JSON gateway of etcd v3."""

import contextlib
import json
from collections.abc import Iterator
from typing import Any

import urllib3
from urllib3 import exceptions

from rosedyke import runtime as runtime_module
from rosedyke.configuration import ports
from rosedyke.gateways import endpoint_breaker, etcd_events, etcd_format, etcd_metrics, settings
from rosedyke.observe import event, metric

PAGE_ENTRIES = 16  # values may have a megabyte each
MAX_LINE_BYTES = 4 * 1024 * 1024  # size of one watch message
GRPC_OUT_OF_RANGE = 11  # gRPC status code for a compacted revision
CHUNK_BYTES = 65_536

# HTTP statuses of a call that was cancelled or aborted in the store and may have taken effect.
AMBIGUOUS_STATUSES = frozenset({408, 409, 499})
# Nothing was sent, so even a write may be retried at another endpoint.
CONNECT_ERRORS = (exceptions.NewConnectionError, exceptions.ConnectTimeoutError)


class EtcdStore:
    """Implements ``ports.Store``.

    Parameters
    ----------
    store_settings : StoreSettings
        Endpoints and timeouts.
    runtime : Runtime
        Time source and random numbers.
    """

    def __init__(self, store_settings: settings.StoreSettings, runtime: runtime_module.Runtime):
        self.settings = store_settings
        self.runtime = runtime
        self.circuit_breaker = endpoint_breaker.EndpointBreaker(store_settings, runtime)
        # urllib3 must not retry: whether a call may be repeated is decided here.
        self.pool = urllib3.PoolManager(retries=False, maxsize=4)

    def read(self, *key_ranges: ports.KeyRange) -> ports.ReadResult:
        """Return the entries of all key ranges at one revision, in a single call."""
        body = {
            "success": [
                {"request_range": etcd_format.range_request(key_range)} for key_range in key_ranges
            ]
        }
        response = self._call("/v3/kv/txn", body, is_write=False)
        with _translate_format_errors():
            all_entries: list[ports.Entry] = []
            for range_response in response["responses"]:
                all_entries.extend(etcd_format.entries(range_response["response_range"]))
            return ports.ReadResult(etcd_format.revision(response), tuple(all_entries))

    def read_all(self, *key_ranges: ports.KeyRange) -> ports.ReadResult:
        """Return the entries of all key ranges at one revision, in pages."""
        revision = 0
        all_entries: list[ports.Entry] = []
        for key_range in key_ranges:
            remaining_range: ports.KeyRange | None = key_range
            while remaining_range is not None:
                body = etcd_format.range_request(remaining_range, revision, PAGE_ENTRIES)
                response = self._call("/v3/kv/range", body, is_write=False)
                with _translate_format_errors():
                    page = etcd_format.entries(response)
                    revision = revision or etcd_format.revision(response)
                all_entries.extend(page)
                has_next_page = response.get("more", False) and page
                remaining_range = (
                    ports.KeyRange(page[-1].key + "\0", key_range.end) if has_next_page else None
                )
        return ports.ReadResult(revision, tuple(all_entries))

    def write(
        self,
        compares: tuple[ports.Compare, ...],
        operations: tuple[ports.Put | ports.Delete, ...],
    ) -> bool:
        """Apply all operations if every condition holds; return whether they were applied."""
        body = {
            "compare": [etcd_format.compare(condition) for condition in compares],
            "success": [etcd_format.operation(change) for change in operations],
        }
        response = self._call("/v3/kv/txn", body, is_write=True)
        return bool(response.get("succeeded", False))

    def watch(self, key_range: ports.KeyRange, revision: int) -> Iterator[tuple[ports.Change, ...]]:
        """Yield changes as they arrive; ends after ``watch_idle_s`` without any."""
        url = self._first_available_endpoint()
        metric.count(etcd_metrics.CALLS)
        timeout = urllib3.Timeout(
            connect=self.settings.connect_timeout_s, read=self.settings.watch_idle_s
        )
        response = None
        try:
            response = self.pool.request(
                "POST",
                url + "/v3/watch",
                body=json.dumps(etcd_format.watch_request(key_range, revision)),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
                preload_content=False,
            )
            if response.status != 200:
                self._raise_status(url, response.status, response.read(CHUNK_BYTES), False)
            for line in _lines(response):
                yield _parse_watch_message(line)
        except exceptions.ReadTimeoutError:
            # There may be no changes, or the connection may be dead, so the caller opens a new
            # watch.
            return
        except exceptions.HTTPError as error:
            self._record_failure(url, error)
            raise ports.StoreUnreachable(f"{url}: watch interrupted: {error}") from error
        finally:
            if response is not None:
                response.close()

    def _first_available_endpoint(self) -> str:
        urls = self.circuit_breaker.available_endpoints()
        if not urls:
            delay_s = self.circuit_breaker.retry_delay_s()
            raise ports.StoreUnreachable(
                f"all endpoints have failed; next attempt in {delay_s:.1f} s"
            )
        return urls[0]

    def _call(self, path: str, body: dict[str, Any], is_write: bool) -> dict[str, Any]:
        """Send a request to the first endpoint that answers.

        A write is sent to another endpoint only if nothing was sent to the previous one.
        """
        self._first_available_endpoint()
        content = json.dumps(body)
        failure: ports.StoreError | None = None
        for url in self.circuit_breaker.available_endpoints():
            try:
                return self._post(url, path, content, is_write)
            except (ports.StoreOutcomeUnknown, ports.StoreRefused, ports.StoreCompacted):
                raise
            except ports.StoreError as error:
                failure = error
        raise failure or ports.StoreUnreachable("no endpoint is available")

    def _post(self, url: str, path: str, content: str, is_write: bool) -> dict[str, Any]:
        metric.count(etcd_metrics.CALLS)
        timeout = urllib3.Timeout(
            connect=self.settings.connect_timeout_s, read=self.settings.timeout_s
        )
        started_at = self.runtime.now()
        try:
            response = self.pool.request(
                "POST",
                url + path,
                body=content,
                headers={"Content-Type": "application/json"},
                timeout=timeout,
            )
        except CONNECT_ERRORS as error:
            self._record_failure(url, error)
            raise ports.StoreUnreachable(f"{url}: {error}") from error
        except exceptions.HTTPError as error:
            self._record_failure(url, error)
            raise _request_error(url, error, is_write) from error
        metric.timing(etcd_metrics.CALL_TIME, (self.runtime.now() - started_at) * 1000)
        if response.status != 200:
            self._raise_status(url, response.status, response.data, is_write)
        try:
            decoded = json.loads(response.data)
        except ValueError as error:
            raise _request_error(url, error, is_write) from error
        if not isinstance(decoded, dict):
            raise _request_error(url, "response is not a JSON object", is_write)
        self.circuit_breaker.record_success(url)
        return decoded

    def _raise_status(self, url: str, status: int, data: bytes, is_write: bool) -> None:
        code, message = _parse_error(data)
        if code == GRPC_OUT_OF_RANGE and "compacted" in message:
            raise ports.StoreCompacted(message)
        if 400 <= status < 500 and status not in AMBIGUOUS_STATUSES:
            raise ports.StoreRefused(f"{url}: {status} {message}")
        # This includes timeouts in the store, after which a write may still be applied.
        self._record_failure(url, f"{status} {message}")
        raise _request_error(url, f"{status} {message}", is_write)

    def _record_failure(self, url: str, error: object) -> None:
        # The other pooled connections are often dead too, and each would cost a call its timeout,
        # while new connections are cheap.
        self.pool.clear()
        self.circuit_breaker.record_failure(url)
        metric.count(etcd_metrics.FAILURES)
        event.log(etcd_events.ENDPOINT_FAILED, endpoint=url, detail=error)


def _request_error(url: str, error: object, is_write: bool) -> ports.StoreError:
    if is_write:
        return ports.StoreOutcomeUnknown(f"{url}: {error}")
    return ports.StoreUnreachable(f"{url}: {error}")


@contextlib.contextmanager
def _translate_format_errors():
    """Convert errors from reading an unexpected response to ``StoreUnreachable``."""
    try:
        yield
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ports.StoreUnreachable(f"unexpected response: {error!r}") from error


def _parse_error(data: bytes) -> tuple[int, str]:
    """Return the gRPC status code and the message of an error response."""
    try:
        document = json.loads(data)
        return int(document.get("code", 0)), str(document.get("message", document.get("error")))
    except (ValueError, AttributeError, TypeError):
        return 0, data[:200].decode(errors="replace")


def _lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the lines of a stream; each is a JSON document."""
    pending = b""
    while True:
        chunk = response.read1(CHUNK_BYTES)
        if not chunk:
            raise exceptions.ProtocolError("the watch stream ended")
        *lines, pending = (pending + chunk).split(b"\n")
        if len(pending) > MAX_LINE_BYTES:
            raise exceptions.ProtocolError("watch message too long")
        yield from (line for line in lines if line.strip())


def _parse_watch_message(line: bytes) -> tuple[ports.Change, ...]:
    """Return the changes in a watch message."""
    with _translate_format_errors():
        document = json.loads(line)
        if "error" in document:
            raise ports.StoreUnreachable(f"watch failed: {document['error']}")
        result = document["result"]
        if int(result.get("compact_revision", 0)):
            raise ports.StoreCompacted(f"compacted at {result['compact_revision']}")
        if result.get("canceled", False):
            raise ports.StoreUnreachable(f"watch canceled: {result.get('cancel_reason', '')}")
        return etcd_format.changes(result)
