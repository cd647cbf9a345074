import unittest

import hypothesis
from hypothesis import strategies

from rosedyke.configuration import check, diagnostic, file, intent, stored

GOOD = """
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


def faults(text):
    """Return ``(line, key, code)`` of each fault."""
    found = check.check([file.parse("t.toml", text.encode())])
    return [(each.line, each.key, each.code) for each in found]


def codes(text):
    return [code for _, _, code in faults(text)]


class GoodFile(unittest.TestCase):
    def test_records(self):
        team = file.loads(GOOD)
        (service,) = team.services
        self.assertEqual((team.name, team.quota), ("weighbridge", 16))
        self.assertEqual(service.limits, intent.Limits(concurrency=16, max_timeout_s=20.0))
        self.assertEqual(service.objective, intent.Objective(0.99, 2.0))
        self.assertEqual(service.tasks, (intent.TaskType("tag-basket", 0.05, intent.Size(1, 256)),))

    def test_template_gives_numbered_servers(self):
        servers = file.loads(GOOD).services[0].servers
        self.assertEqual(
            [(s.name, s.address) for s in servers],
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

    def test_intent_comes_back_from_the_store_as_it_was(self):
        team = file.loads(GOOD)
        self.assertEqual(stored.TeamIntent("t", 1, stored.encode(team)).decode(), team)

    def test_windows_line_ends(self):
        self.assertEqual(file.loads(GOOD.replace("\n", "\r\n")), file.loads(GOOD))


class Faults(unittest.TestCase):
    def test_all_faults_at_once_in_the_order_of_lines(self):
        text = GOOD.replace("quota = 16", "quota = -1").replace("0.05", '"fast"')
        text = text.replace("rack =", "rak =").replace("127.1.1.{n}:8100", "127.1.1.{n}")
        text = text.replace("share = 0.99", "share = 99")
        self.assertEqual(
            faults(text),
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
            faults('[[services]]\nname = "a"\n[[services.tasks]]\nname = "t"\n'),
            [
                (1, "services[0].servers", "missing_table"),
                (1, "team", "missing_key"),
                (3, "services[0].tasks[0].run_time_s", "missing_key"),
            ],
        )

    def test_wrong_shapes(self):
        for text, wanted in (
            ('team = "a"\nservices = 3\n', [(2, "services", "wrong_type")]),
            ('team = "a"\nservices = [1]\n', [(2, "services", "wrong_type")]),
            ("team = 7\n", [(1, "team", "wrong_type")]),
            ('team = "Big Team"\n', [(1, "team", "bad_name")]),
            ('team = "a"\nquota = true\n', [(2, "quota", "wrong_type")]),
            ('team = "a"\nquota = 1.0\n', [(2, "quota", "wrong_type")]),
            ('team = "a"\n[team2]\nx = 1\n', [(2, "team2", "unknown_key")]),
        ):
            self.assertEqual(faults(text), wanted, text)

    def test_numbers_that_are_none(self):
        for value in ("nan", "inf", "-inf", "0", "1e9"):
            self.assertEqual(codes(GOOD.replace("0.05", value)), ["out_of_bounds"], value)

    def test_position_in_inline_tables_and_strings_with_brackets(self):
        text = (
            'team = "a"\n[[services]]\nname = "a"  # [not] a = table\n'
            'tasks = [\n  {name = "t]", run_time_s = 1},\n  {name = "u", run_time_s = -1},\n]\n'
            'servers = [{name = "s", address = "127.0.0.1:1", data_centre = "d"}]\n'
        )
        self.assertEqual(
            faults(text),
            [
                (5, "services[0].tasks[0].name", "bad_name"),
                (6, "services[0].tasks[1].run_time_s", "out_of_bounds"),
            ],
        )

    def test_template_without_number(self):
        text = GOOD.replace('"estate-1-{n}"', '"estate"')
        self.assertEqual(codes(text), ["template_without_number"])

    def test_template_that_runs_out_of_addresses_is_one_fault(self):
        text = GOOD.replace("count = 2", "count = 900")
        self.assertEqual(codes(text), ["bad_address"])

    def test_more_servers_than_a_file_may_define(self):
        tables = "".join(
            f'[[services.servers]]\nname = "s{number}-{{n}}"\naddress = "127.1.1.1:{number}{{n}}"\n'
            'data_centre = "d"\ncount = 1000\nfirst = 100\n'
            for number in range(1, 20)
        )
        self.assertEqual(codes(GOOD + tables).count("too_many_servers"), 1)

    def test_addresses(self):
        for address in ("localhost:1", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:99999", "::1:80"):
            text = GOOD.replace("count = 2", "").replace("127.1.1.{n}:8100", address)
            self.assertEqual(codes(text), ["bad_address"], address)


class Syntax(unittest.TestCase):
    def test_several_syntax_faults_and_others_at_once(self):
        text = GOOD.replace("quota = 16", "quota = ").replace("count = 2", "count == 2")
        self.assertEqual(
            [(line, code) for line, _, code in faults(text.replace("0.99", "7"))],
            [(3, "syntax"), (13, "out_of_bounds"), (27, "syntax")],
        )

    def test_duplicate_key(self):
        text = GOOD.replace("quota = 16", "quota = 16\nquota = 17")
        self.assertEqual([(f[0], f[2]) for f in faults(text)], [(4, "duplicate_key")])

    def test_fault_in_a_header_reports_only_that(self):
        text = GOOD.replace("[[services.tasks]]", "[[services.tasks]")
        self.assertEqual([(f[0], f[2]) for f in faults(text)], [(16, "syntax")])

    def test_end_of_the_file_inside_a_value(self):
        self.assertEqual(faults('team = "a"\nquota = [1,\n\n\n'), [(2, "", "syntax")])

    def test_bytes_that_are_no_text(self):
        parsed = file.parse("t.toml", b'team = "a"\n\xff\n')
        self.assertEqual([(f.line, f.code) for f in parsed.diagnostics], [(2, "not_utf8")])

    def test_too_large_a_file(self):
        parsed = file.parse("t.toml", b"#" * 1_000_000)
        self.assertEqual([f.code for f in parsed.diagnostics], ["file_too_large"])

    def test_too_deep_and_too_long_values(self):
        self.assertEqual(codes("a = " + "[" * 5000), ["too_deep"])
        self.assertEqual(codes("quota = " + "9" * 5000)[:1], ["syntax"])


class Set(unittest.TestCase):
    def test_names_are_unique_over_files(self):
        other = GOOD.replace('team = "weighbridge"', 'team = "other"')
        found = check.check([file.parse("a", GOOD.encode()), file.parse("b", other.encode())])
        self.assertEqual(
            [(each.file, each.line, each.code) for each in found],
            [
                ("b", 6, "duplicate_service"),
                ("b", 23, "duplicate_server"),
                ("b", 23, "duplicate_server"),
                ("b", 24, "duplicate_address"),
                ("b", 24, "duplicate_address"),
            ],
        )
        self.assertIn("a:6", found[0].text)

    def test_names_are_unique_inside_a_file(self):
        start = GOOD.index("[[services.tasks]]")
        end = GOOD.index("[[services.servers]]")
        text = GOOD[:end] + GOOD[start:end] + GOOD[end:]
        self.assertEqual(codes(text), ["duplicate_task"])

    def test_same_task_name_in_two_services_is_right(self):
        start = GOOD.index("[[services]]")
        second = GOOD[start:].replace("weighbridge", "second").replace("estate-1-{n}", "e-{n}")
        self.assertEqual(codes(GOOD + second.replace("8100", "8101")), [])


class Warnings(unittest.TestCase):
    def test_intent_that_can_hardly_work_is_accepted_with_warnings(self):
        for old, new, wanted in (
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
            text = GOOD.replace(old, new)
            self.assertEqual(faults(text), [wanted])
            parsed = file.parse("t.toml", text.encode())
            self.assertFalse(diagnostic.has_errors(check.check([parsed])))
            self.assertIsNotNone(parsed.team)


def mutations():
    """Return texts near a good file: pieces of lines exchanged, removed or repeated."""
    lines = GOOD.splitlines()
    pieces = strategies.sampled_from([*lines, "[", "]]", "{", '"""', "'", "=", "a.b = 1", "\\"])
    edit = strategies.tuples(strategies.integers(0, len(lines) - 1), pieces, strategies.booleans())

    def apply(edits):
        changed = list(lines)
        for index, piece, is_replacement in edits:
            changed[index] = piece if is_replacement else changed[index] + piece
        return "\n".join(changed)

    return strategies.lists(edit, min_size=1, max_size=6).map(apply)


class Fuzz(unittest.TestCase):
    """Whatever the bytes, a file gives an intent or faults as values, never an exception."""

    def check(self, content):
        parsed = file.parse("t.toml", content)
        found = check.check([parsed])
        self.assertEqual(parsed.team is None, diagnostic.has_errors(parsed.diagnostics))
        last = max(1, content.count(b"\n") + 1)
        for each in found:
            self.assertTrue(1 <= each.line <= last, each)
            self.assertTrue(each.code)
        if parsed.team is not None:
            again = stored.TeamIntent("t", 1, stored.encode(parsed.team)).decode()
            self.assertEqual(again, parsed.team)

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
