import contextlib
import unittest
from unittest import mock

import attrs
from eventlet.green import zmq

from rosedyke.daemon import eventlet_runtime
from rosedyke.observe import metric
from rosedyke.overload import own_delay
from rosedyke.wire import codec, curve_keys, envelope, metrics, peer, settings, transport

LONG_S = 30.0  # reached only when a test fails
SHORT_S = 0.05


@codec.message("transport_test.question")
@attrs.frozen
class Question:
    text: str


@codec.message("transport_test.unhandled")
@attrs.frozen
class Unhandled:
    pass


def start(test, name, **options):
    """Start a transport on an ephemeral port and stop it after the test."""
    options = {"address": "127.0.0.1:0", "key": "secret", **options}
    started = transport.Transport(
        settings.TransportSettings(name, "dc1", **options), eventlet_runtime.GreenRuntime()
    )
    started.start()
    test.addCleanup(started.stop)
    return started


def echo(sender, question):
    return Question(f"{sender.name}: {question.text}")


class CounterIncrease:
    """Increase of a counter metric since the construction of this object."""

    def __init__(self, counter):
        self.name = counter.name
        self.initial = metric.counts[self.name]

    def wait_for(self, amount):
        runtime = eventlet_runtime.GreenRuntime()
        deadline = runtime.now() + LONG_S
        while metric.counts[self.name] - self.initial < amount:
            if runtime.now() > deadline:
                raise AssertionError(f"{self.name}: {metric.counts[self.name] - self.initial}")
            runtime.sleep(0.005)


class RawClient:
    """A DEALER socket that sends arbitrary bytes to a transport, with or without the key."""

    def __init__(self, test, target, key="secret"):
        self.context = zmq.Context()
        self.socket = self.context.socket(zmq.DEALER)
        self.socket.setsockopt(zmq.LINGER, 0)
        if key:
            curve_keys.protect_client(self.socket, curve_keys.derive(key))
        self.socket.connect(f"tcp://{target.own.address}")
        test.addCleanup(self.close)

    def close(self):
        self.socket.close(0)
        self.context.term()

    def send(self, *parts):
        self.socket.send_multipart(parts)

    def frame(self, target, number, kind=envelope.Kind.REQUEST, incarnation=1, version=None):
        header = envelope.Header(
            "raw-client",
            incarnation,
            "dc1",
            "127.0.0.1:1",
            target.own.name,
            target.own.incarnation,
            "transport_test.question",
        )
        body = codec.encode(Question("hello"))
        return envelope.encode(version or codec.PROTOCOL_VERSION, kind, number, header, body)


class RoundTrip(unittest.TestCase):
    def test_request_gets_its_reply_with_and_without_key(self):
        for key in ("", "secret"):
            with self.subTest(key=key):
                a, b = start(self, "a", key=key), start(self, "b", key=key)
                b.handle(Question, echo)
                self.assertEqual(a.request(b.own, Question("hi"), LONG_S), Question("a: hi"))

    def test_link_account_contains_the_frames_of_both_directions(self):
        # Guards against messages between instances that fill the link unnoticed.
        a, b = start(self, "a"), start(self, "b")
        a.delay = own_delay.OwnDelay(a.runtime, 1.0)
        b.handle(Question, echo)
        a.request(b.own, Question("x" * 500), LONG_S)
        now = a.runtime.now()
        self.assertGreater(
            min(a.delay.outgoing.backlog_s(now), a.delay.incoming.backlog_s(now)), 500
        )

    def test_many_requests_at_once_each_get_their_own_reply(self):
        a, b = start(self, "a"), start(self, "b")

        def slow_echo(sender, question):
            b.runtime.sleep(0.02 * b.runtime.random())
            return question

        b.handle(Question, slow_echo)
        runtime = eventlet_runtime.GreenRuntime()
        replies = {}

        def ask(number):
            replies[number] = a.request(b.own, Question(str(number)), LONG_S).text

        tasks = [runtime.spawn(ask, number) for number in range(300)]
        for task in tasks:
            task.wait(LONG_S)
        self.assertEqual(replies, {number: str(number) for number in range(300)})

    def test_request_to_an_address_reaches_the_instance_there(self):
        a, b = start(self, "a"), start(self, "b")
        b.handle(Question, echo)
        target = peer.at_address(b.own.address)
        self.assertEqual(a.request(target, Question("hi"), LONG_S), Question("a: hi"))

    def test_request_to_itself_calls_the_handler(self):
        a = start(self, "a")
        a.handle(Question, echo)
        self.assertEqual(a.request(a.own, Question("hi"), LONG_S), Question("a: hi"))
        self.assertEqual(a.traffic.messages_sent, 0)

    def test_one_way_message_arrives_and_its_reply_is_not_sent(self):
        a, b = start(self, "a"), start(self, "b")
        arrived = b.runtime.signal()

        def handler(sender, question):
            arrived.set(question)
            return question

        b.handle(Question, handler)
        a.send(b.own, Question("hi"))
        self.assertTrue(arrived.wait(LONG_S))
        self.assertEqual(b.traffic.messages_sent, 0)


class Start(unittest.TestCase):
    def test_address_without_key_off_loopback_is_refused(self):
        options = settings.TransportSettings("a", "dc1", "192.0.2.1:0")
        with self.assertRaises(transport.KeyMissing):
            transport.Transport(options, eventlet_runtime.GreenRuntime()).start()

    def test_missing_key_on_loopback_is_logged(self):
        with self.assertLogs("rosedyke", "WARNING") as logs:
            start(self, "a", key="")
        self.assertIn("transport_unprotected", logs.output[0])

    def test_address_in_use_is_an_error(self):
        a = start(self, "a")
        options = settings.TransportSettings("b", "dc1", a.own.address, "secret")
        with self.assertRaises(transport.AddressUnusable):
            transport.Transport(options, eventlet_runtime.GreenRuntime()).start()

    def test_unspecified_address_is_refused(self):
        options = settings.TransportSettings("a", "dc1", "0.0.0.0:0", "secret")
        with self.assertRaises(transport.AddressUnusable):
            transport.Transport(options, eventlet_runtime.GreenRuntime()).start()

    def test_peers_are_told_the_advertised_address(self):
        # Guards against answers and requests to an address behind a translation.
        target = start(self, "b", advertised_address="127.0.0.1:9")
        target.handle(Question, lambda sender, question: Question(sender.address))
        client = start(self, "a", advertised_address="127.0.0.1:8")
        self.assertEqual(target.own.address, "127.0.0.1:9")
        bound = target.router.getsockopt(zmq.LAST_ENDPOINT).decode().removeprefix("tcp://")
        answer = client.request(peer.at_address(bound.rstrip("\0")), Question("x"), LONG_S)
        self.assertEqual(answer.text, "127.0.0.1:8")
        start(self, "c", address="0.0.0.0:0", advertised_address="127.0.0.1:9")

    def test_repr_does_not_contain_the_key(self):
        options = settings.TransportSettings("a", "dc1", "127.0.0.1:0", "very secret")
        self.assertNotIn("very secret", repr(options))


class FullQueue(unittest.TestCase):
    def test_sender_gets_an_error_when_its_queue_is_full(self):
        # Nothing listens at the address.  A message beyond the queue bound must raise an error
        # instead of being lost silently or queued without limit.
        a = start(self, "a", queue_bound=10)
        unreachable = peer.Peer("b", 1, "dc1", "127.0.0.1:1")
        with self.assertRaises(peer.PeerQueueFull):
            for number in range(11):
                a.send(unreachable, Question(str(number)))

    def test_replies_still_arrive_after_a_full_queue(self):
        a, b = start(self, "a", queue_bound=20), start(self, "b", queue_bound=20)
        b.handle(Question, echo)
        a.request(b.own, Question("first"), LONG_S)
        with contextlib.suppress(peer.PeerQueueFull):
            while True:
                a.send(b.own, Question("x" * 100_000))
        reply = None
        while reply is None:
            with contextlib.suppress(peer.PeerQueueFull):
                reply = a.request(b.own, Question("last"), LONG_S)
            a.runtime.sleep(0.005)
        self.assertEqual(reply, Question("a: last"))

    def test_reading_pauses_while_all_handlers_are_busy(self):
        # At the limit of running handlers the instance must stop reading, and resume without
        # losing messages once handlers end.
        a, b = start(self, "a"), start(self, "b", max_handlers=5)
        release = b.runtime.signal()
        running = []

        def handler(sender, question):
            running.append(question)
            release.wait()
            return question

        b.handle(Question, handler)
        tasks = [
            a.runtime.spawn(a.request, b.own, Question(str(number)), LONG_S) for number in range(20)
        ]
        while len(running) < 5:
            a.runtime.sleep(0.005)
        a.runtime.sleep(0.05)
        self.assertEqual(b.running_handlers, 5)
        release.set()
        for task in tasks:
            self.assertTrue(task.wait(LONG_S))
        self.assertEqual(len(running), 20)

    def test_message_over_the_size_limit_is_refused_at_the_sender(self):
        a, b = start(self, "a", max_message_bytes=1000), start(self, "b")
        with self.assertRaises(peer.PeerRefused):
            a.request(b.own, Question("x" * 1000), LONG_S)

    def test_message_over_the_receivers_size_limit_is_counted_and_dropped(self):
        a, b = start(self, "a"), start(self, "b", max_message_bytes=1000)
        oversized = CounterIncrease(metrics.DROPPED_OVERSIZED)
        with self.assertRaises(peer.PeerTimeout):
            a.request(b.own, Question("x" * 1000), SHORT_S)
        oversized.wait_for(1)


class Authentication(unittest.TestCase):
    def test_peer_with_another_key_is_counted_and_refused(self):
        a, b = start(self, "a", key="other"), start(self, "b")
        b.handle(Question, echo)
        refused = CounterIncrease(metrics.REFUSED_STRANGERS)
        with self.assertRaises(peer.PeerTimeout):
            a.request(b.own, Question("hi"), SHORT_S)
        refused.wait_for(3)  # ZeroMQ reconnects and retries the handshake
        self.assertEqual(b.traffic.messages_received, 0)

    def test_refused_handshakes_are_logged_once_a_minute_at_most(self):
        with self.assertLogs("rosedyke", "WARNING") as logs:
            b = start(self, "b")
            refused = CounterIncrease(metrics.REFUSED_STRANGERS)
            raw_client = RawClient(self, b, key="other")
            raw_client.send(b"x")
            refused.wait_for(3)
        self.assertEqual(len([line for line in logs.output if "stranger_refused" in line]), 1)

    def test_peer_without_key_is_counted_and_refused(self):
        b = start(self, "b")
        refused = CounterIncrease(metrics.REFUSED_STRANGERS)
        raw_client = RawClient(self, b, key="")
        raw_client.send(raw_client.frame(b, 1))
        refused.wait_for(1)
        self.assertEqual(b.traffic.messages_received, 0)


class InvalidFrames(unittest.TestCase):
    def setUp(self):
        self.b = start(self, "b")
        self.calls = []
        self.called = self.b.runtime.signal()
        self.b.handle(Question, self.on_question)
        self.raw_client = RawClient(self, self.b)

    def on_question(self, sender, question):
        self.calls.append(question)
        self.called.set()

    def test_truncated_frames_are_counted_and_dropped(self):
        frame_length = len(self.raw_client.frame(self.b, 1))
        malformed = CounterIncrease(metrics.DROPPED_MALFORMED)
        for length in range(frame_length):
            self.raw_client.send(self.raw_client.frame(self.b, 1 + length)[:length])
        malformed.wait_for(frame_length)
        self.assertEqual(self.calls, [])

    def test_malformed_frames_are_counted_and_dropped(self):
        malformed = CounterIncrease(metrics.DROPPED_MALFORMED)
        versions = CounterIncrease(metrics.REFUSED_VERSIONS)
        self.raw_client.send(b"GET / HTTP/1.1")
        self.raw_client.send(b"two", b"parts")
        self.raw_client.send(b"\xff" * 200)
        self.raw_client.send(self.raw_client.frame(self.b, 2, kind=envelope.Kind.REPLY))
        malformed.wait_for(2)
        versions.wait_for(2)
        self.assertEqual(self.calls, [])

    def test_frame_with_an_unexpected_effect_is_counted_and_dropped(self):
        # Guards against an instance that is deaf to all peers after one frame.
        malformed = CounterIncrease(metrics.DROPPED_MALFORMED)
        with (
            self.assertLogs("rosedyke", "ERROR") as logs,
            mock.patch.object(self.b, "_dispatch", side_effect=ZeroDivisionError),
        ):
            self.raw_client.send(self.raw_client.frame(self.b, 1))
            malformed.wait_for(1)
        self.assertIn("frame_failed", logs.output[0])
        self.raw_client.send(self.raw_client.frame(self.b, 2, kind=envelope.Kind.ONE_WAY))
        self.assertTrue(self.called.wait(LONG_S))

    def test_address_that_is_none(self):
        # Guards against an error that senders don't expect, which would end their loops.
        for address in ("nowhere", "", "10.0.0.1:x", "a\0b:1", "\u0663:1"):
            with self.subTest(address=address), self.assertRaises(peer.PeerNotSent):
                self.b.send(peer.at_address(address), Question("hi"))

    def test_replayed_frame_is_handled_once(self):
        frame = self.raw_client.frame(self.b, 1, kind=envelope.Kind.ONE_WAY)
        repeated = CounterIncrease(metrics.DROPPED_REPEATED)
        for _ in range(3):
            self.raw_client.send(frame)
        repeated.wait_for(2)
        # The handler runs in a task of its own, which may begin after the other frames were read.
        self.assertTrue(self.called.wait(LONG_S))
        self.assertEqual(len(self.calls), 1)

    def test_message_of_an_earlier_incarnation_of_its_sender_is_refused(self):
        repeated = CounterIncrease(metrics.DROPPED_REPEATED)
        self.raw_client.send(
            self.raw_client.frame(self.b, 1, kind=envelope.Kind.ONE_WAY, incarnation=5)
        )
        self.raw_client.send(self.raw_client.frame(self.b, 2, incarnation=4))
        repeated.wait_for(1)
        prefix = envelope.decode_prefix(self.raw_client.socket.recv_multipart()[0])
        self.assertEqual((prefix.kind, prefix.number), (envelope.Kind.OUTDATED, 2))
        # The first message's handler runs in a task of its own.
        self.assertTrue(self.called.wait(LONG_S))
        self.assertEqual(len(self.calls), 1)


class Versions(unittest.TestCase):
    def test_peer_of_another_protocol_version_refuses_the_request(self):
        a, b = start(self, "a"), start(self, "b", protocol_version=2)
        b.handle(Question, echo)
        with self.assertRaisesRegex(peer.PeerRefused, "version 2"):
            a.request(b.own, Question("hi"), LONG_S)

    def test_unknown_message_is_refused_instead_of_timing_out(self):
        a, b = start(self, "a"), start(self, "b")
        with self.assertRaises(peer.PeerRefused):
            a.request(b.own, Unhandled(), LONG_S)


class Incarnations(unittest.TestCase):
    def test_message_for_an_earlier_incarnation_is_not_handled(self):
        a, b = start(self, "a"), start(self, "b")
        calls = []
        b.handle(Question, lambda sender, question: calls.append(question))
        old_incarnation = b.own
        b.new_incarnation()
        with self.assertRaises(peer.PeerGone):
            a.request(old_incarnation, Question("hi"), LONG_S)
        self.assertEqual(calls, [])

    def test_new_incarnation_is_above_the_old_one_and_the_given_one(self):
        a = start(self, "a")
        first = a.own.incarnation
        self.assertGreater(a.new_incarnation().incarnation, first)
        known_incarnation = first + 10**9
        self.assertEqual(
            a.new_incarnation(after=known_incarnation).incarnation, known_incarnation + 1
        )

    def test_request_to_a_restarted_peers_old_incarnation_is_refused(self):
        # A new process takes over the address of a peer.  Requests to the old incarnation must
        # fail with PeerGone, those to the new one succeed.
        a, b = start(self, "a"), start(self, "b")
        b.handle(Question, echo)
        a.request(b.own, Question("hi"), LONG_S)
        old_incarnation = b.own
        b.stop()
        restarted = start(self, "b", address=old_incarnation.address)
        restarted.handle(Question, echo)
        with self.assertRaises(peer.PeerGone):
            a.request(old_incarnation, Question("hi"), LONG_S)
        self.assertEqual(a.request(restarted.own, Question("hi"), LONG_S), Question("a: hi"))

    def test_instance_with_a_clock_behind_learns_its_newest_incarnation(self):
        a, b = start(self, "a"), start(self, "b")
        b.handle(Question, echo)
        a.request(b.own, Question("hi"), LONG_S)
        newest = a.own.incarnation
        a.own = attrs.evolve(a.own, incarnation=newest - 1000)
        with self.assertRaises(peer.PeerOutdated) as raised:
            a.request(b.own, Question("hi"), LONG_S)
        self.assertEqual(raised.exception.newest, newest)

    def test_reply_to_an_earlier_incarnation_of_the_requester_is_dropped(self):
        a, b = start(self, "a"), start(self, "b")
        release = b.runtime.signal()

        def handler(sender, question):
            release.wait()
            return question

        b.handle(Question, handler)
        dropped = CounterIncrease(metrics.DROPPED_REPLIES)
        errors = []

        def ask():
            try:
                a.request(b.own, Question("hi"), 1.0)
            except peer.PeerError as error:
                errors.append(error.code)

        request_task = a.runtime.spawn(ask)
        while not b.running_handlers:
            a.runtime.sleep(0.005)
        a.new_incarnation()
        release.set()
        dropped.wait_for(1)
        request_task.wait(LONG_S)
        self.assertEqual(errors, ["peer_timeout"])

    def test_reply_of_a_later_incarnation_of_the_target_is_dropped(self):
        # A peer starts a new incarnation while it handles a request to the old one.  The reply
        # is not from the addressed incarnation, so the requester must not accept it.
        a, b = start(self, "a"), start(self, "b")

        def handler(sender, question):
            b.new_incarnation()
            return question

        b.handle(Question, handler)
        dropped = CounterIncrease(metrics.DROPPED_REPLIES)
        with self.assertRaises(peer.PeerTimeout):
            a.request(b.own, Question("hi"), 0.5)
        dropped.wait_for(1)

    def test_late_reply_is_dropped_and_not_matched_to_a_later_request(self):
        a, b = start(self, "a"), start(self, "b")
        release = b.runtime.signal()

        def handler(sender, question):
            if question.text == "slow":
                release.wait()
            return question

        b.handle(Question, handler)
        dropped = CounterIncrease(metrics.DROPPED_REPLIES)
        with self.assertRaises(peer.PeerTimeout):
            a.request(b.own, Question("slow"), SHORT_S)
        release.set()
        self.assertEqual(a.request(b.own, Question("fast"), LONG_S), Question("fast"))
        dropped.wait_for(1)


class Handlers(unittest.TestCase):
    def test_failing_handler_is_an_error_at_the_requester(self):
        a, b = start(self, "a"), start(self, "b")

        def handler(sender, question):
            raise ValueError("broken")

        b.handle(Question, handler)
        with (
            self.assertLogs("rosedyke", "ERROR"),
            self.assertRaisesRegex(peer.PeerError, "broken"),
        ):
            a.request(b.own, Question("hi"), LONG_S)
        self.assertEqual(b.running_handlers, 0)


class Connections(unittest.TestCase):
    def test_unresponsive_connection_is_replaced(self):
        # An open connection delivers nothing although new connections would work.  It must be
        # closed once requests have timed out for long enough; the next request uses a new one.
        a, b = start(self, "a", silence_s=0.0), start(self, "b")
        b.handle(Question, lambda sender, question: None)
        with self.assertRaises(peer.PeerTimeout):
            a.request(b.own, Question("lost"), SHORT_S)
        self.assertEqual(a.connections, {})
        b.handle(Question, echo)
        self.assertEqual(a.request(b.own, Question("hi"), LONG_S), Question("a: hi"))

    def test_connection_is_kept_after_a_timeout_below_the_limit(self):
        a, b = start(self, "a", silence_s=10.0), start(self, "b")
        b.handle(Question, lambda sender, question: None)
        with self.assertRaises(peer.PeerTimeout):
            a.request(b.own, Question("slow"), SHORT_S)
        self.assertEqual(list(a.connections), [b.own.address])

    def test_idle_and_released_connections_are_closed(self):
        a, b, c = start(self, "a", idle_s=0.0), start(self, "b"), start(self, "c")
        b.handle(Question, echo)
        c.handle(Question, echo)
        a.request(b.own, Question("hi"), LONG_S)
        a.request(c.own, Question("hi"), LONG_S)
        a.disconnect(b.own)
        self.assertEqual(list(a.connections), [c.own.address])
        while a.connections:
            a.runtime.sleep(0.05)

    def test_request_on_a_stopped_transport_times_out_at_once(self):
        a, b = start(self, "a"), start(self, "b")
        a.stop()
        with self.assertRaises(peer.PeerTimeout):
            a.request(b.own, Question("hi"), LONG_S)
