"""Access to the store and to configuration files, shared by the configuration commands."""

import datetime
import pathlib

import attrs

from rosedyke.command import exit_codes, terminal
from rosedyke.configuration import diagnostic, file_parser, ports, storage
from rosedyke.daemon import eventlet_runtime
from rosedyke.gateways import etcd, settings


@attrs.frozen
class StoreAccess:
    """Store client with its key layout and runtime."""

    store: ports.Store
    keys: storage.Keys
    runtime: eventlet_runtime.GreenRuntime


def connect(endpoints: tuple[str, ...], prefix: str) -> StoreAccess:
    """Return a store client; no request is sent yet."""
    runtime = eventlet_runtime.GreenRuntime()
    store_settings = settings.StoreSettings(endpoints=endpoints, backoff_limit_s=1.0)
    return StoreAccess(etcd.EtcdStore(store_settings, runtime), storage.Keys(prefix), runtime)


def parse_files(paths: tuple[pathlib.Path, ...]) -> tuple[file_parser.ParsedFile, ...]:
    """Read and parse the files; an unreadable file is reported as a fault."""
    parsed = []
    for path in paths:
        try:
            parsed.append(file_parser.parse(str(path), path.read_bytes()))
        except OSError as error:
            text = error.strerror or str(error)
            fault = diagnostic.Diagnostic(str(path), 1, "", "unreadable", text)
            parsed.append(file_parser.ParsedFile(str(path), "", None, (), (fault,)))
    return tuple(parsed)


def utc_timestamp() -> str:
    """Return the current time in UTC, in ISO 8601 format with seconds."""
    now = datetime.datetime.now(datetime.UTC)
    return now.strftime("%Y-%m-%dT%H:%M:%SZ")


def report_unreachable(error: ports.StoreError, as_json: bool) -> int:
    """Print that the store is unreachable and return the exit code."""
    detail = f"{error.code}: {error}"
    if as_json:
        terminal.print_json({"outcome": "unreachable", "detail": detail})
    else:
        terminal.warn(f"unreachable: nothing was changed; {detail}")
    return exit_codes.UNREACHABLE
