import contextlib
import http.server
import io
import json
import pathlib
import tempfile
import threading
import unittest

import cyclopts

from rosedyke.command import (
    apply,
    check,
    diff,
    exit_codes,
    history,
    in_force,
    outcome,
    remove,
    show,
)
from rosedyke.configuration import change, storage
from rosedyke.standins import store as store_standin

FILE = """
team = "weighbridge"
quota = {quota}
[[services]]
name = "weighbridge"
[[services.tasks]]
name = "tag-basket"
run_time_s = 0.05
[[services.servers]]
name = "estate-1-{{n}}"
address = "127.1.1.{{n}}:8100"
data_centre = "estate-1"
count = 2
"""


class WithStore(unittest.TestCase):
    def setUp(self):
        self.server = store_standin.Server()
        self.server.start()
        self.addCleanup(self.server.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.app = cyclopts.App(name="rosedyke", result_action="return_value")
        for module in (apply, check, diff, history, remove, show):
            module.register(self.app)

    def file(self, text=None, name="weighbridge.toml", quota=0):
        path = self.folder / name
        path.write_text(text or FILE.format(quota=quota))
        return str(path)

    def run_command(self, *words, needs_store=True):
        """Return the exit code and what was printed for programs and people to read."""
        endpoint = ["--store", self.server.url] if needs_store else []
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(io.StringIO()):
            code = self.app([*words, *endpoint])
        return code, output.getvalue()

    def run_json(self, *words, needs_store=True):
        code, text = self.run_command(*words, "--json", needs_store=needs_store)
        return code, json.loads(text)


class ApplyAndLook(WithStore):
    def test_applied_file_is_shown_with_who_and_when(self):
        code, text = self.run_command("apply", self.file(), "--operator", "ana")
        self.assertEqual((code, text.splitlines()[0]), (0, "accepted (generation 1)"))
        code, text = self.run_command("show")
        self.assertEqual(code, 0)
        self.assertIn("team weighbridge: applied by ana at ", text)
        self.assertIn("servers: 2 with 16 slots in estate-1", text)
        self.assertEqual(self.run_command("show", "weighbridge"), (0, FILE.format(quota=0)))
        (team,) = self.run_json("show")[1]["teams"]
        self.assertEqual((team["operator"], team["text"]), ("ana", FILE.format(quota=0)))
        self.assertEqual(len(team["intent"]["services"][0]["servers"]), 2)

    def test_file_with_faults_is_rejected_with_all_of_them(self):
        path = self.file(FILE.format(quota=-1).replace("0.05", "0"))
        code, text = self.run_command("apply", path)
        self.assertEqual(code, exit_codes.REJECTED)
        self.assertIn(f"{path}:3: quota: error:", text)
        self.assertIn(f"{path}:8: services[0].tasks[0].run_time_s: error:", text)
        self.assertEqual(self.run_json("show")[1], {"generation": 0, "teams": []})

    def test_file_that_is_not_there(self):
        code, document = self.run_json("apply", str(self.folder / "none.toml"))
        self.assertEqual(code, exit_codes.REJECTED)
        self.assertEqual(document["faults"][0]["code"], "unreadable")

    def test_check_is_offline(self):
        path = self.file()
        self.server.set_faults(is_down=True)
        self.assertEqual(self.run_json("check", path, needs_store=False)[0], 0)
        other = self.file(FILE.format(quota=1), name="other.toml")
        code, document = self.run_json("check", path, other, needs_store=False)
        self.assertEqual(code, exit_codes.REJECTED)
        self.assertIn("duplicate_team", [each["code"] for each in document["faults"]])

    def test_diff(self):
        self.run_command("apply", self.file())
        self.assertEqual(self.run_command("diff", self.file())[0], 0)
        code, text = self.run_command("diff", self.file(quota=3))
        self.assertEqual(code, exit_codes.DIFFERS)
        self.assertIn("+quota = 3", text)
        self.assertEqual(self.run_command("diff", self.file("x = "))[0], exit_codes.REJECTED)

    def test_removal_and_history(self):
        self.run_command("apply", self.file(), "--operator", "ana")
        self.assertEqual(self.run_command("remove", "weighbridge", "--operator", "bo")[0], 0)
        lines = self.run_command("history")[1].splitlines()
        self.assertIn("bo: removed weighbridge", lines[0])
        self.assertIn("ana: added weighbridge", lines[1])
        self.assertEqual(self.run_command("show", "weighbridge")[0], exit_codes.NOT_FOUND)

    def test_conflict_names_who_won(self):
        self.run_command("apply", self.file(), "--operator", "ana")
        self.run_command("apply", self.file(quota=1), "--operator", "bo")
        code, text = self.run_command("apply", self.file(quota=2), "--expect", "1")
        self.assertEqual(code, exit_codes.CONFLICT)
        self.assertIn("conflict with the change of bo at ", text)
        self.assertIn("-quota = 1", text)

    def test_store_down(self):
        path = self.file()
        self.server.set_faults(is_down=True)
        for words in (("apply", path), ("show",), ("diff", path), ("history",), ("remove", "a")):
            code, document = self.run_json(*words)
            self.assertEqual(code, exit_codes.UNREACHABLE, words)
            self.assertEqual(document["outcome"], "unreachable")

    def test_lost_answer_is_settled(self):
        self.server.set_faults(lost_answers=1)
        code, document = self.run_json("apply", self.file())
        self.assertEqual((code, document["generation"]), (0, 1))
        change_id = document["change_id"]
        code, document = self.run_json("history", "--change", change_id, "--after", "0")
        self.assertEqual((code, document["outcome"], document["generation"]), (0, "accepted", 1))

    def test_change_that_never_arrived(self):
        words = ("history", "--change", "lost", "--after", "0")
        self.assertEqual(self.run_command(*words)[0], exit_codes.UNKNOWN)
        self.run_command("apply", self.file())
        self.assertEqual(self.run_command(*words)[0], exit_codes.NOT_FOUND)

    def test_no_file_is_a_wrong_command_line(self):
        for module in (apply.apply, check.check, diff.diff):
            with contextlib.redirect_stderr(io.StringIO()):
                self.assertEqual(module(()), exit_codes.USAGE)


class Outcomes(unittest.TestCase):
    def test_each_outcome_has_its_exit_code(self):
        unknown = change.Unknown("id 1", 4, "store_unreachable")
        codes = [
            outcome.report(each).exit_code
            for each in (
                change.Accepted(1, "id", ()),
                change.Rejected(()),
                change.Conflict(2, None, ()),
                unknown,
                change.Unreachable("down"),
            )
        ]
        self.assertEqual(codes, [0, 3, 4, 5, 6])
        self.assertIn(
            "rosedyke history --change 'id 1' --after 4", outcome.report(unknown).lines[2]
        )

    def test_change_record_in_json_names_who_won(self):
        record = storage.ChangeRecord(2, "id", "bo", "2026", (storage.TeamChange("a", "changed"),))
        document = outcome.report(change.Conflict(2, record, ("-x",))).document
        self.assertEqual(document["winner"].operator, "bo")


class FakeInstance(http.server.ThreadingHTTPServer):
    """An instance's status; it steps to the next generation each time it is asked."""

    daemon_threads = True

    def __init__(self, generations):
        super().__init__(("127.0.0.1", 0), _StatusHandler)
        self.generations = list(generations)
        threading.Thread(target=self.serve_forever, args=(0.02,), daemon=True).start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server_address[1]}"


class _StatusHandler(http.server.BaseHTTPRequestHandler):
    def log_message(self, *_):
        pass

    def do_GET(self):  # noqa: N802
        left = self.server.generations
        generation = left.pop(0) if len(left) > 1 else left[0]
        document = {"name": "i1", "data_centre": "dc1", "generation": generation, "ready": True}
        data = json.dumps(document).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class Waiting(WithStore):
    def instance(self, *generations):
        fake = FakeInstance(generations)
        self.addCleanup(fake.server_close)
        self.addCleanup(fake.shutdown)
        return fake.address

    def test_ends_when_all_have_the_generation(self):
        addresses = f"{self.instance(0, 0, 1)},{self.instance(1)}"
        code, text = self.run_command("apply", self.file(), "--wait", "--instances", addresses)
        self.assertEqual(code, 0)
        self.assertIn("generation 1 in force at 2 of 2 instances", text)

    def test_instance_that_stays_behind(self):
        progress = in_force.wait_until(1, (self.instance(0),), timeout_s=0.05)
        self.assertEqual(list(progress.behind.values()), ["i1 has generation 0"])

    def test_instance_that_does_not_answer_is_not_said_to_have_it(self):
        code, document = self.run_json(
            "apply",
            self.file(),
            "--wait",
            "--wait-timeout",
            "0",
            "--instances",
            self.instance(1),
            "127.0.0.1:1",
        )
        self.assertEqual(code, exit_codes.NOT_IN_FORCE)
        self.assertEqual(list(document["in_force"]["behind"]), ["127.0.0.1:1"])

    def test_wait_without_instances_is_a_wrong_command_line(self):
        code, _ = self.run_command("apply", self.file(), "--wait")
        self.assertEqual(code, exit_codes.USAGE)
