import signal
import unittest

import hypothesis
from hypothesis import strategies

from rosedyke.configuration import check, diagnostic, file_parser, intent, storage

PARSE_TIMEOUT_S = 2.0

VALID_FILE = """
team = "weighbridge"
quota = 16

[[services]]
name = "weighbridge"

[services.limits]
concurrency = 16
max_timeout_s = 20

[services.objective]
share = 0.99
response_s = 2.0

[[services.tasks]]
name = "tag-basket"
run_time_s = 0.05
cores = 1
memory_mb = 256

[[services.servers]]
name = "estate-1-{n}"
address = "127.1.1.{n}:8100"
data_centre = "estate-1"
rack = "r1"
count = 2
first = 3
cores = 32
memory_mb = 64000
"""


def diagnostics_of(text):
    """Return ``(line, key, code)`` of each diagnostic."""
    found = check.check([file_parser.parse("t.toml", text.encode())])
    return [(item.line, item.key, item.code) for item in found]


def codes_of(text):
    return [code for _, _, code in diagnostics_of(text)]


class ValidFile(unittest.TestCase):
    def test_values_of_a_file(self):
        team = file_parser.loads(VALID_FILE)
        (service,) = team.services
        self.assertEqual((team.name, team.quota), ("weighbridge", 16))
        self.assertEqual(service.limits, intent.Limits(concurrency=16, max_timeout_s=20.0))
        self.assertEqual(service.objective, intent.Objective(0.99, 2.0))
        self.assertEqual(service.tasks, (intent.TaskType("tag-basket", 0.05, intent.Size(1, 256)),))

    def test_template_defines_numbered_servers(self):
        servers = file_parser.loads(VALID_FILE).services[0].servers
        self.assertEqual(
            [(server.name, server.address) for server in servers],
            [("estate-1-3", "127.1.1.3:8100"), ("estate-1-4", "127.1.1.4:8100")],
        )
        self.assertEqual(
            servers[0],
            intent.BackendServer(
                "estate-1-3",
                "127.1.1.3:8100",
                "estate-1",
                8,
                64,
                intent.Size(32, 64000),
                "r1",
            ),
        )

    def test_stored_intent_round_trip(self):
        team = file_parser.loads(VALID_FILE)
        self.assertEqual(storage.TeamIntent("t", 1, storage.encode(team)).decode(), team)

    def test_crlf_line_endings(self):
        self.assertEqual(
            file_parser.loads(VALID_FILE.replace("\n", "\r\n")), file_parser.loads(VALID_FILE)
        )


class InvalidValues(unittest.TestCase):
    def test_all_errors_are_reported_in_line_order(self):
        text = VALID_FILE.replace("quota = 16", "quota = -1").replace("0.05", '"fast"')
        text = text.replace("rack =", "rak =").replace("127.1.1.{n}:8100", "127.1.1.{n}")
        text = text.replace("share = 0.99", "share = 99")
        self.assertEqual(
            diagnostics_of(text),
            [
                (3, "quota", "out_of_bounds"),
                (13, "services[0].objective.share", "out_of_bounds"),
                (18, "services[0].tasks[0].run_time_s", "wrong_type"),
                (24, "services[0].servers[0].address", "bad_address"),
                (26, "services[0].servers[0].rak", "unknown_key"),
            ],
        )

    def test_missing_keys_and_tables(self):
        self.assertEqual(
            diagnostics_of('[[services]]\nname = "a"\n[[services.tasks]]\nname = "t"\n'),
            [
                (1, "services[0].servers", "missing_table"),
                (1, "team", "missing_key"),
                (3, "services[0].tasks[0].run_time_s", "missing_key"),
            ],
        )

    def test_wrong_types_and_unknown_tables(self):
        for text, expected in (
            ('team = "a"\nservices = 3\n', [(2, "services", "wrong_type")]),
            ('team = "a"\nservices = [1]\n', [(2, "services", "wrong_type")]),
            ("team = 7\n", [(1, "team", "wrong_type")]),
            ('team = "Big Team"\n', [(1, "team", "bad_name")]),
            ('team = "a"\nquota = true\n', [(2, "quota", "wrong_type")]),
            ('team = "a"\nquota = 1.0\n', [(2, "quota", "wrong_type")]),
            ('team = "a"\n[team2]\nx = 1\n', [(2, "team2", "unknown_key")]),
        ):
            self.assertEqual(diagnostics_of(text), expected, text)

    def test_numbers_that_are_not_finite_or_out_of_bounds(self):
        for value in ("nan", "inf", "-inf", "0", "1e9"):
            self.assertEqual(codes_of(VALID_FILE.replace("0.05", value)), ["out_of_bounds"], value)

    def test_line_numbers_in_inline_tables_and_strings_with_brackets(self):
        text = (
            'team = "a"\n[[services]]\nname = "a"  # [not] a = table\n'
            'tasks = [\n  {name = "t]", run_time_s = 1},\n  {name = "u", run_time_s = -1},\n]\n'
            'servers = [{name = "s", address = "127.0.0.1:1", data_centre = "d"}]\n'
        )
        self.assertEqual(
            diagnostics_of(text),
            [
                (5, "services[0].tasks[0].name", "bad_name"),
                (6, "services[0].tasks[1].run_time_s", "out_of_bounds"),
            ],
        )

    def test_template_without_number(self):
        text = VALID_FILE.replace('"estate-1-{n}"', '"estate"')
        self.assertEqual(codes_of(text), ["template_without_number"])

    def test_template_beyond_the_valid_addresses_is_one_error(self):
        text = VALID_FILE.replace("count = 2", "count = 900")
        self.assertEqual(codes_of(text), ["bad_address"])

    def test_server_limit_of_a_file(self):
        tables = "".join(
            f'[[services.servers]]\nname = "s{number}-{{n}}"\naddress = "127.1.1.1:{number}{{n}}"\n'
            'data_centre = "d"\ncount = 1000\nfirst = 100\n'
            for number in range(1, 20)
        )
        self.assertEqual(codes_of(VALID_FILE + tables).count("too_many_servers"), 1)

    def test_invalid_addresses(self):
        for address in ("localhost:1", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:99999", "::1:80"):
            text = VALID_FILE.replace("count = 2", "").replace("127.1.1.{n}:8100", address)
            self.assertEqual(codes_of(text), ["bad_address"], address)


class SyntaxErrors(unittest.TestCase):
    def test_syntax_errors_and_invalid_values_are_reported_together(self):
        text = VALID_FILE.replace("quota = 16", "quota = ").replace("count = 2", "count == 2")
        self.assertEqual(
            [(line, code) for line, _, code in diagnostics_of(text.replace("0.99", "7"))],
            [(3, "syntax"), (13, "out_of_bounds"), (27, "syntax")],
        )

    def test_duplicate_key(self):
        text = VALID_FILE.replace("quota = 16", "quota = 16\nquota = 17")
        self.assertEqual(
            [(found[0], found[2]) for found in diagnostics_of(text)], [(4, "duplicate_key")]
        )

    def test_error_in_a_table_header_causes_no_other_errors(self):
        text = VALID_FILE.replace("[[services.tasks]]", "[[services.tasks]")
        self.assertEqual([(found[0], found[2]) for found in diagnostics_of(text)], [(16, "syntax")])

    def test_unterminated_value(self):
        self.assertEqual(diagnostics_of('team = "a"\nquota = [1,\n\n\n'), [(2, "", "syntax")])

    def test_invalid_utf8(self):
        parsed = file_parser.parse("t.toml", b'team = "a"\n\xff\n')
        self.assertEqual([(item.line, item.code) for item in parsed.diagnostics], [(2, "not_utf8")])

    def test_file_above_the_size_limit(self):
        parsed = file_parser.parse("t.toml", b"#" * 1_000_000)
        self.assertEqual([item.code for item in parsed.diagnostics], ["file_too_large"])

    def test_deep_nesting_and_long_integers(self):
        self.assertEqual(codes_of("a = " + "[" * 5000), ["too_deep"])
        self.assertEqual(codes_of("quota = " + "9" * 5000)[:1], ["syntax"])

    def test_stray_brace_in_an_array_terminates(self):
        """A ``}`` in an array must not make the position scanner loop forever."""

        def fail(signal_number, frame):
            raise TimeoutError(f"parsing did not end within {PARSE_TIMEOUT_S} s")

        original_handler = signal.signal(signal.SIGALRM, fail)
        try:
            for content in (b'-"[}"_', b"a = [ }"):
                with self.subTest(content=content):
                    signal.setitimer(signal.ITIMER_REAL, PARSE_TIMEOUT_S)
                    file_parser.parse("t.toml", content)
                    signal.setitimer(signal.ITIMER_REAL, 0)
        finally:
            signal.setitimer(signal.ITIMER_REAL, 0)
            signal.signal(signal.SIGALRM, original_handler)


class MultipleFiles(unittest.TestCase):
    def test_duplicate_names_in_two_files(self):
        other = VALID_FILE.replace('team = "weighbridge"', 'team = "other"')
        found = check.check(
            [file_parser.parse("a", VALID_FILE.encode()), file_parser.parse("b", other.encode())]
        )
        self.assertEqual(
            [(item.file, item.line, item.code) for item in found],
            [
                ("b", 6, "duplicate_service"),
                ("b", 23, "duplicate_server"),
                ("b", 23, "duplicate_server"),
                ("b", 24, "duplicate_address"),
                ("b", 24, "duplicate_address"),
            ],
        )
        self.assertIn("a:6", found[0].text)

    def test_duplicate_names_in_one_file(self):
        start = VALID_FILE.index("[[services.tasks]]")
        end = VALID_FILE.index("[[services.servers]]")
        text = VALID_FILE[:end] + VALID_FILE[start:end] + VALID_FILE[end:]
        self.assertEqual(codes_of(text), ["duplicate_task"])

    def test_same_task_name_in_two_services_is_valid(self):
        start = VALID_FILE.index("[[services]]")
        second = (
            VALID_FILE[start:].replace("weighbridge", "second").replace("estate-1-{n}", "e-{n}")
        )
        self.assertEqual(codes_of(VALID_FILE + second.replace("8100", "8101")), [])


class WarningCodes(unittest.TestCase):
    def test_intent_that_is_unlikely_to_work_is_accepted_with_warnings(self):
        for old, new, expected in (
            ("cores = 1\n", "cores = 33\n", (16, "services[0].tasks[0]", "task_fits_no_server")),
            (
                "response_s = 2.0",
                "response_s = 0.04",
                (14, "services[0].objective.response_s", "objective_below_run_time"),
            ),
            (
                "run_time_s = 0.05",
                "run_time_s = 0.05\ntimeout_s = 0.01",
                (19, "services[0].tasks[0].timeout_s", "timeout_below_run_time"),
            ),
            (
                "concurrency = 16",
                "concurrency = 17",
                (9, "services[0].limits.concurrency", "concurrency_above_slots"),
            ),
        ):
            text = VALID_FILE.replace(old, new)
            self.assertEqual(diagnostics_of(text), [expected])
            parsed = file_parser.parse("t.toml", text.encode())
            self.assertFalse(diagnostic.has_errors(check.check([parsed])))
            self.assertIsNotNone(parsed.team)


def mutations():
    """Return a strategy for mutations of a valid file: replaced or extended lines."""
    lines = VALID_FILE.splitlines()
    pieces = strategies.sampled_from([*lines, "[", "]]", "{", '"""', "'", "=", "a.b = 1", "\\"])
    edit = strategies.tuples(strategies.integers(0, len(lines) - 1), pieces, strategies.booleans())

    def apply(edits):
        changed = list(lines)
        for index, piece, is_replacement in edits:
            changed[index] = piece if is_replacement else changed[index] + piece
        return "\n".join(changed)

    return strategies.lists(edit, min_size=1, max_size=6).map(apply)


class FuzzTest(unittest.TestCase):
    """Any content yields an intent or diagnostics, never an exception."""

    def check(self, content):
        parsed = file_parser.parse("t.toml", content)
        found = check.check([parsed])
        self.assertEqual(parsed.team is None, diagnostic.has_errors(parsed.diagnostics))
        last_line = max(1, content.count(b"\n") + 1)
        for item in found:
            self.assertTrue(1 <= item.line <= last_line, item)
            self.assertTrue(item.code)
        if parsed.team is not None:
            decoded = storage.TeamIntent("t", 1, storage.encode(parsed.team)).decode()
            self.assertEqual(decoded, parsed.team)

    @hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=400)
    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes(self, content):
        self.check(content)

    @hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=400)
    @hypothesis.given(mutations())
    def test_texts_near_a_good_file(self, text):
        self.check(text.encode())

    @hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=200)
    @hypothesis.given(strategies.text(alphabet="[]{}=.,#\"'\\\n ab1-_", max_size=80))
    def test_texts_of_toml_marks(self, text):
        self.check(text.encode())
