import http.server
import json
import threading
import unittest

from rosedyke.command import burn, fetch
from rosedyke.observe import burn_rate


class Handler(http.server.BaseHTTPRequestHandler):
    """Answers every path with the status and content set at the server."""

    def do_GET(self):
        self.send_response(self.server.status)
        self.send_header("Content-Length", str(len(self.server.content)))
        self.end_headers()
        self.wfile.write(self.server.content)

    def log_message(self, *arguments):
        pass


class Fetch(unittest.TestCase):
    def serve(self, content, status=200):
        server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
        server.content, server.status = content, status
        thread = threading.Thread(target=server.serve_forever, daemon=True)
        thread.start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        return f"127.0.0.1:{server.server_port}"

    def test_unreachable_instances_are_listed(self):
        responding = self.serve(b"7")
        undecodable = self.serve(b"<html>")
        not_found = self.serve(b"7", status=404)
        fetched = fetch.fetch_all(
            (responding, undecodable, not_found, "127.0.0.1:1"), "/", json.loads
        )
        self.assertEqual(fetched.values, {responding: 7})
        self.assertEqual(set(fetched.unreachable), {undecodable, not_found, "127.0.0.1:1"})
        self.assertEqual(fetched.unreachable["127.0.0.1:1"], "no connection")


class Burn(unittest.TestCase):
    def test_budget_left(self):
        for budget_left, expected in [
            (None, "-"),
            (0.25, "25%"),
            (0.0, "0%"),
            (-1.5, "spent 2.5 times"),
        ]:
            service = burn_rate.ServiceBurn("weighing", 0.99, 1.0, (), budget_left, {})
            self.assertEqual(burn.format_budget_left(service), expected)

    def test_largest_budget_consumer_comes_first(self):
        spent = {"north": {"late": 2, "failed": 0}, "south": {"late": 0, "failed": 9}}
        service = burn_rate.ServiceBurn("weighing", 0.99, 1.0, (), 0.5, spent)
        self.assertEqual(
            burn.format_budget_consumers(service), "9 failed in south, 2 late in north"
        )


if __name__ == "__main__":
    unittest.main()
