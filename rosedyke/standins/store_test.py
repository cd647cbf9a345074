import unittest
from unittest import mock

from rosedyke.standins import store


class Start(unittest.TestCase):
    def test_start_asks_no_name_service(self):
        # http.server looks up the name of its address; a name server that does not answer delays
        # the start of the store by 5 to 10 s, before its first line of output.
        with (
            mock.patch("socket.gethostbyaddr") as lookup,
            mock.patch("socket.getfqdn", side_effect=lookup),
        ):
            server = store.Server("127.99.1.3:0")
        self.addCleanup(server.http.server_close)
        lookup.assert_not_called()
        self.assertEqual(server.http.server_name, "127.99.1.3")
        self.assertEqual(server.http.server_port, server.http.server_address[1])


if __name__ == "__main__":
    unittest.main()
