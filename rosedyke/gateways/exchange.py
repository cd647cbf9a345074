"""One HTTP connection to an outside system: made, used for one exchange at a time, checked.

A pool of connections would decide on its own when to open one, and its errors don't always tell
whether bytes had left.  Answers are read by httptools: the standard library parses their headers as
those of an e-mail, which takes more processor time than all else in an exchange, and urllib3 reads
them by it and makes each start slower.
"""

import socket

import attrs
import eventlet
import eventlet.green.socket
import eventlet.hubs
import httptools

KEEPALIVE_PROBES = 3
FIRST_FINAL_STATUS = 200
RECEIVE_BYTES = 64 * 1024


class Expired(Exception):
    """The time for one step with a server is over."""


class BadExchange(Exception):
    """The request can't be sent as HTTP, or what came back is no whole answer."""


TRANSPORT_ERRORS = (OSError, BadExchange)


@attrs.define(eq=False)
class Connection:
    """An open connection.

    Attributes
    ----------
    sock : GreenSocket or None
        None once it is closed.
    address : str
        ``ip:port`` of the server.
    used_at : float
        When it last carried an answer.
    """

    sock: eventlet.green.socket.socket | None
    address: str
    used_at: float

    def is_dropped(self) -> bool:
        """Return whether the server has closed it or sent bytes that nobody asked for."""
        if self.sock is None:
            return True
        raw = self.sock.fd  # the socket below the green one
        try:
            raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def send(self, data: bytes) -> None:
        """Send all of some bytes."""
        self.sock.sendall(data)

    def receive(self) -> bytes:
        """Block for bytes and return them, none at the connection's end."""
        raw = self.sock.fd
        while True:
            # Nothing is here yet when a request has just left, so it waits before it reads: a read
            # in vain is one more system call for each exchange.
            eventlet.hubs.trampoline(raw.fileno(), read=True)
            try:
                return raw.recv(RECEIVE_BYTES)
            except BlockingIOError:
                continue

    def close(self) -> None:
        """Close it; a second call does nothing."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None


@attrs.frozen
class Reply:
    """A whole HTTP answer.

    Attributes
    ----------
    headers : dict of str to str
        By name in lower case.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def header(self, name: str) -> str:
        """Return a header's value, empty if it isn't there."""
        return self.headers.get(name.lower(), "")

    def says(self, name: str) -> bool:
        """Return whether a yes-or-no header is set."""
        return self.header(name).lower() == "true"


class AnswerReader:
    """What httptools calls while it parses one answer.

    Attributes
    ----------
    is_whole : bool
        The answer has ended.
    keeps_alive : bool
        The connection can be used again: the server says so, and nothing that nobody asked for
        came after the answer.
    """

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[str, str] = {}
        self.parts: list[bytes] = []
        self.status = self.length = 0
        self.has_headers = self.is_whole = self.keeps_alive = False

    def feed(self, data: bytes) -> None:
        """Take bytes in; raises ``BadExchange`` for what is no answer."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise BadExchange(f"not an HTTP answer: {error}") from error
        if self.length > self.max_bytes:
            raise BadExchange("answer larger than allowed")

    def end(self) -> None:
        """Take note of the connection's end, which ends an answer that doesn't say its length."""
        has_length = {"content-length", "transfer-encoding"} & self.headers.keys()
        if not self.has_headers or has_length:
            raise BadExchange("answer was cut off")
        self.status = self.parser.get_status_code()
        self.is_whole = True

    def on_message_begin(self) -> None:
        """Note that something comes after the answer, or the answer itself."""
        if self.is_whole:
            self.keeps_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        if self.is_whole:
            return
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Note that the body comes next."""
        self.has_headers = True

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body."""
        if self.is_whole:
            return
        self.length += len(data)
        self.parts.append(data)

    def on_message_complete(self) -> None:
        """Note the end; an answer that only announces another one (1xx) is none."""
        if self.is_whole:
            return
        self.status = self.parser.get_status_code()
        if self.status >= FIRST_FINAL_STATUS:
            self.is_whole = True
            self.keeps_alive = self.parser.should_keep_alive()
        else:
            self.headers.clear()
            self.has_headers = False


def connect(address: str, silent_limit_s: float, now: float) -> Connection:
    """Return a new connection; raises one of ``TRANSPORT_ERRORS``."""
    host, port = address.rsplit(":", 1)
    sock = eventlet.green.socket.create_connection((host, int(port)))
    for option in socket_options(silent_limit_s):
        sock.setsockopt(*option)
    return Connection(sock, address, now)


def ask(
    connection: Connection,
    method: str,
    path: str,
    body: bytes | None,
    headers: dict[str, str],
    max_bytes: int,
) -> Reply:
    """Send a request and return its whole answer; raises one of ``TRANSPORT_ERRORS``."""
    # Head and body at once; apart they are two system calls and two packets.
    connection.send(_request(connection, method, path, body, headers))
    reader = AnswerReader(max_bytes)
    while not reader.is_whole:
        data = connection.receive()
        if data:
            reader.feed(data)
        else:
            reader.end()
    if not reader.keeps_alive:
        connection.close()
    return Reply(reader.status, reader.headers, b"".join(reader.parts))


def _request(connection, method, path, body, headers) -> bytes:
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {connection.address}",
        "Accept-Encoding: identity",
        f"Content-Length: {len(body or b'')}",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    if any("\r" in line or "\n" in line for line in lines):
        # Names from outside, such as a server's, would otherwise add headers of their own.
        raise BadExchange("a line break in a request's head")
    return "\r\n".join([*lines, "\r\n"]).encode("latin-1") + (body or b"")


def socket_options(silent_limit_s: float) -> list[tuple[int, int, int]]:
    """Return options that break a silent connection in bounded time."""
    interval_s = max(1, int(silent_limit_s / (KEEPALIVE_PROBES + 1)))
    return [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, interval_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(silent_limit_s * 1000)),
    ]


def describe(error: BaseException) -> str:
    """Return an error's name and text in one line."""
    return f"{type(error).__name__} {error}".strip()
