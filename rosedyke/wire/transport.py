"""Messages between entry instances over ZeroMQ on eventlet.

A ROUTER socket receives the messages of peers; a DEALER socket for each peer carries outgoing
requests and their replies.  Messages that are late, repeated, malformed or for an earlier
incarnation are counted and dropped here, before any handler sees them.
"""

import contextlib
import itertools
import time
from collections.abc import Callable
from typing import Any

import attrs
from eventlet.green import zmq

from rosedyke import fault
from rosedyke import runtime as runtime_module
from rosedyke.observe import event, metric
from rosedyke.overload import own_delay
from rosedyke.wire import (
    codec,
    curve_keys,
    envelope,
    events,
    green_socket,
    handshake_monitor,
    metrics,
    peer,
    peer_connection,
    rate_limited_log,
    replay_window,
    settings,
)

MS_PER_S = 1000
HOUSEKEEPING_PERIOD_S = 1.0
RESPONSE_KINDS = frozenset(
    {
        envelope.Kind.REPLY,
        envelope.Kind.GONE,
        envelope.Kind.REFUSED,
        envelope.Kind.FAILED,
        envelope.Kind.OUTDATED,
    }
)


class TransportError(fault.RosedykeError):
    """The transport can't be started."""

    code = "transport_error"


class KeyMissing(TransportError):
    """No shared key is set, so any client that can reach the address could act as a peer."""

    code = "transport_key_missing"


class AddressUnusable(TransportError):
    """The address can't be bound, or peers can't connect to it."""

    code = "transport_address"


@attrs.define
class Traffic:
    """Messages and bytes since the start, excluding TCP overhead."""

    messages_sent: int = 0
    messages_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0


@attrs.frozen
class PendingRequest:
    """A request that awaits its response.

    Attributes
    ----------
    on_response : callable
        Called with the reply message, or with the ``PeerError`` to raise.
    """

    target: peer.Peer
    on_response: Callable[[Any], None]


def new_incarnation_after(previous: int) -> int:
    """Return an incarnation number that increases at each start and re-join of an instance."""
    return max(int(time.time() * MS_PER_S), previous + 1)


class Transport:
    """Implements ``peer.Peers`` on ZeroMQ.

    Parameters
    ----------
    options : TransportSettings
        Address, key and limits.
    runtime : runtime.Runtime
        Tasks and time.
    delay : OwnDelay or None
        Account of the instance's link; None if it is unlimited.
    """

    def __init__(
        self,
        options: settings.TransportSettings,
        runtime: runtime_module.Runtime,
        delay: own_delay.OwnDelay | None = None,
    ):
        self.options = options
        self.runtime = runtime
        self.delay = delay or own_delay.OwnDelay(runtime)
        self.version = options.protocol_version or codec.PROTOCOL_VERSION
        self.own = peer.Peer(
            options.name, new_incarnation_after(0), options.data_centre, options.address
        )
        self.keys = curve_keys.derive(options.key) if options.key else None
        self.handlers: dict[type, peer.Handler] = {}
        # Message types whose handlers run in the receiving task.
        self.nonblocking_messages: set[type] = set()
        self.connections: dict[str, peer_connection.PeerConnection] = {}
        self.pending: dict[int, PendingRequest] = {}
        self.message_numbers = itertools.count(1)
        self.replay_window = replay_window.ReplayWindow()
        self.rate_limited_log = rate_limited_log.RateLimitedLog()
        self.traffic = Traffic()
        self.reported_traffic = Traffic()
        self.running_handlers = 0
        self.handler_ended: runtime_module.Signal | None = None
        self.is_stopped = False
        self.context: zmq.Context | None = None
        self.router: green_socket.GreenSocket | None = None
        self.monitor: handshake_monitor.HandshakeMonitor | None = None
        self.tasks: list[runtime_module.Task] = []

    def start(self) -> None:
        """Bind the address and start receiving.

        Raises
        ------
        TransportError
            No key is set for an address off loopback, or the address can't be bound.
        """
        if self.options.is_unspecified and not self.options.advertised_address:
            raise AddressUnusable(
                f"{self.options.address}: peers can't connect to an unspecified address"
            )
        self._check_key()
        self.context = zmq.Context()
        self.router = green_socket.GreenSocket(self.context, zmq.ROUTER)
        peer_connection.set_socket_options(self.router, self.options)
        self.router.setsockopt(zmq.ROUTER_MANDATORY, 1)
        curve_keys.protect_server(self.router, self.keys)
        if self.keys is not None:
            self.monitor = handshake_monitor.HandshakeMonitor(
                self.router, self.runtime, self.rate_limited_log
            )
        try:
            self.router.bind(f"tcp://{self.options.address}")
        except zmq.ZMQError as error:
            self.stop()
            raise AddressUnusable(f"{self.options.address}: {error}") from error
        bound = self.router.getsockopt(zmq.LAST_ENDPOINT).decode().removeprefix("tcp://")
        address = self.options.advertised_address or bound.rstrip("\0")
        self.own = attrs.evolve(self.own, address=address)
        self.tasks.append(self.runtime.spawn(self._read))
        self.tasks.append(self.runtime.spawn_service(self._run_housekeeping))
        event.log(events.TRANSPORT_STARTED, name=self.own.name, address=self.own.address)

    def stop(self) -> None:
        """Close every connection; pending requests end with ``PeerTimeout``."""
        if self.is_stopped:
            return
        self.is_stopped = True
        for task in self.tasks:
            task.cancel()
        for address in list(self.connections):
            self._close_connection(address)
        if self.monitor is not None:
            self.monitor.close()
        if self.router is not None:
            self.router.close(0)
        if self.context is not None:
            self.context.term()
            self.context = None

    def new_incarnation(self, after: int = 0) -> peer.Peer:
        """Start a new incarnation; messages to the previous one are refused from now on."""
        incarnation = new_incarnation_after(max(self.own.incarnation, after))
        self.own = attrs.evolve(self.own, incarnation=incarnation)
        return self.own

    def disconnect(self, target: peer.Peer) -> None:
        """Close the connection to a peer that is gone."""
        self._close_connection(target.address)

    def handle(self, message_type: type, handler: peer.Handler, may_block: bool = True) -> None:
        """Call ``handler(sender, message)`` for each message of the type."""
        self.handlers[message_type] = handler
        if not may_block:
            self.nonblocking_messages.add(message_type)

    def send(self, target: peer.Peer, message: Any) -> None:
        """Queue a message that needs no reply."""
        if target == self.own:
            self.runtime.spawn(self.handlers[type(message)], self.own, message)
            return
        self._send_message(target, envelope.Kind.ONE_WAY, next(self.message_numbers), message)

    def request(self, target: peer.Peer, message: Any, timeout_s: float) -> Any:
        """Send a message and block for its reply."""
        if target == self.own:
            return self.handlers[type(message)](self.own, message)
        response = self.runtime.signal()
        end = self.start_request(target, message, response.set)
        try:
            if not response.wait(timeout_s):
                raise peer.PeerTimeout(f"{target.name or target.address}: {type(message).__name__}")
        finally:
            end()
        if isinstance(response.value, peer.PeerError):
            raise response.value
        return response.value

    def start_request(
        self, target: peer.Peer, message: Any, on_reply: Callable[[Any], None]
    ) -> Callable[[], None]:
        """Send a message and return a function that ends the wait for its reply."""
        number = next(self.message_numbers)
        connection = self._send_message(target, envelope.Kind.REQUEST, number, message)
        connection.note_request_sent()
        self.pending[number] = PendingRequest(target, on_reply)

        def end():
            if self.pending.pop(number, None) is not None:
                self._replace_if_unresponsive(connection)

        return end

    def _check_key(self):
        if self.keys is not None:
            return
        if not self.options.is_loopback and not self.options.is_network_trusted:
            raise KeyMissing(f"{self.options.address} is not on loopback and no key is set")
        event.log(events.TRANSPORT_UNPROTECTED, address=self.options.address)

    def _send_message(self, target, kind, number, message) -> peer_connection.PeerConnection:
        if self.is_stopped:
            raise peer.PeerTimeout("the transport is stopped")
        own = self.own
        header = envelope.Header(
            own.name,
            own.incarnation,
            own.data_centre,
            own.address,
            target.name,
            target.incarnation,
            codec.name_of(message),
        )
        frame = envelope.encode(self.version, kind, number, header, codec.encode(message))
        if len(frame) > self.options.max_message_bytes:
            raise peer.PeerRefused(f"{header.message_name} has {len(frame)} bytes")
        connection = self._connection_to(target.address)
        connection.send(frame)
        self._count_sent(frame)
        return connection

    def _connection_to(self, address) -> peer_connection.PeerConnection:
        connection = self.connections.get(address)
        if connection is None:
            try:
                connection = peer_connection.PeerConnection(
                    self.context, self.options, self.keys, self.runtime, address, self._on_response
                )
            except (zmq.ZMQError, ValueError) as error:
                # Told by a peer, or by another writer of the list of instances.
                raise peer.PeerAddressInvalid(f"{address!r}: {error}") from error
            self.connections[address] = connection
        return connection

    def _close_connection(self, address):
        connection = self.connections.pop(address, None)
        if connection is not None:
            connection.close()

    def _replace_if_unresponsive(self, connection):
        # A half-open connection delivers nothing although new connections work.  Only missing
        # replies reveal it, so the next message uses a new connection.
        added_s = self.delay.allowance_s(self.runtime.now())
        is_current = self.connections.get(connection.address) is connection
        if is_current and connection.is_unresponsive(added_s):
            metric.count(metrics.LINKS_REPLACED)
            self.rate_limited_log.log(events.LINK_REPLACED, address=connection.address)
            self._close_connection(connection.address)

    def _run_housekeeping(self):
        while True:
            self.runtime.sleep(HOUSEKEEPING_PERIOD_S)
            for address, connection in list(self.connections.items()):
                if connection.is_idle(self.options.idle_s):
                    self._close_connection(address)
            self._report_traffic()

    def _report_traffic(self):
        # Counting each message on its own would send one statsd datagram per message.
        now, before = self.traffic, self.reported_traffic
        metric.count(metrics.MESSAGES_SENT, now.messages_sent - before.messages_sent)
        metric.count(metrics.MESSAGES_RECEIVED, now.messages_received - before.messages_received)
        metric.count(metrics.BYTES_SENT, now.bytes_sent - before.bytes_sent)
        metric.count(metrics.BYTES_RECEIVED, now.bytes_received - before.bytes_received)
        metric.gauge(metrics.LINKS, len(self.connections))
        self.reported_traffic = attrs.evolve(now)

    def _count_sent(self, frame):
        self.traffic.messages_sent += 1
        self.traffic.bytes_sent += len(frame)
        self.delay.record_sent(len(frame))

    def _count_received(self, frame):
        self.traffic.messages_received += 1
        self.traffic.bytes_received += len(frame)
        self.delay.record_received(len(frame))

    def _read(self):
        while True:
            try:
                parts = green_socket.receive(self.router)
            except zmq.ZMQError as error:
                if error.errno == zmq.EINTR:
                    continue
                if not self.is_stopped:
                    # Without the socket, this instance would be deaf to its peers for good.
                    self.runtime.end_process(f"socket for peers: {error}")
                return
            self._guard(self._on_frame, parts)
            self._wait_for_handlers()

    def _guard(self, action, *arguments):
        """Handle a received frame; no frame may end the task that reads them."""
        try:
            action(*arguments)
        except codec.CodecError:
            metric.count(metrics.DROPPED_MALFORMED)
        except Exception as error:
            metric.count(metrics.DROPPED_MALFORMED)
            self.rate_limited_log.log(events.FRAME_FAILED, exc_info=True, error=repr(error))

    def _wait_for_handlers(self):
        # Backpressure: unread messages stay in the bounded queues of the senders, which get an
        # error when these are full.
        while self.running_handlers >= self.options.max_handlers:
            self.handler_ended = self.runtime.signal()
            self.handler_ended.wait()

    def _on_frame(self, parts):
        if len(parts) != 2:
            raise codec.CodecError(f"expected 2 message parts, got {len(parts)}")
        route, frame = parts
        self._count_received(frame)
        if len(frame) > self.options.max_message_bytes:
            metric.count(metrics.DROPPED_OVERSIZED)
            return
        prefix = envelope.decode_prefix(frame)
        if prefix.version != self.version:
            self._refuse_version(route, prefix)
            return
        header, body = envelope.decode_header_and_body(frame, prefix)
        if prefix.kind not in (envelope.Kind.ONE_WAY, envelope.Kind.REQUEST):
            raise codec.CodecError("received a reply on the request socket")
        incoming = IncomingMessage(route, prefix, header, self.own)
        if not self.replay_window.accept(
            header.source_name, header.source_incarnation, prefix.number
        ):
            metric.count(metrics.DROPPED_REPEATED)
            self._notify_if_outdated(incoming)
            return
        self._dispatch(incoming, body)

    def _notify_if_outdated(self, incoming):
        # A restarted instance whose clock is behind has an incarnation that is too low.  The
        # response gives it the newest one, so that it can take a higher one.
        newest = self.replay_window.newest_incarnation(incoming.header.source_name)
        if newest > incoming.header.source_incarnation:
            self._send_response(incoming, envelope.Kind.OUTDATED, "", str(newest).encode())

    def _refuse_version(self, route, prefix):
        metric.count(metrics.REFUSED_VERSIONS)
        self.rate_limited_log.log(events.VERSION_REFUSED, version=prefix.version, own=self.version)
        if prefix.kind == envelope.Kind.REQUEST:
            self._send_to_route(route, envelope.encode_other_version(self.version, prefix.number))

    def _dispatch(self, incoming, body):
        if not incoming.is_for(self.own):
            metric.count(metrics.DROPPED_MISDIRECTED)
            self._send_response(incoming, envelope.Kind.GONE, "", b"")
            return
        try:
            message = codec.decode(incoming.header.message_name, body)
            handler = self.handlers[type(message)]
        except (codec.UnknownMessage, KeyError):
            self._send_response(incoming, envelope.Kind.REFUSED, "", b"unknown message")
            return
        except codec.CodecError:
            metric.count(metrics.DROPPED_MALFORMED)
            self._send_response(incoming, envelope.Kind.REFUSED, "", b"malformed message")
            return
        self.running_handlers += 1
        if type(message) in self.nonblocking_messages:
            self._run_nonblocking_handler(handler, incoming, message)
        else:
            self.runtime.spawn(self._run_handler, handler, incoming, message)

    def _run_nonblocking_handler(self, handler, incoming, message):
        # ``_run_handler`` has logged the error, which must not end the receiving task.
        with contextlib.suppress(Exception):
            self._run_handler(handler, incoming, message)

    def _run_handler(self, handler, incoming, message):
        try:
            reply = handler(incoming.sender, message)
        except Exception as error:
            name = incoming.header.message_name
            event.log(events.HANDLER_FAILED, exc_info=True, message=name, error=error)
            self._send_response(incoming, envelope.Kind.FAILED, "", str(error).encode())
            raise
        finally:
            self.running_handlers -= 1
            if self.handler_ended is not None:
                self.handler_ended.set()
        if reply is None:
            return
        self._send_response(
            incoming, envelope.Kind.REPLY, codec.name_of(reply), codec.encode(reply)
        )

    def _send_response(self, incoming, kind, message_name, body):
        if incoming.prefix.kind != envelope.Kind.REQUEST:
            return
        own, header = self.own, incoming.header
        response_header = envelope.Header(
            own.name,
            own.incarnation,
            "",
            "",
            header.source_name,
            header.source_incarnation,
            message_name,
        )
        frame = envelope.encode(self.version, kind, incoming.prefix.number, response_header, body)
        if len(frame) > self.options.max_message_bytes:
            error_text = f"the reply has {len(frame)} bytes".encode()
            frame = envelope.encode(
                self.version,
                envelope.Kind.FAILED,
                incoming.prefix.number,
                response_header,
                error_text,
            )
        self._send_to_route(incoming.route, frame)

    def _send_to_route(self, route, frame):
        if self.is_stopped:
            return
        try:
            green_socket.send(self.router, route, frame)
        except zmq.ZMQError:
            metric.count(metrics.UNDELIVERED_REPLIES)
            return
        self._count_sent(frame)

    def _on_response(self, connection, parts):
        self._count_received(parts[0])
        self._guard(self._complete_request, connection, parts)

    def _complete_request(self, connection, parts):
        if len(parts) != 1:
            raise codec.CodecError(f"expected 1 message part, got {len(parts)}")
        frame = parts[0]
        prefix = envelope.decode_prefix(frame)
        pending = self.pending.get(prefix.number)
        if pending is None or pending.target.address != connection.address:
            metric.count(metrics.DROPPED_REPLIES)
            return
        if prefix.kind == envelope.Kind.OTHER_VERSION:
            self._respond(prefix.number, peer.PeerRefused(f"speaks version {prefix.version}"))
            return
        header, body = envelope.decode_header_and_body(frame, prefix)
        if prefix.kind not in RESPONSE_KINDS or not self._is_from_target(header, prefix, pending):
            metric.count(metrics.DROPPED_REPLIES)
            return
        self._respond(prefix.number, self._response_result(prefix, header, body))

    def _respond(self, number, response):
        self.pending.pop(number).on_response(response)

    def _is_from_target(self, header, prefix, pending):
        own, target = self.own, pending.target
        if (header.target_name, header.target_incarnation) != (own.name, own.incarnation):
            return False
        if prefix.kind == envelope.Kind.GONE or peer.is_address_only(target):
            return True
        return (header.source_name, header.source_incarnation) == (target.name, target.incarnation)

    def _response_result(self, prefix, header, body):
        if prefix.kind == envelope.Kind.REPLY:
            return codec.decode(header.message_name, body)
        detail = f"{header.source_name}: {body.decode(errors='replace')}"
        if prefix.kind == envelope.Kind.GONE:
            return peer.PeerGone(detail)
        if prefix.kind == envelope.Kind.OUTDATED:
            return peer.PeerOutdated(detail, _incarnation(body))
        if prefix.kind == envelope.Kind.REFUSED:
            return peer.PeerRefused(detail)
        return peer.PeerError(detail)


def _incarnation(body: bytes) -> int:
    try:
        return int(body)
    except ValueError as error:
        raise codec.CodecError(f"incarnation {body[:40]!r}: expected an integer") from error


@attrs.frozen
class IncomingMessage:
    """A received request or one-way message.

    Attributes
    ----------
    route : bytes
        The ROUTER's identity of the connection, to which the response goes.
    addressee : Peer
        This instance's incarnation when the message arrived.
    """

    route: bytes
    prefix: envelope.Prefix
    header: envelope.Header
    addressee: peer.Peer

    @property
    def sender(self) -> peer.Peer:
        """The peer that sent it."""
        header = self.header
        return peer.Peer(
            header.source_name,
            header.source_incarnation,
            header.source_data_centre,
            header.source_address,
        )

    def is_for(self, own: peer.Peer) -> bool:
        """Return whether the message addresses this incarnation or the address alone."""
        header = self.header
        if not header.target_name:
            return True
        return (header.target_name, header.target_incarnation) == (own.name, own.incarnation)
