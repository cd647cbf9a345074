"""HTTP/1.1 connections to external systems, with one request at a time on each.

Connection pools such as urllib3's decide when to connect, and their errors don't always tell
whether bytes were sent.  Responses are parsed by httptools, because the standard library's parser,
which urllib3 uses as well, takes more processor time than the rest of a request.
"""

import functools
import socket
from collections.abc import Sequence

import attrs
import eventlet
import eventlet.green.socket
import eventlet.hubs
import eventlet.hubs.hub
import greenlet
import httptools

from rosedyke.overload import own_delay

KEEPALIVE_PROBE_COUNT = 3
FIRST_FINAL_STATUS = 200
RECEIVE_BUFFER_BYTES = 64 * 1024
# Requests whose heads are kept; an owner sends three kinds to each of its servers.
KEPT_HEADS = 1024


class Expired(Exception):
    """The timeout of a connect or a request expired."""


class BadExchange(Exception):
    """The request is not valid HTTP, or the response is invalid or incomplete."""


class BadAddress(Exception):
    """The address of a server is not ``host:port``."""


TRANSPORT_ERRORS = (OSError, BadExchange, BadAddress)


@attrs.define(eq=False)
class Connection:
    """An open connection.

    Attributes
    ----------
    sock : GreenSocket or None
        None once it is closed.
    address : str
        ``ip:port`` of the server.
    last_used_at : float
        When it last received a response, or was opened.
    delay : OwnDelay or None
        Account of the instance's link, to which the bytes are added.
    parser : ResponseParser or None
        Parser of its responses, None before the first one.
    listener : FdListener or None
        Its registration with the event loop, from the first response until it is closed.
    reader : greenlet or None
        The green thread that waits for data.
    """

    sock: eventlet.green.socket.socket | None
    address: str
    last_used_at: float
    delay: own_delay.OwnDelay | None = None
    parser: "ResponseParser | None" = None
    listener: eventlet.hubs.hub.FdListener | None = None
    reader: greenlet.greenlet | None = None

    def is_dropped(self) -> bool:
        """Return whether the server has closed the connection or sent unsolicited data."""
        if self.sock is None:
            return True
        raw_socket = self.sock.fd  # the socket that the green socket wraps
        try:
            raw_socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def send(self, data: bytes) -> None:
        """Send all of the data."""
        if self.delay is not None:
            self.delay.record_sent(len(data))
        # A request normally fits into the buffer, so the loop of the green socket is not needed.
        try:
            sent_bytes = self.sock.fd.send(data)
        except BlockingIOError:
            sent_bytes = 0
        if sent_bytes < len(data):
            self._remove_listener()  # nothing waits for a response that arrives meanwhile
            self.sock.sendall(data[sent_bytes:])

    def receive(self) -> bytes:
        """Block until data arrives and return it, empty at the end of the stream."""
        raw_socket = self.sock.fd
        while True:
            # The response is not there yet right after a request, so waiting first saves a system
            # call.
            self._wait_for_data(raw_socket.fileno())
            try:
                data = raw_socket.recv(RECEIVE_BUFFER_BYTES)
            except BlockingIOError:
                continue
            if self.delay is not None:
                self.delay.record_received(len(data))
            return data

    def _wait_for_data(self, fileno):
        # Registered once for all responses: eventlet's own wait adds and removes the socket, which
        # takes two system calls each time.
        hub = eventlet.hubs.get_hub()
        if self.listener is None:
            self.listener = hub.add(hub.READ, fileno, self._on_data, _ignore, _ignore)
        self.reader = greenlet.getcurrent()
        try:
            hub.switch()
        finally:
            self.reader = None

    def _on_data(self, fileno):
        """Wake the reader, or close an idle connection, which can only have ended."""
        if self.reader is not None:
            self.reader.switch()
        else:
            self.close()

    def _remove_listener(self):
        if self.listener is not None:
            eventlet.hubs.get_hub().remove(self.listener)
            self.listener = None

    def close(self) -> None:
        """Close the connection; later calls have no effect."""
        self._remove_listener()
        if self.sock is not None:
            self.sock.close()
            self.sock = None


def _ignore(*arguments):
    """Do nothing: a connection is unregistered before it is closed."""


@attrs.frozen
class Response:
    """A complete HTTP response.

    Attributes
    ----------
    headers : sequence of (bytes, bytes)
        Names and values as they were received; most responses are used without them.
    """

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes

    def header(self, name: str) -> str:
        """Return a header's last value, empty if it is absent."""
        wanted = name.lower().encode("latin-1")
        for received_name, value in reversed(self.headers):
            if received_name.lower() == wanted:
                return value.decode("latin-1")
        return ""

    def has_flag(self, name: str) -> bool:
        """Return whether a boolean header is true."""
        return self.header(name).lower() == "true"


class ResponseParser:
    """Parses the responses on one connection; implements the callbacks of httptools.

    ``begin`` is called after each response.

    Attributes
    ----------
    is_complete : bool
        The response is complete.
    can_reuse : bool
        The connection can be reused: the server allows it and sent no data after the response.
    """

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.parser = httptools.HttpResponseParser(self)
        self.begin()

    def begin(self) -> None:
        """Prepare for the next response."""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body_chunks: list[bytes] = []
        self.status = self.body_length = 0
        self.has_headers = self.is_complete = self.can_reuse = False

    def feed(self, data: bytes) -> None:
        """Parse received data; raises ``BadExchange`` if it is not a valid response."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise BadExchange(f"not an HTTP answer: {error}") from error
        if self.body_length > self.max_bytes:
            raise BadExchange("answer larger than allowed")

    def feed_eof(self) -> None:
        """Handle the end of the stream, which ends a response without a length."""
        names = {name.lower() for name, _ in self.headers}
        has_length = {b"content-length", b"transfer-encoding"} & names
        if not self.has_headers or has_length:
            raise BadExchange("answer was cut off")
        self.status = self.parser.get_status_code()
        self.is_complete = True

    def on_message_begin(self) -> None:
        """Detect data after the response."""
        if self.is_complete:
            self.can_reuse = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        if self.is_complete:
            return
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Record that all headers were received."""
        self.has_headers = True

    def on_body(self, data: bytes) -> None:
        """Store a chunk of the body."""
        if self.is_complete:
            return
        self.body_length += len(data)
        self.body_chunks.append(data)

    def on_message_complete(self) -> None:
        """Complete the response, or discard an interim response (1xx)."""
        if self.is_complete:
            return
        self.status = self.parser.get_status_code()
        if self.status >= FIRST_FINAL_STATUS:
            self.is_complete = True
            self.can_reuse = self.parser.should_keep_alive()
        else:
            self.headers = []
            self.has_headers = False


def connect(
    address: str,
    dead_peer_timeout_s: float,
    now: float,
    delay: own_delay.OwnDelay | None = None,
) -> Connection:
    """Open a connection; raises one of ``TRANSPORT_ERRORS``."""
    try:
        host, port = address.rsplit(":", 1)
        sock = eventlet.green.socket.create_connection((host, int(port)))
    except (ValueError, OverflowError) as error:
        raise BadAddress(f"{address!r}: expected host:port: {error}") from error
    for option in socket_options(dead_peer_timeout_s):
        sock.setsockopt(*option)
    return Connection(sock, address, now, delay)


def send_request(
    connection: Connection,
    method: str,
    path: str,
    body: bytes | None,
    headers: dict[str, str],
    max_bytes: int,
) -> Response:
    """Send a request and return the response; raises one of ``TRANSPORT_ERRORS``."""
    # Headers and body are sent together to save a system call and a packet.
    connection.send(_encode_request(connection, method, path, body, headers))
    response_parser = connection.parser
    if response_parser is None:
        response_parser = connection.parser = ResponseParser(max_bytes)
    while not response_parser.is_complete:
        data = connection.receive()
        if data:
            response_parser.feed(data)
        else:
            response_parser.feed_eof()
    if not response_parser.can_reuse:
        connection.close()
    response = Response(
        response_parser.status, response_parser.headers, b"".join(response_parser.body_chunks)
    )
    # Now and not before the next request, so that an idle connection does not keep the body.
    response_parser.begin()
    return response


def _encode_request(connection, method, path, body, headers) -> bytes:
    body = body or b""
    before, after = _request_head(connection.address, method, path, tuple(headers.items()))
    return b"%b%d%b%b" % (before, len(body), after, body)


@functools.lru_cache(maxsize=KEPT_HEADS)
def _request_head(address, method, path, headers) -> tuple[bytes, bytes]:
    """Return the parts of a request's head before and after the length of the body."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {address}",
        "Accept-Encoding: identity",
        "Content-Length: ",
    ]
    more_lines = [f"{name}: {value}" for name, value in headers]
    if any("\r" in line or "\n" in line for line in lines + more_lines):
        # Prevents header injection through external values such as names of servers.
        raise BadExchange("a line break in a request's head")
    after = "\r\n".join(["", *more_lines, "\r\n"])
    return "\r\n".join(lines).encode("latin-1"), after.encode("latin-1")


def socket_options(dead_peer_timeout_s: float) -> list[tuple[int, int, int]]:
    """Return socket options that detect a dead peer within the timeout."""
    interval_s = max(1, int(dead_peer_timeout_s / (KEEPALIVE_PROBE_COUNT + 1)))
    return [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, interval_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(dead_peer_timeout_s * 1000)),
    ]


def describe(error: BaseException) -> str:
    """Return an error's type and message."""
    return f"{type(error).__name__} {error}".strip()
