import time
import unittest

import eventlet
import zmq as plain_zmq
from eventlet.green import zmq

from rosedyke.wire import green_socket


class WakeUps(unittest.TestCase):
    """A message that arrives before a send still wakes the reader.

    The send consumes the event of the message, so the event loop does not see it.
    """

    def setUp(self):
        context = zmq.Context()
        self.addCleanup(context.term)
        self.socket = green_socket.GreenSocket(context, zmq.DEALER)
        self.peer = plain_zmq.Socket(context, plain_zmq.DEALER)
        for socket in (self.socket, self.peer):
            self.addCleanup(socket.close, 0)
            socket.setsockopt(zmq.SNDHWM, 1)
            socket.setsockopt(zmq.RCVHWM, 1)
        self.peer.bind("inproc://peer")
        self.socket.connect("inproc://peer")

    def read_after(self, send):
        """Return the message that arrives right before ``send`` is called."""
        reading = eventlet.spawn(green_socket.receive, self.socket)
        eventlet.sleep(0.01)
        self.peer.send_multipart([b"first", b"second"])
        # ZeroMQ looks for events at most once in about a millisecond; the event loop does not run.
        time.sleep(0.02)
        send()
        with eventlet.Timeout(1):
            return reading.wait()

    def test_after_a_send(self):
        received = self.read_after(lambda: green_socket.send(self.socket, b"x", b"y"))
        self.assertEqual(received, [b"first", b"second"])
        self.assertEqual(self.peer.recv_multipart(), [b"x", b"y"])

    def test_after_a_send_that_fails(self):
        def send_failing():
            with self.assertRaises(zmq.Again):
                green_socket.send(self.socket, b"x")

        with self.assertRaises(zmq.Again):
            while True:
                green_socket.send(self.socket, b"x")
        self.assertEqual(self.read_after(send_failing), [b"first", b"second"])

    def test_reader_of_a_closed_socket(self):
        # Guards against green threads that wait forever for a connection that was replaced.
        def read():
            with self.assertRaises(zmq.ZMQError):
                green_socket.receive(self.socket)

        reading = eventlet.spawn(read)
        eventlet.sleep(0.01)
        self.socket.close(0)
        with eventlet.Timeout(1):
            reading.wait()

    def test_idle_socket_does_not_keep_the_event_loop_busy(self):
        # Guards against a message without a reader, for which the loop would not sleep.
        self.peer.send(b"unread")
        eventlet.sleep(0.01)
        used_s = time.process_time()
        eventlet.sleep(0.2)
        self.assertLess(time.process_time() - used_s, 0.1)
        self.assertEqual(green_socket.receive(self.socket), [b"unread"])
