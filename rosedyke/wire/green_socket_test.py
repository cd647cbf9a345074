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
        self.socket = context.socket(zmq.DEALER)
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
