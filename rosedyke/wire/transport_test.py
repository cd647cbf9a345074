import contextlib
import unittest

import attrs
from eventlet.green import zmq

from rosedyke.daemon import green
from rosedyke.observe import metric
from rosedyke.wire import codec, envelope, metrics, peer, secret, settings, transport

LONG_S = 30.0  # never reached unless something is broken
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
    """Start a transport on a port of the kernel's choice and stop it after the test."""
    options = {"address": "127.0.0.1:0", "key": "secret", **options}
    started = transport.Transport(
        settings.TransportSettings(name, "dc1", **options), green.GreenRuntime()
    )
    started.start()
    test.addCleanup(started.stop)
    return started


def echo(sender, question):
    return Question(f"{sender.name}: {question.text}")


class Counted:
    """How often a metric was counted since this object was made."""

    def __init__(self, counted):
        self.name = counted.name
        self.before = metric.counts[self.name]

    def wait_for(self, amount):
        runtime = green.GreenRuntime()
        deadline = runtime.now() + LONG_S
        while metric.counts[self.name] - self.before < amount:
            if runtime.now() > deadline:
                raise AssertionError(f"{self.name}: {metric.counts[self.name] - self.before}")
            runtime.sleep(0.005)


class Stranger:
    """A bare socket that can send any bytes to a transport, with or without the key."""

    def __init__(self, test, target, key="secret"):
        self.context = zmq.Context()
        self.socket = self.context.socket(zmq.DEALER)
        self.socket.setsockopt(zmq.LINGER, 0)
        if key:
            secret.protect_client(self.socket, secret.derive(key))
        self.socket.connect(f"tcp://{target.own.address}")
        test.addCleanup(self.close)

    def close(self):
        self.socket.close(0)
        self.context.term()

    def send(self, *parts):
        self.socket.send_multipart(parts)

    def frame(self, target, number, kind=envelope.Kind.REQUEST, incarnation=1, version=None):
        header = envelope.Header(
            "stranger",
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

    def test_many_requests_at_once_each_get_their_own_reply(self):
        a, b = start(self, "a"), start(self, "b")

        def slow_echo(sender, question):
            b.runtime.sleep(0.02 * b.runtime.random())
            return question

        b.handle(Question, slow_echo)
        runtime = green.GreenRuntime()
        replies = {}

        def ask(number):
            replies[number] = a.request(b.own, Question(str(number)), LONG_S).text

        tasks = [runtime.spawn(ask, number) for number in range(300)]
        for task in tasks:
            task.wait(LONG_S)
        self.assertEqual(replies, {number: str(number) for number in range(300)})

    def test_request_to_an_address_reaches_whoever_is_there(self):
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
            transport.Transport(options, green.GreenRuntime()).start()

    def test_missing_key_on_loopback_is_logged(self):
        with self.assertLogs("rosedyke", "WARNING") as logs:
            start(self, "a", key="")
        self.assertIn("transport_unprotected", logs.output[0])

    def test_taken_address_is_an_error(self):
        a = start(self, "a")
        options = settings.TransportSettings("b", "dc1", a.own.address, "secret")
        with self.assertRaises(transport.AddressInUse):
            transport.Transport(options, green.GreenRuntime()).start()

    def test_address_that_peers_cannot_use_is_refused(self):
        options = settings.TransportSettings("a", "dc1", "0.0.0.0:0", "secret")
        with self.assertRaises(transport.AddressInUse):
            transport.Transport(options, green.GreenRuntime()).start()

    def test_key_is_not_shown(self):
        options = settings.TransportSettings("a", "dc1", "127.0.0.1:0", "very secret")
        self.assertNotIn("very secret", repr(options))


class FullQueue(unittest.TestCase):
    def test_sender_sees_the_bound(self):
        # Nobody listens at the address.  Messages wait for the connection up to the bound; the
        # next one is an error at its sender instead of silently lost or held without limit.
        a = start(self, "a", queue_bound=10)
        nobody = peer.Peer("b", 1, "dc1", "127.0.0.1:1")
        with self.assertRaises(peer.PeerQueueFull):
            for number in range(11):
                a.send(nobody, Question(str(number)))

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

    def test_busy_handlers_hold_back_the_reading(self):
        # Handlers that block would pile up without bound.  At the bound the instance stops to
        # read, and goes on once handlers end; nothing is lost.
        a, b = start(self, "a"), start(self, "b", max_handlers=5)
        go_on = b.runtime.signal()
        running = []

        def handler(sender, question):
            running.append(question)
            go_on.wait()
            return question

        b.handle(Question, handler)
        tasks = [
            a.runtime.spawn(a.request, b.own, Question(str(number)), LONG_S) for number in range(20)
        ]
        while len(running) < 5:
            a.runtime.sleep(0.005)
        a.runtime.sleep(0.05)
        self.assertEqual(b.running_handlers, 5)
        go_on.set()
        for task in tasks:
            self.assertTrue(task.wait(LONG_S))
        self.assertEqual(len(running), 20)

    def test_message_over_the_bound_is_refused_at_the_sender(self):
        a, b = start(self, "a", max_message_bytes=1000), start(self, "b")
        with self.assertRaises(peer.PeerRefused):
            a.request(b.own, Question("x" * 1000), LONG_S)

    def test_message_over_the_receivers_bound_is_counted_and_dropped(self):
        a, b = start(self, "a"), start(self, "b", max_message_bytes=1000)
        oversized = Counted(metrics.DROPPED_OVERSIZED)
        with self.assertRaises(peer.PeerTimeout):
            a.request(b.own, Question("x" * 1000), SHORT_S)
        oversized.wait_for(1)


class Strangers(unittest.TestCase):
    def test_peer_with_another_key_is_counted_and_gets_nothing(self):
        a, b = start(self, "a", key="other"), start(self, "b")
        b.handle(Question, echo)
        refused = Counted(metrics.REFUSED_STRANGERS)
        with self.assertRaises(peer.PeerTimeout):
            a.request(b.own, Question("let me in"), SHORT_S)
        refused.wait_for(3)  # it tries again and again
        self.assertEqual(b.traffic.messages_received, 0)

    def test_logs_cannot_be_filled_by_a_stranger(self):
        with self.assertLogs("rosedyke", "WARNING") as logs:
            b = start(self, "b")
            refused = Counted(metrics.REFUSED_STRANGERS)
            bare = Stranger(self, b, key="other")
            bare.send(b"x")
            refused.wait_for(3)
        self.assertEqual(len([line for line in logs.output if "stranger_refused" in line]), 1)

    def test_peer_without_key_is_counted_and_gets_nothing(self):
        b = start(self, "b")
        refused = Counted(metrics.REFUSED_STRANGERS)
        bare = Stranger(self, b, key="")
        bare.send(bare.frame(b, 1))
        refused.wait_for(1)
        self.assertEqual(b.traffic.messages_received, 0)


class Foreign(unittest.TestCase):
    def setUp(self):
        self.b = start(self, "b")
        self.calls = []
        self.b.handle(Question, lambda sender, question: self.calls.append(question))
        self.bare = Stranger(self, self.b)

    def test_truncated_frames_are_counted_and_dropped(self):
        whole = len(self.bare.frame(self.b, 1))
        malformed = Counted(metrics.DROPPED_MALFORMED)
        for length in range(whole):
            self.bare.send(self.bare.frame(self.b, 1 + length)[:length])
        malformed.wait_for(whole)
        self.assertEqual(self.calls, [])

    def test_frames_of_other_shapes_are_counted_and_dropped(self):
        malformed = Counted(metrics.DROPPED_MALFORMED)
        versions = Counted(metrics.REFUSED_VERSIONS)
        self.bare.send(b"GET / HTTP/1.1")
        self.bare.send(b"two", b"parts")
        self.bare.send(b"\xff" * 200)
        self.bare.send(self.bare.frame(self.b, 2, kind=envelope.Kind.REPLY))
        malformed.wait_for(2)
        versions.wait_for(2)
        self.assertEqual(self.calls, [])

    def test_replayed_frame_is_handled_once(self):
        frame = self.bare.frame(self.b, 1, kind=envelope.Kind.ONE_WAY)
        repeated = Counted(metrics.DROPPED_REPEATED)
        for _ in range(3):
            self.bare.send(frame)
        repeated.wait_for(2)
        self.assertEqual(len(self.calls), 1)

    def test_message_of_an_earlier_life_of_its_sender_is_refused(self):
        repeated = Counted(metrics.DROPPED_REPEATED)
        self.bare.send(self.bare.frame(self.b, 1, kind=envelope.Kind.ONE_WAY, incarnation=5))
        self.bare.send(self.bare.frame(self.b, 2, incarnation=4))
        repeated.wait_for(1)
        prefix = envelope.decode_prefix(self.bare.socket.recv_multipart()[0])
        self.assertEqual((prefix.kind, prefix.number), (envelope.Kind.OUTDATED, 2))
        self.assertEqual(len(self.calls), 1)


class Versions(unittest.TestCase):
    def test_peer_of_another_version_answers_with_a_refusal(self):
        a, b = start(self, "a"), start(self, "b", protocol_version=2)
        b.handle(Question, echo)
        with self.assertRaisesRegex(peer.PeerRefused, "version 2"):
            a.request(b.own, Question("hi"), LONG_S)

    def test_unknown_message_is_refused_and_not_timed_out(self):
        a, b = start(self, "a"), start(self, "b")
        with self.assertRaises(peer.PeerRefused):
            a.request(b.own, Unhandled(), LONG_S)


class Incarnations(unittest.TestCase):
    def test_message_for_an_earlier_incarnation_is_not_handled(self):
        a, b = start(self, "a"), start(self, "b")
        calls = []
        b.handle(Question, lambda sender, question: calls.append(question))
        before = b.own
        b.new_incarnation()
        with self.assertRaises(peer.PeerGone):
            a.request(before, Question("hi"), LONG_S)
        self.assertEqual(calls, [])

    def test_new_incarnation_is_above_the_old_and_above_any_known_one(self):
        a = start(self, "a")
        first = a.own.incarnation
        self.assertGreater(a.new_incarnation().incarnation, first)
        far = first + 10**9
        self.assertEqual(a.new_incarnation(after=far).incarnation, far + 1)

    def test_peer_restarted_at_the_same_address_is_another_one(self):
        # A peer's process ends and a new one takes its address.  Whoever still holds the old
        # incarnation learns that it is gone; the new one answers on the same connection.
        a, b = start(self, "a"), start(self, "b")
        b.handle(Question, echo)
        a.request(b.own, Question("hi"), LONG_S)
        before = b.own
        b.stop()
        again = start(self, "b", address=before.address)
        again.handle(Question, echo)
        with self.assertRaises(peer.PeerGone):
            a.request(before, Question("hi"), LONG_S)
        self.assertEqual(a.request(again.own, Question("hi"), LONG_S), Question("a: hi"))

    def test_instance_whose_clock_went_back_learns_the_newer_incarnation(self):
        a, b = start(self, "a"), start(self, "b")
        b.handle(Question, echo)
        a.request(b.own, Question("hi"), LONG_S)
        newest = a.own.incarnation
        a.own = attrs.evolve(a.own, incarnation=newest - 1000)
        with self.assertRaises(peer.PeerOutdated) as raised:
            a.request(b.own, Question("hi"), LONG_S)
        self.assertEqual(raised.exception.newest, newest)

    def test_reply_to_an_earlier_life_of_the_asker_is_dropped(self):
        a, b = start(self, "a"), start(self, "b")
        go_on = b.runtime.signal()

        def handler(sender, question):
            go_on.wait()
            return question

        b.handle(Question, handler)
        dropped = Counted(metrics.DROPPED_REPLIES)
        errors = []

        def ask():
            try:
                a.request(b.own, Question("hi"), 1.0)
            except peer.PeerError as error:
                errors.append(error.code)

        asking = a.runtime.spawn(ask)
        while not b.running_handlers:
            a.runtime.sleep(0.005)
        a.new_incarnation()
        go_on.set()
        dropped.wait_for(1)
        asking.wait(LONG_S)
        self.assertEqual(errors, ["peer_timeout"])

    def test_reply_of_a_later_life_of_the_asked_is_dropped(self):
        # A peer begins a new life while it handles a request to the old one.  What it answers is
        # no longer the word of the incarnation that was asked, so the asker learns nothing.
        a, b = start(self, "a"), start(self, "b")

        def handler(sender, question):
            b.new_incarnation()
            return question

        b.handle(Question, handler)
        dropped = Counted(metrics.DROPPED_REPLIES)
        with self.assertRaises(peer.PeerTimeout):
            a.request(b.own, Question("hi"), 0.5)
        dropped.wait_for(1)

    def test_late_reply_is_dropped_and_given_to_nobody_else(self):
        a, b = start(self, "a"), start(self, "b")
        go_on = b.runtime.signal()

        def handler(sender, question):
            if question.text == "slow":
                go_on.wait()
            return question

        b.handle(Question, handler)
        dropped = Counted(metrics.DROPPED_REPLIES)
        with self.assertRaises(peer.PeerTimeout):
            a.request(b.own, Question("slow"), SHORT_S)
        go_on.set()
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
    def test_silent_connection_is_replaced_by_a_new_one(self):
        # The path to a peer swallows everything though the connection stays open, while new
        # connections work.  Requests time out; once the silence is long enough the connection
        # is closed, and the next request goes through on a new one.
        a, b = start(self, "a", silence_s=0.0), start(self, "b")
        b.handle(Question, lambda sender, question: None)
        with self.assertRaises(peer.PeerTimeout):
            a.request(b.own, Question("lost"), SHORT_S)
        self.assertEqual(a.links, {})
        b.handle(Question, echo)
        self.assertEqual(a.request(b.own, Question("hi"), LONG_S), Question("a: hi"))

    def test_connection_with_other_answers_is_kept_when_one_handler_is_slow(self):
        a, b = start(self, "a", silence_s=10.0), start(self, "b")
        b.handle(Question, lambda sender, question: None)
        with self.assertRaises(peer.PeerTimeout):
            a.request(b.own, Question("slow"), SHORT_S)
        self.assertEqual(list(a.links), [b.own.address])

    def test_idle_connection_and_that_of_a_gone_peer_are_closed(self):
        a, b, c = start(self, "a", idle_s=0.0), start(self, "b"), start(self, "c")
        b.handle(Question, echo)
        c.handle(Question, echo)
        a.request(b.own, Question("hi"), LONG_S)
        a.request(c.own, Question("hi"), LONG_S)
        a.forget(b.own)
        self.assertEqual(list(a.links), [c.own.address])
        while a.links:
            a.runtime.sleep(0.05)

    def test_stopped_transport_times_out_at_once(self):
        a, b = start(self, "a"), start(self, "b")
        a.stop()
        with self.assertRaises(peer.PeerTimeout):
            a.request(b.own, Question("hi"), LONG_S)
