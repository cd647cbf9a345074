import http.server
import json
import threading
import unittest

from rosedyke.command import burn, fetch
from rosedyke.observe import burn_rate


class Handler(http.server.BaseHTTPRequestHandler):
    """Answers every path with what the test set at the server."""

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

    def test_who_could_not_be_reached_is_said(self):
        good = self.serve(b"7")
        foreign = self.serve(b"<html>")
        wrong = self.serve(b"7", status=404)
        fetched = fetch.fetch_all((good, foreign, wrong, "127.0.0.1:1"), "/", json.loads)
        self.assertEqual(fetched.values, {good: 7})
        self.assertEqual(set(fetched.unreachable), {foreign, wrong, "127.0.0.1:1"})
        self.assertEqual(fetched.unreachable["127.0.0.1:1"], "no connection")


class Burn(unittest.TestCase):
    def test_budget_left(self):
        for left, shown in [(None, "-"), (0.25, "25%"), (0.0, "0%"), (-1.5, "spent 2.5 times")]:
            service = burn_rate.ServiceBurn("weighing", 0.99, 1.0, (), left, {})
            self.assertEqual(burn.budget_left(service), shown)

    def test_what_spends_the_most_comes_first(self):
        spent = {"north": {"late": 2, "failed": 0}, "south": {"late": 0, "failed": 9}}
        service = burn_rate.ServiceBurn("weighing", 0.99, 1.0, (), 0.5, spent)
        self.assertEqual(burn.spenders(service), "9 failed in south, 2 late in north")


if __name__ == "__main__":
    unittest.main()
