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
    outcome,
    remove,
    rollout,
    show,
)
from rosedyke.configuration import change, storage
from rosedyke.standins import store as fake_store

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


class StoreTestCase(unittest.TestCase):
    def setUp(self):
        self.server = fake_store.Server()
        self.server.start()
        self.addCleanup(self.server.stop)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.app = cyclopts.App(name="rosedyke", result_action="return_value")
        for module in (apply, check, diff, history, remove, show):
            module.register(self.app)

    def file(self, text=None, name="weighbridge.toml", quota=0):
        path = self.directory / name
        path.write_text(text or FILE.format(quota=quota))
        return str(path)

    def run_command(self, *arguments, needs_store=True):
        """Run a command and return its exit code and standard output."""
        endpoint = ["--store", self.server.url] if needs_store else []
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(io.StringIO()):
            exit_code = self.app([*arguments, *endpoint])
        return exit_code, output.getvalue()

    def run_json(self, *arguments, needs_store=True):
        exit_code, text = self.run_command(*arguments, "--json", needs_store=needs_store)
        return exit_code, json.loads(text)


class StoreCommands(StoreTestCase):
    def test_show_prints_operator_and_time(self):
        exit_code, text = self.run_command("apply", self.file(), "--operator", "ana")
        self.assertEqual((exit_code, text.splitlines()[0]), (0, "accepted (generation 1)"))
        exit_code, text = self.run_command("show")
        self.assertEqual(exit_code, 0)
        self.assertIn("team weighbridge: applied by ana at ", text)
        self.assertIn("servers: 2 with 16 slots in estate-1", text)
        self.assertEqual(self.run_command("show", "weighbridge"), (0, FILE.format(quota=0)))
        (team,) = self.run_json("show")[1]["teams"]
        self.assertEqual((team["operator"], team["text"]), ("ana", FILE.format(quota=0)))
        self.assertEqual(len(team["intent"]["services"][0]["servers"]), 2)

    def test_all_faults_of_a_rejected_file_are_listed(self):
        path = self.file(FILE.format(quota=-1).replace("0.05", "0"))
        exit_code, text = self.run_command("apply", path)
        self.assertEqual(exit_code, exit_codes.REJECTED)
        self.assertIn(f"{path}:3: quota: error:", text)
        self.assertIn(f"{path}:8: services[0].tasks[0].run_time_s: error:", text)
        self.assertEqual(self.run_json("show")[1], {"generation": 0, "teams": []})

    def test_missing_file_is_rejected(self):
        exit_code, document = self.run_json("apply", str(self.directory / "none.toml"))
        self.assertEqual(exit_code, exit_codes.REJECTED)
        self.assertEqual(document["faults"][0]["code"], "unreadable")

    def test_check_needs_no_store(self):
        path = self.file()
        self.server.set_faults(is_down=True)
        self.assertEqual(self.run_json("check", path, needs_store=False)[0], 0)
        other = self.file(FILE.format(quota=1), name="other.toml")
        exit_code, document = self.run_json("check", path, other, needs_store=False)
        self.assertEqual(exit_code, exit_codes.REJECTED)
        self.assertIn("duplicate_team", [fault["code"] for fault in document["faults"]])

    def test_diff(self):
        self.run_command("apply", self.file())
        self.assertEqual(self.run_command("diff", self.file())[0], 0)
        exit_code, text = self.run_command("diff", self.file(quota=3))
        self.assertEqual(exit_code, exit_codes.DIFFERS)
        self.assertIn("+quota = 3", text)
        self.assertEqual(self.run_command("diff", self.file("x = "))[0], exit_codes.REJECTED)

    def test_removal_and_history(self):
        self.run_command("apply", self.file(), "--operator", "ana")
        self.assertEqual(self.run_command("remove", "weighbridge", "--operator", "bo")[0], 0)
        lines = self.run_command("history")[1].splitlines()
        self.assertIn("bo: removed weighbridge", lines[0])
        self.assertIn("ana: added weighbridge", lines[1])
        self.assertEqual(self.run_command("show", "weighbridge")[0], exit_codes.NOT_FOUND)

    def test_conflict_names_the_winning_operator(self):
        self.run_command("apply", self.file(), "--operator", "ana")
        self.run_command("apply", self.file(quota=1), "--operator", "bo")
        exit_code, text = self.run_command("apply", self.file(quota=2), "--expect", "1")
        self.assertEqual(exit_code, exit_codes.CONFLICT)
        self.assertIn("conflict with the change of bo at ", text)
        self.assertIn("-quota = 1", text)

    def test_store_unreachable(self):
        path = self.file()
        self.server.set_faults(is_down=True)
        for arguments in (
            ("apply", path),
            ("show",),
            ("diff", path),
            ("history",),
            ("remove", "a"),
        ):
            exit_code, document = self.run_json(*arguments)
            self.assertEqual(exit_code, exit_codes.UNREACHABLE, arguments)
            self.assertEqual(document["outcome"], "unreachable")

    def test_lost_answer_is_resolved(self):
        self.server.set_faults(lost_answers=1)
        exit_code, document = self.run_json("apply", self.file())
        self.assertEqual((exit_code, document["generation"]), (0, 1))
        change_id = document["change_id"]
        exit_code, document = self.run_json("history", "--change", change_id, "--after", "0")
        self.assertEqual(
            (exit_code, document["outcome"], document["generation"]), (0, "accepted", 1)
        )

    def test_history_of_a_change_that_never_arrived(self):
        arguments = ("history", "--change", "lost", "--after", "0")
        self.assertEqual(self.run_command(*arguments)[0], exit_codes.UNKNOWN)
        self.run_command("apply", self.file())
        self.assertEqual(self.run_command(*arguments)[0], exit_codes.NOT_FOUND)

    def test_missing_file_argument_is_a_usage_error(self):
        for module in (apply.apply, check.check, diff.diff):
            with contextlib.redirect_stderr(io.StringIO()):
                self.assertEqual(module(()), exit_codes.USAGE)


class Outcomes(unittest.TestCase):
    def test_each_outcome_has_its_exit_code(self):
        unknown = change.Unknown("id 1", 4, "store_unreachable")
        exit_codes_by_outcome = [
            outcome.report(change_outcome).exit_code
            for change_outcome in (
                change.Accepted(1, "id", ()),
                change.Rejected(()),
                change.Conflict(2, None, ()),
                unknown,
                change.Unreachable("down"),
            )
        ]
        self.assertEqual(exit_codes_by_outcome, [0, 3, 4, 5, 6])
        self.assertIn(
            "rosedyke history --change 'id 1' --after 4", outcome.report(unknown).lines[2]
        )

    def test_json_of_a_conflict_names_the_winning_operator(self):
        record = storage.ChangeRecord(2, "id", "bo", "2026", (storage.TeamChange("a", "changed"),))
        document = outcome.report(change.Conflict(2, record, ("-x",))).document
        self.assertEqual(document["winner"].operator, "bo")


class FakeInstance(http.server.ThreadingHTTPServer):
    """Serves the status of an instance, with the next of the generations at each request."""

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
        pending_generations = self.server.generations
        generation = (
            pending_generations.pop(0) if len(pending_generations) > 1 else pending_generations[0]
        )
        document = {"name": "i1", "data_centre": "dc1", "generation": generation, "ready": True}
        data = json.dumps(document).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class WaitForRollout(StoreTestCase):
    def instance(self, *generations):
        fake_instance = FakeInstance(generations)
        self.addCleanup(fake_instance.server_close)
        self.addCleanup(fake_instance.shutdown)
        return fake_instance.address

    def test_wait_ends_when_all_have_the_generation(self):
        addresses = f"{self.instance(0, 0, 1)},{self.instance(1)}"
        exit_code, text = self.run_command("apply", self.file(), "--wait", "--instances", addresses)
        self.assertEqual(exit_code, 0)
        self.assertIn("generation 1 in force at 2 of 2 instances", text)

    def test_outdated_instance_is_reported(self):
        progress = rollout.wait_until(1, (self.instance(0),), timeout_s=0.05)
        self.assertEqual(list(progress.behind.values()), ["i1 has generation 0"])

    def test_unreachable_instance_is_not_counted(self):
        exit_code, document = self.run_json(
            "apply",
            self.file(),
            "--wait",
            "--wait-timeout",
            "0",
            "--instances",
            self.instance(1),
            "127.0.0.1:1",
        )
        self.assertEqual(exit_code, exit_codes.NOT_IN_FORCE)
        self.assertEqual(list(document["in_force"]["behind"]), ["127.0.0.1:1"])

    def test_wait_without_instances_is_a_usage_error(self):
        exit_code, _ = self.run_command("apply", self.file(), "--wait")
        self.assertEqual(exit_code, exit_codes.USAGE)
