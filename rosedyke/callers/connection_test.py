import unittest

import eventlet
from eventlet import greenio
from eventlet.green import socket

from rosedyke.callers import connection

# Far more than the buffers of a pair of sockets.
LARGE_BYTES = 4 << 20


class ResponseWriter(unittest.TestCase):
    def setUp(self):
        self.caller, self.connection = map(greenio.GreenSocket, socket.socketpair())
        self.addCleanup(self.caller.close)
        self.addCleanup(self.connection.close)
        file = self.connection.makefile("wb", 16 << 10)
        self.writer = connection._TimeoutWriter(file, self.connection, 5.0, None)

    def read(self, size):
        received = bytearray()
        with eventlet.Timeout(10):
            while len(received) < size:
                received += self.caller.recv(1 << 20)
                eventlet.sleep(0)
        return bytes(received)

    def test_large_chunk_arrives_once_and_in_order(self):
        # Guards against a rest that is lost or sent twice.
        pattern = bytes(range(251))
        large = (pattern * (LARGE_BYTES // len(pattern) + 1))[:LARGE_BYTES]
        reading = eventlet.spawn(self.read, LARGE_BYTES)
        self.writer.writelines([large[:100], large[100:]])
        self.writer.flush()
        self.assertEqual(reading.wait(), large)
        self.assertFalse(self.writer.has_pending)

    def test_chunk_stays_behind_the_rest_of_the_one_before(self):
        # Guards against a chunk that overtakes the rest in the file's buffer once the socket's
        # buffer has room again, and against a rest that no flush sends.
        size = 0
        while not self.writer.has_pending:
            # Smaller than the file's buffer, so that the rest does not block.
            self.writer.write(b"a" * 8192)
            size += 8192
        received = self.caller.recv(1 << 20)
        self.writer.write(b"b" * 100)
        reading = eventlet.spawn(self.read, size + 100 - len(received))
        self.writer.flush()
        self.assertEqual(received + reading.wait(), b"a" * size + b"b" * 100)

    def test_response_after_a_flush_is_sent_at_once(self):
        # Guards against a writer that keeps to the slow path after one full buffer.
        reading = eventlet.spawn(self.read, LARGE_BYTES)
        self.writer.write(b"x" * LARGE_BYTES)
        self.writer.flush()
        reading.wait()
        self.writer.write(b"next")
        self.assertEqual(self.read(4), b"next")
