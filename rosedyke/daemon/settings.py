"""Parses and validates the daemon's settings; all invalid settings are reported together."""

import ipaddress
import math
import os
import pathlib
import re
import urllib.parse
from collections.abc import Mapping

import attrs

from rosedyke import fault
from rosedyke.callers import settings as callers_settings
from rosedyke.daemon import argument
from rosedyke.observe import log

PEER_KEY_VARIABLE = "ROSEDYKE_PEER_KEY"
MIN_KEY_CHARACTERS = 16
MAX_PORT = 65535
LOG_LEVELS = ("debug", "info", "warning", "error", "critical")

_NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
_METRIC_PREFIX_PATTERN = re.compile(r"[A-Za-z0-9._-]*")


class SettingsError(fault.RosedykeError):
    """One or more settings are invalid.

    Attributes
    ----------
    faults : tuple of str
        Each begins with the flag of the setting.
    """

    code = "settings"

    def __init__(self, faults: tuple[str, ...]):
        super().__init__("; ".join(faults))
        self.faults = faults


@attrs.frozen
class InstanceSettings:
    """Validated settings of an instance; ``argument.Arguments`` describes each."""

    name: str
    region: str
    data_centre: str
    data_centres: tuple[str, ...]
    operator_address: str
    peer_address: str
    seeds: tuple[str, ...]
    store: tuple[str, ...]
    store_prefix: str
    statsd_address: str
    statsd_prefix: str
    peer_key: str = attrs.field(repr=False)
    log_level: str
    log_format: log.Format
    shutdown_notice_s: float
    shutdown_timeout_s: float
    callers: callers_settings.CallersSettings


class SettingsReader:
    """Parses settings from text and collects the faults found.

    Parameters
    ----------
    arguments : Arguments
        The unparsed settings.
    environment : mapping of str to str
        Environment variables, in which the shared key may be set.
    """

    def __init__(self, arguments: argument.Arguments, environment: Mapping[str, str]):
        self.arguments = arguments
        self.environment = environment
        self.faults: list[str] = []

    def text(self, name: str) -> str:
        """Return the unparsed value of a setting."""
        return getattr(self.arguments, name)

    def list_items(self, name: str) -> tuple[str, ...]:
        """Return the items of a comma-separated list."""
        return tuple(item.strip() for item in self.text(name).split(",") if item.strip())

    def add_fault(self, name: str, message: str) -> None:
        """Add a fault of a setting."""
        self.faults.append(f"--{name.replace('_', '-')}: {message}")

    def identifier(self, name: str) -> str:
        """Return a required name."""
        text = self.text(name)
        if not text:
            self.add_fault(name, "is required")
        elif not _NAME_PATTERN.fullmatch(text):
            self.add_fault(name, f"{text!r} must be 1 to 64 characters from A-Z a-z 0-9 . _ -")
        return text

    def identifiers(self, name: str) -> tuple[str, ...]:
        """Return a required list of names, sorted."""
        items = self.list_items(name)
        if not items:
            self.add_fault(name, "is required")
        for item in items:
            if not _NAME_PATTERN.fullmatch(item):
                self.add_fault(name, f"{item!r} must be 1 to 64 characters from A-Z a-z 0-9 . _ -")
        if len(set(items)) < len(items):
            self.add_fault(name, "lists a name twice")
        return tuple(sorted(items))

    def address(self, name: str) -> str:
        """Return an ip:port."""
        text = self.text(name)
        reason = address_fault(text)
        if reason:
            self.add_fault(name, reason)
        return text

    def addresses(self, name: str) -> tuple[str, ...]:
        """Return a list of ip:port, which may be empty."""
        for item in self.list_items(name):
            reason = address_fault(item)
            if reason:
                self.add_fault(name, reason)
        return self.list_items(name)

    def urls(self, name: str) -> tuple[str, ...]:
        """Return one or more URLs."""
        if not self.list_items(name):
            self.add_fault(name, "is required")
        for item in self.list_items(name):
            if not is_url(item):
                self.add_fault(name, f"{item!r} is not a URL such as http://10.0.0.1:2379")
        return self.list_items(name)

    def choice(self, name: str, allowed: tuple[str, ...]) -> str:
        """Return one of the allowed values."""
        text = self.text(name).lower()
        if text not in allowed:
            self.add_fault(name, f"{text!r} is not one of {', '.join(allowed)}")
            return allowed[0]
        return text

    def seconds(self, name: str, minimum: float, maximum: float) -> float:
        """Return a number of seconds within bounds."""
        text = self.text(name)
        try:
            number = float(text)
        except ValueError:
            number = math.nan
        if not minimum <= number <= maximum:
            self.add_fault(name, f"{text!r} is not a number from {minimum:g} to {maximum:g}")
            return minimum
        return number

    def integer(self, name: str, minimum: int, maximum: int) -> int:
        """Return an integer within bounds."""
        text = self.text(name)
        try:
            number = int(text)
        except ValueError:
            number = minimum - 1
        if not minimum <= number <= maximum:
            self.add_fault(name, f"{text!r} is not an integer from {minimum} to {maximum}")
            return minimum
        return number

    def peer_key(self) -> str:
        """Return the shared key from its file or the environment; no fault contains the key."""
        key = self.environment.get(PEER_KEY_VARIABLE, "")
        path = self.text("peer_key_file")
        if path and key:
            self.add_fault("peer_key_file", f"must not be combined with {PEER_KEY_VARIABLE}")
        if path:
            try:
                key = pathlib.Path(path).read_text().strip()
            except (OSError, UnicodeDecodeError) as error:
                self.add_fault("peer_key_file", f"can't be read: {error}")
                return ""
            if not key:
                self.add_fault("peer_key_file", "is empty")
        if key and len(key) < MIN_KEY_CHARACTERS:
            self.add_fault(
                "peer_key_file", f"the key has fewer than {MIN_KEY_CHARACTERS} characters"
            )
        return key


def address_fault(text: str) -> str | None:
    """Return why a text is not a valid ip:port, None if it is valid."""
    host, separator, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return f"{text!r} is not an IP address and port such as 10.0.0.1:8080"
    if not separator or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        return f"{text!r} has no port from 0 to {MAX_PORT}"
    return None


def is_url(text: str) -> bool:
    """Return whether a text is an HTTP URL with a host."""
    try:
        url = urllib.parse.urlsplit(text)
        return url.scheme in ("http", "https") and bool(url.hostname) and url.port != 0
    except ValueError:
        return False


def _parse_callers_settings(reader: SettingsReader) -> callers_settings.CallersSettings:
    return callers_settings.CallersSettings(
        address=reader.address("caller_address"),
        max_connections=reader.integer("max_connections", 1, 100_000),
        max_header_bytes=reader.integer("max_header_bytes", 1024, 1024 * 1024),
        max_body_bytes=reader.integer("max_body_bytes", 1024, 64 * 1024 * 1024),
        max_bodies_bytes=reader.integer("max_bodies_bytes", 1024, 1024 * 1024 * 1024),
        header_timeout_s=reader.seconds("header_timeout_s", 0.1, 600),
        body_timeout_s=reader.seconds("body_timeout_s", 0.1, 600),
        idle_timeout_s=reader.seconds("idle_timeout_s", 0.1, 3600),
        write_timeout_s=reader.seconds("write_timeout_s", 0.1, 600),
        default_timeout_s=reader.seconds("default_timeout_s", 0.001, 3600),
    )


def parse(
    arguments: argument.Arguments, environment: Mapping[str, str] = os.environ
) -> InstanceSettings:
    """Parse and validate the arguments.

    Raises
    ------
    SettingsError
        One or more settings are invalid; lists every fault.
    """
    reader = SettingsReader(arguments, environment)
    settings = InstanceSettings(
        name=reader.identifier("name"),
        region=reader.identifier("region"),
        data_centre=reader.identifier("data_centre"),
        data_centres=reader.identifiers("data_centres"),
        operator_address=reader.address("operator_address"),
        peer_address=reader.address("peer_address"),
        seeds=reader.addresses("seeds"),
        store=reader.urls("store"),
        store_prefix=reader.text("store_prefix"),
        statsd_address=reader.address("statsd_address") if arguments.statsd_address else "",
        statsd_prefix=reader.text("statsd_prefix"),
        peer_key=reader.peer_key(),
        log_level=reader.choice("log_level", LOG_LEVELS),
        log_format=log.Format(reader.choice("log_format", ("text", "json"))),
        shutdown_notice_s=reader.seconds("shutdown_notice_s", 0, 600),
        shutdown_timeout_s=reader.seconds("shutdown_timeout_s", 0.1, 3600),
        callers=_parse_callers_settings(reader),
    )
    _check_combinations(reader, settings)
    if reader.faults:
        raise SettingsError(tuple(reader.faults))
    return settings


def _check_combinations(reader: SettingsReader, settings: InstanceSettings) -> None:
    """Check constraints between settings."""
    if settings.data_centres and settings.data_centre not in settings.data_centres:
        reader.add_fault("data_centre", "is not among --data-centres")
    if settings.callers.max_body_bytes > settings.callers.max_bodies_bytes:
        reader.add_fault("max_body_bytes", "is more than --max-bodies-bytes")
    if not settings.store_prefix.startswith("/") or not settings.store_prefix.endswith("/"):
        reader.add_fault("store_prefix", "must begin and end with /")
    if not _METRIC_PREFIX_PATTERN.fullmatch(settings.statsd_prefix):
        reader.add_fault("statsd_prefix", "may contain only A-Z a-z 0-9 . _ -")
    addresses = [settings.callers.address, settings.operator_address, settings.peer_address]
    fixed_addresses = [
        listen_address for listen_address in addresses if not listen_address.endswith(":0")
    ]
    if len(set(fixed_addresses)) < len(fixed_addresses):
        reader.add_fault("caller_address", "the three addresses must differ")
    # Without a key, anyone with access to the peer address could claim, cancel and read jobs.
    if not settings.peer_key and not _is_loopback(settings.peer_address):
        reader.add_fault("peer_key_file", "is required unless --peer-address is on loopback")


def _is_loopback(address: str) -> bool:
    if address_fault(address):
        return True
    return ipaddress.ip_address(address.rpartition(":")[0].strip("[]")).is_loopback
