"""Messages between entry instances over ZeroMQ on eventlet.

A ROUTER socket receives what peers ask; a DEALER socket for each peer carries the own requests
and brings their replies back.  Whatever doesn't match (late, repeated, truncated, foreign, for an
earlier incarnation) is counted and dropped here, so that no handler ever sees it.
"""

import contextlib
import itertools
import time
from typing import Any

import attrs
from eventlet.green import zmq

from rosedyke import fault
from rosedyke import runtime as runtime_module
from rosedyke.observe import event, metric
from rosedyke.wire import (
    codec,
    envelope,
    events,
    link,
    metrics,
    monitor,
    peer,
    rare,
    secret,
    settings,
    window,
)

MILLISECONDS = 1000
HOUSEKEEPING_PERIOD_S = 1.0
ANSWER_KINDS = frozenset(
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
    """Without a shared key anybody who reaches the address could act as a peer."""

    code = "transport_key_missing"


class AddressInUse(TransportError):
    """The address can't be bound, or isn't one that peers can connect to."""

    code = "transport_address"


@attrs.define
class Traffic:
    """Messages and bytes since the start, without the overhead of TCP."""

    messages_sent: int = 0
    messages_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0


@attrs.frozen
class Pending:
    """A request that waits for its reply."""

    target: peer.Peer
    arrived: runtime_module.Signal


def new_incarnation_after(previous: int) -> int:
    """Return a number that grows with each life of an instance, also over restarts."""
    return max(int(time.time() * MILLISECONDS), previous + 1)


class Transport:
    """Implements ``peer.Peers`` on ZeroMQ.

    Parameters
    ----------
    options : TransportSettings
        Address, key and bounds.
    runtime : runtime.Runtime
        Tasks and time.
    """

    def __init__(self, options: settings.TransportSettings, runtime: runtime_module.Runtime):
        self.options = options
        self.runtime = runtime
        self.version = options.protocol_version or codec.PROTOCOL_VERSION
        self.own = peer.Peer(
            options.name, new_incarnation_after(0), options.data_centre, options.address
        )
        self.keys = secret.derive(options.key) if options.key else None
        self.handlers: dict[type, peer.Handler] = {}
        # Messages whose handlers don't block.
        self.prompt: set[type] = set()
        self.links: dict[str, link.Link] = {}
        self.pending: dict[int, Pending] = {}
        self.numbers = itertools.count(1)
        self.window = window.Window()
        self.rare = rare.RareLog()
        self.traffic = Traffic()
        self.reported = Traffic()
        self.running_handlers = 0
        self.handler_ended: runtime_module.Signal | None = None
        self.is_stopped = False
        self.context: zmq.Context | None = None
        self.router: zmq.Socket | None = None
        self.monitor: monitor.HandshakeMonitor | None = None
        self.tasks: list[runtime_module.Task] = []

    def start(self) -> None:
        """Bind the address and begin to receive.

        Raises
        ------
        TransportError
            The key is missing off loopback, or the address can't be bound.
        """
        if self.options.is_unspecified:
            raise AddressInUse(f"{self.options.address}: peers need a definite address")
        self._check_key()
        self.context = zmq.Context()
        self.router = self.context.socket(zmq.ROUTER)
        link.set_bounds(self.router, self.options)
        self.router.setsockopt(zmq.ROUTER_MANDATORY, 1)
        secret.protect_server(self.router, self.keys)
        if self.keys is not None:
            self.monitor = monitor.HandshakeMonitor(self.router, self.runtime, self.rare)
        try:
            self.router.bind(f"tcp://{self.options.address}")
        except zmq.ZMQError as error:
            self.stop()
            raise AddressInUse(f"{self.options.address}: {error}") from error
        bound = self.router.getsockopt(zmq.LAST_ENDPOINT).decode().removeprefix("tcp://")
        self.own = attrs.evolve(self.own, address=bound.rstrip("\0"))
        self.tasks.append(self.runtime.spawn(self._read))
        self.tasks.append(self.runtime.spawn(self._keep_house))
        event.log(events.TRANSPORT_STARTED, name=self.own.name, address=self.own.address)

    def stop(self) -> None:
        """Close every connection; waiting requests end with ``PeerTimeout``."""
        if self.is_stopped:
            return
        self.is_stopped = True
        for task in self.tasks:
            task.cancel()
        for address in list(self.links):
            self._close_link(address)
        if self.monitor is not None:
            self.monitor.close()
        if self.router is not None:
            self.router.close(0)
        if self.context is not None:
            self.context.term()
            self.context = None

    def new_incarnation(self, after: int = 0) -> peer.Peer:
        """Begin a new life: messages to the present one are refused from now on."""
        incarnation = new_incarnation_after(max(self.own.incarnation, after))
        self.own = attrs.evolve(self.own, incarnation=incarnation)
        return self.own

    def forget(self, target: peer.Peer) -> None:
        """Close the connection to a peer that is gone."""
        self._close_link(target.address)

    def handle(self, message_type: type, handler: peer.Handler, may_block: bool = True) -> None:
        """Call ``handler(sender, message)`` for each such message."""
        self.handlers[message_type] = handler
        if not may_block:
            self.prompt.add(message_type)

    def send(self, target: peer.Peer, message: Any) -> None:
        """Queue a message that needs no reply."""
        if target == self.own:
            self.runtime.spawn(self.handlers[type(message)], self.own, message)
            return
        self._post(target, envelope.Kind.ONE_WAY, next(self.numbers), message)

    def request(self, target: peer.Peer, message: Any, timeout_s: float) -> Any:
        """Send a message and block for its reply."""
        if target == self.own:
            return self.handlers[type(message)](self.own, message)
        number = next(self.numbers)
        pending = Pending(target, self.runtime.signal())
        used = self._post(target, envelope.Kind.REQUEST, number, message)
        used.expect_reply()
        self.pending[number] = pending
        try:
            if not pending.arrived.wait(timeout_s):
                self._replace_if_silent(used)
                raise peer.PeerTimeout(f"{target.name or target.address}: {type(message).__name__}")
        finally:
            del self.pending[number]
        if isinstance(pending.arrived.value, peer.PeerError):
            raise pending.arrived.value
        return pending.arrived.value

    def _check_key(self):
        if self.keys is not None:
            return
        if not self.options.is_loopback and not self.options.is_network_trusted:
            raise KeyMissing(f"{self.options.address} is not on loopback and no key is set")
        event.log(events.TRANSPORT_UNPROTECTED, address=self.options.address)

    def _post(self, target, kind, number, message) -> link.Link:
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
        used = self._link(target.address)
        used.send(frame)
        self._count_sent(frame)
        return used

    def _link(self, address) -> link.Link:
        found = self.links.get(address)
        if found is None:
            found = link.Link(
                self.context, self.options, self.keys, self.runtime, address, self._on_answer
            )
            self.links[address] = found
        return found

    def _close_link(self, address):
        closed = self.links.pop(address, None)
        if closed is not None:
            closed.close()

    def _replace_if_silent(self, used):
        # A connection may stay open for good while nothing passes, with new ones working.  Only
        # the missing replies show it, so the next message gets a new connection.
        if used.is_silent() and self.links.get(used.address) is used:
            metric.count(metrics.LINKS_REPLACED)
            self.rare.log(events.LINK_REPLACED, address=used.address)
            self._close_link(used.address)

    def _keep_house(self):
        while True:
            self.runtime.sleep(HOUSEKEEPING_PERIOD_S)
            for address, each in list(self.links.items()):
                if each.is_idle(self.options.idle_s):
                    self._close_link(address)
            self._report_traffic()

    def _report_traffic(self):
        # Counting each message in statsd would cost a datagram for each.
        now, before = self.traffic, self.reported
        metric.count(metrics.MESSAGES_SENT, now.messages_sent - before.messages_sent)
        metric.count(metrics.MESSAGES_RECEIVED, now.messages_received - before.messages_received)
        metric.count(metrics.BYTES_SENT, now.bytes_sent - before.bytes_sent)
        metric.count(metrics.BYTES_RECEIVED, now.bytes_received - before.bytes_received)
        metric.gauge(metrics.LINKS, len(self.links))
        self.reported = attrs.evolve(now)

    def _count_sent(self, frame):
        self.traffic.messages_sent += 1
        self.traffic.bytes_sent += len(frame)

    def _count_received(self, frame):
        self.traffic.messages_received += 1
        self.traffic.bytes_received += len(frame)

    def _read(self):
        while True:
            try:
                parts = self.router.recv_multipart()
            except zmq.ZMQError:
                if self.is_stopped:
                    return
                raise
            try:
                self._on_frame(parts)
            except codec.CodecError:
                metric.count(metrics.DROPPED_MALFORMED)
            self._wait_for_handlers()

    def _wait_for_handlers(self):
        # More handlers than this would use memory without bound; unread messages stay in the
        # peers' queues, whose bounds tell the senders.
        while self.running_handlers >= self.options.max_handlers:
            self.handler_ended = self.runtime.signal()
            self.handler_ended.wait()

    def _on_frame(self, parts):
        if len(parts) != 2:
            raise codec.CodecError("not a frame of ours")
        route, frame = parts
        self._count_received(frame)
        if len(frame) > self.options.max_message_bytes:
            metric.count(metrics.DROPPED_OVERSIZED)
            return
        prefix = envelope.decode_prefix(frame)
        if prefix.version != self.version:
            self._refuse_version(route, prefix)
            return
        header, body = envelope.decode_rest(frame, prefix)
        if prefix.kind not in (envelope.Kind.ONE_WAY, envelope.Kind.REQUEST):
            raise codec.CodecError("a reply without a request")
        incoming = Incoming(route, prefix, header, self.own)
        if not self.window.accept(header.source_name, header.source_incarnation, prefix.number):
            metric.count(metrics.DROPPED_REPEATED)
            self._tell_if_outdated(incoming)
            return
        self._dispatch(incoming, body)

    def _tell_if_outdated(self, incoming):
        # A restarted instance whose clock is behind would otherwise be ignored by everyone
        # without ever learning why.
        newest = self.window.newest(incoming.header.source_name)
        if newest > incoming.header.source_incarnation:
            self._answer(incoming, envelope.Kind.OUTDATED, "", str(newest).encode())

    def _refuse_version(self, route, prefix):
        metric.count(metrics.REFUSED_VERSIONS)
        self.rare.log(events.VERSION_REFUSED, version=prefix.version, own=self.version)
        if prefix.kind == envelope.Kind.REQUEST:
            self._send_back(route, envelope.encode_other_version(self.version, prefix.number))

    def _dispatch(self, incoming, body):
        if not incoming.is_for(self.own):
            metric.count(metrics.DROPPED_MISDIRECTED)
            self._answer(incoming, envelope.Kind.GONE, "", b"")
            return
        try:
            message = codec.decode(incoming.header.message_name, body)
            handler = self.handlers[type(message)]
        except (codec.UnknownMessage, KeyError):
            self._answer(incoming, envelope.Kind.REFUSED, "", b"unknown message")
            return
        except codec.CodecError:
            metric.count(metrics.DROPPED_MALFORMED)
            self._answer(incoming, envelope.Kind.REFUSED, "", b"malformed message")
            return
        self.running_handlers += 1
        if type(message) in self.prompt:
            self._run_prompt_handler(handler, incoming, message)
        else:
            self.runtime.spawn(self._run_handler, handler, incoming, message)

    def _run_prompt_handler(self, handler, incoming, message):
        # An error in one message, which is logged there, must not end the task that reads all.
        with contextlib.suppress(Exception):
            self._run_handler(handler, incoming, message)

    def _run_handler(self, handler, incoming, message):
        try:
            reply = handler(incoming.sender, message)
        except Exception as error:
            name = incoming.header.message_name
            event.log(events.HANDLER_FAILED, exc_info=True, message=name, error=error)
            self._answer(incoming, envelope.Kind.FAILED, "", str(error).encode())
            raise
        finally:
            self.running_handlers -= 1
            if self.handler_ended is not None:
                self.handler_ended.set()
        if reply is None:
            return
        self._answer(incoming, envelope.Kind.REPLY, codec.name_of(reply), codec.encode(reply))

    def _answer(self, incoming, kind, message_name, body):
        if incoming.prefix.kind != envelope.Kind.REQUEST:
            return
        own, header = self.own, incoming.header
        back = envelope.Header(
            own.name,
            own.incarnation,
            "",
            "",
            header.source_name,
            header.source_incarnation,
            message_name,
        )
        frame = envelope.encode(self.version, kind, incoming.prefix.number, back, body)
        if len(frame) > self.options.max_message_bytes:
            too_long = f"the reply has {len(frame)} bytes".encode()
            frame = envelope.encode(
                self.version, envelope.Kind.FAILED, incoming.prefix.number, back, too_long
            )
        self._send_back(incoming.route, frame)

    def _send_back(self, route, frame):
        if self.is_stopped:
            return
        try:
            self.router.send_multipart([route, frame], zmq.NOBLOCK)
        except zmq.ZMQError:
            # As in ``Link.send``: the failed send has consumed the wake-up of the reader.
            self.router.getsockopt(zmq.EVENTS)
            metric.count(metrics.UNDELIVERED_REPLIES)
            return
        self._count_sent(frame)

    def _on_answer(self, used, parts):
        self._count_received(parts[0])
        try:
            if len(parts) != 1:
                raise codec.CodecError("not a frame of ours")
            self._match(used, parts[0])
        except codec.CodecError:
            metric.count(metrics.DROPPED_MALFORMED)

    def _match(self, used, frame):
        prefix = envelope.decode_prefix(frame)
        pending = self.pending.get(prefix.number)
        if pending is None or pending.target.address != used.address:
            metric.count(metrics.DROPPED_REPLIES)
            return
        if prefix.kind == envelope.Kind.OTHER_VERSION:
            pending.arrived.set(peer.PeerRefused(f"speaks version {prefix.version}"))
            return
        header, body = envelope.decode_rest(frame, prefix)
        if prefix.kind not in ANSWER_KINDS or not self._is_from_target(header, prefix, pending):
            metric.count(metrics.DROPPED_REPLIES)
            return
        pending.arrived.set(self._outcome(prefix, header, body))

    def _is_from_target(self, header, prefix, pending):
        own, target = self.own, pending.target
        if (header.target_name, header.target_incarnation) != (own.name, own.incarnation):
            return False
        if prefix.kind == envelope.Kind.GONE or peer.is_anyone(target):
            return True
        return (header.source_name, header.source_incarnation) == (target.name, target.incarnation)

    def _outcome(self, prefix, header, body):
        if prefix.kind == envelope.Kind.REPLY:
            return codec.decode(header.message_name, body)
        detail = f"{header.source_name}: {body.decode(errors='replace')}"
        if prefix.kind == envelope.Kind.GONE:
            return peer.PeerGone(detail)
        if prefix.kind == envelope.Kind.OUTDATED:
            return peer.PeerOutdated(detail, int(body))
        if prefix.kind == envelope.Kind.REFUSED:
            return peer.PeerRefused(detail)
        return peer.PeerError(detail)


@attrs.frozen
class Incoming:
    """A request or one-way message on its way to a handler.

    Attributes
    ----------
    route : bytes
        The ROUTER's name of the connection, for the reply.
    addressed : Peer
        The own incarnation at the moment of arrival.
    """

    route: bytes
    prefix: envelope.Prefix
    header: envelope.Header
    addressed: peer.Peer

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
        """Return whether the message is for this incarnation or for anyone at the address."""
        header = self.header
        if not header.target_name:
            return True
        return (header.target_name, header.target_incarnation) == (own.name, own.incarnation)
