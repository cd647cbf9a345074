"""What the commands that talk to the store share: the client, and files."""

import datetime
import pathlib

import attrs

from rosedyke.command import exit_codes, terminal
from rosedyke.configuration import diagnostic, file_parser, ports, storage
from rosedyke.daemon import green
from rosedyke.gateways import etcd, settings


@attrs.frozen
class Access:
    """The store as one command uses it."""

    store: ports.Store
    keys: storage.Keys
    runtime: green.GreenRuntime


def connect(endpoints: tuple[str, ...], prefix: str) -> Access:
    """Return the store's client for one command; nothing is sent yet."""
    runtime = green.GreenRuntime()
    own = settings.StoreSettings(endpoints=endpoints, backoff_limit_s=1.0)
    return Access(etcd.EtcdStore(own, runtime), storage.Keys(prefix), runtime)


def parse_files(paths: tuple[pathlib.Path, ...]) -> tuple[file_parser.ParsedFile, ...]:
    """Read and parse the files; one that can't be read becomes a fault."""
    parsed = []
    for path in paths:
        try:
            parsed.append(file_parser.parse(str(path), path.read_bytes()))
        except OSError as error:
            text = error.strerror or str(error)
            fault = diagnostic.Diagnostic(str(path), 1, "", "unreadable", text)
            parsed.append(file_parser.ParsedFile(str(path), "", None, (), (fault,)))
    return tuple(parsed)


def now_text() -> str:
    """Return the present time in UTC."""
    now = datetime.datetime.now(datetime.UTC)
    return now.strftime("%Y-%m-%dT%H:%M:%SZ")


def fail(error: ports.StoreError, as_json: bool) -> int:
    """Tell that the store could not be read and return the exit code."""
    detail = f"{error.code}: {error}"
    if as_json:
        terminal.print_json({"outcome": "unreachable", "detail": detail})
    else:
        terminal.warn(f"unreachable: nothing was changed; {detail}")
    return exit_codes.UNREACHABLE
