"""The daemon's settings, checked as a whole: every fault is named at once."""

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

_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")
_METRIC_PREFIX = re.compile(r"[A-Za-z0-9._-]*")


class SettingsError(fault.RosedykeError):
    """The settings can't be used.

    Attributes
    ----------
    faults : tuple of str
        Every fault, each with the name of its setting.
    """

    code = "settings"

    def __init__(self, faults: tuple[str, ...]):
        super().__init__("; ".join(faults))
        self.faults = faults


@attrs.frozen
class InstanceSettings:
    """Everything that an instance is told at its start; ``argument.Arguments`` explains each."""

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


class Checker:
    """Reads settings from text and gathers what is wrong with them.

    Parameters
    ----------
    arguments : Arguments
        The text.
    environment : mapping of str to str
        For the shared key.
    """

    def __init__(self, arguments: argument.Arguments, environment: Mapping[str, str]):
        self.arguments = arguments
        self.environment = environment
        self.faults: list[str] = []

    def text(self, name: str) -> str:
        """Return the text of a setting."""
        return getattr(self.arguments, name)

    def parts(self, name: str) -> tuple[str, ...]:
        """Return the parts between commas."""
        return tuple(part.strip() for part in self.text(name).split(",") if part.strip())

    def fault(self, name: str, what: str) -> None:
        """Note a fault of a setting."""
        self.faults.append(f"--{name.replace('_', '-')}: {what}")

    def identifier(self, name: str) -> str:
        """Return a required name."""
        text = self.text(name)
        if not text:
            self.fault(name, "is required")
        elif not _NAME.fullmatch(text):
            self.fault(name, f"{text!r} is not 1 to 64 of A-Z a-z 0-9 . _ -")
        return text

    def identifiers(self, name: str) -> tuple[str, ...]:
        """Return required names in order."""
        parts = self.parts(name)
        if not parts:
            self.fault(name, "is required")
        for part in parts:
            if not _NAME.fullmatch(part):
                self.fault(name, f"{part!r} is not 1 to 64 of A-Z a-z 0-9 . _ -")
        if len(set(parts)) < len(parts):
            self.fault(name, "has a name twice")
        return tuple(sorted(parts))

    def address(self, name: str) -> str:
        """Return an ip:port."""
        text = self.text(name)
        reason = address_fault(text)
        if reason:
            self.fault(name, reason)
        return text

    def addresses(self, name: str) -> tuple[str, ...]:
        """Return several ip:port."""
        for part in self.parts(name):
            reason = address_fault(part)
            if reason:
                self.fault(name, reason)
        return self.parts(name)

    def urls(self, name: str) -> tuple[str, ...]:
        """Return one or more URLs."""
        if not self.parts(name):
            self.fault(name, "is required")
        for part in self.parts(name):
            if not is_url(part):
                self.fault(name, f"{part!r} is not a URL such as http://10.0.0.1:2379")
        return self.parts(name)

    def choice(self, name: str, allowed: tuple[str, ...]) -> str:
        """Return one of some words."""
        text = self.text(name).lower()
        if text not in allowed:
            self.fault(name, f"{text!r} is none of {', '.join(allowed)}")
            return allowed[0]
        return text

    def seconds(self, name: str, low: float, high: float) -> float:
        """Return seconds within bounds."""
        text = self.text(name)
        try:
            number = float(text)
        except ValueError:
            number = math.nan
        if not low <= number <= high:
            self.fault(name, f"{text!r} is not a number from {low:g} to {high:g}")
            return low
        return number

    def count(self, name: str, low: int, high: int) -> int:
        """Return a whole number within bounds."""
        text = self.text(name)
        try:
            number = int(text)
        except ValueError:
            number = low - 1
        if not low <= number <= high:
            self.fault(name, f"{text!r} is not a whole number from {low} to {high}")
            return low
        return number

    def peer_key(self) -> str:
        """Return the shared key from its file or the environment; never part of a fault's text."""
        key = self.environment.get(PEER_KEY_VARIABLE, "")
        path = self.text("peer_key_file")
        if path and key:
            self.fault("peer_key_file", f"{PEER_KEY_VARIABLE} is set too")
        if path:
            try:
                key = pathlib.Path(path).read_text().strip()
            except (OSError, UnicodeDecodeError) as error:
                self.fault("peer_key_file", f"can't be read: {error}")
                return ""
            if not key:
                self.fault("peer_key_file", "is empty")
        if key and len(key) < MIN_KEY_CHARACTERS:
            self.fault("peer_key_file", f"the key has fewer than {MIN_KEY_CHARACTERS} characters")
        return key


def address_fault(text: str) -> str | None:
    """Return what is wrong with an ip:port, None if nothing is."""
    host, separator, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return f"{text!r} is not an IP number and a port such as 10.0.0.1:8080"
    if not separator or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        return f"{text!r} has no port from 0 to {MAX_PORT}"
    return None


def is_url(text: str) -> bool:
    """Return whether a text is an HTTP URL with a host."""
    try:
        parts = urllib.parse.urlsplit(text)
        return parts.scheme in ("http", "https") and bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False


def _callers(checker: Checker) -> callers_settings.CallersSettings:
    return callers_settings.CallersSettings(
        address=checker.address("caller_address"),
        max_connections=checker.count("max_connections", 1, 100_000),
        max_header_bytes=checker.count("max_header_bytes", 1024, 1024 * 1024),
        max_body_bytes=checker.count("max_body_bytes", 1024, 64 * 1024 * 1024),
        max_bodies_bytes=checker.count("max_bodies_bytes", 1024, 1024 * 1024 * 1024),
        header_timeout_s=checker.seconds("header_timeout_s", 0.1, 600),
        body_timeout_s=checker.seconds("body_timeout_s", 0.1, 600),
        idle_timeout_s=checker.seconds("idle_timeout_s", 0.1, 3600),
        write_timeout_s=checker.seconds("write_timeout_s", 0.1, 600),
        default_timeout_s=checker.seconds("default_timeout_s", 0.001, 3600),
    )


def check(
    arguments: argument.Arguments, environment: Mapping[str, str] = os.environ
) -> InstanceSettings:
    """Return the settings that the arguments describe.

    Raises
    ------
    SettingsError
        Names every fault.
    """
    checker = Checker(arguments, environment)
    settings = InstanceSettings(
        name=checker.identifier("name"),
        region=checker.identifier("region"),
        data_centre=checker.identifier("data_centre"),
        data_centres=checker.identifiers("data_centres"),
        operator_address=checker.address("operator_address"),
        peer_address=checker.address("peer_address"),
        seeds=checker.addresses("seeds"),
        store=checker.urls("store"),
        store_prefix=checker.text("store_prefix"),
        statsd_address=checker.address("statsd_address") if arguments.statsd_address else "",
        statsd_prefix=checker.text("statsd_prefix"),
        peer_key=checker.peer_key(),
        log_level=checker.choice("log_level", LOG_LEVELS),
        log_format=log.Format(checker.choice("log_format", ("text", "json"))),
        shutdown_notice_s=checker.seconds("shutdown_notice_s", 0, 600),
        shutdown_timeout_s=checker.seconds("shutdown_timeout_s", 0.1, 3600),
        callers=_callers(checker),
    )
    _check_together(checker, settings)
    if checker.faults:
        raise SettingsError(tuple(checker.faults))
    return settings


def _check_together(checker: Checker, settings: InstanceSettings) -> None:
    """Check what only several settings together can break."""
    if settings.data_centres and settings.data_centre not in settings.data_centres:
        checker.fault("data_centre", "is not among --data-centres")
    if settings.callers.max_body_bytes > settings.callers.max_bodies_bytes:
        checker.fault("max_body_bytes", "is more than --max-bodies-bytes")
    if not settings.store_prefix.startswith("/") or not settings.store_prefix.endswith("/"):
        checker.fault("store_prefix", "must begin and end with /")
    if not _METRIC_PREFIX.fullmatch(settings.statsd_prefix):
        checker.fault("statsd_prefix", "is not made of A-Z a-z 0-9 . _ -")
    addresses = [settings.callers.address, settings.operator_address, settings.peer_address]
    fixed = [one for one in addresses if not one.endswith(":0")]
    if len(set(fixed)) < len(fixed):
        checker.fault("caller_address", "the three addresses must differ")
    # Anyone who reaches the peers' address could otherwise claim, cancel and read jobs.
    if not settings.peer_key and not _is_loopback(settings.peer_address):
        checker.fault("peer_key_file", "is required unless --peer-address is on loopback")


def _is_loopback(address: str) -> bool:
    if address_fault(address):
        return True
    return ipaddress.ip_address(address.rpartition(":")[0].strip("[]")).is_loopback
