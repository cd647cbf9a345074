import tomllib
import unittest

from rosedyke.scheduling import shares


def parse(text):
    result, errors = shares.parse(tomllib.loads(text))
    return result, [str(error) for error in errors]


class Setting(unittest.TestCase):
    def test_tables_become_shares_with_defaults(self):
        result, errors = parse("[permits]\nweight = 3\n[batch]\nlimit = 0.5\n[other]\n")
        expected = {
            "permits": shares.QueueShare(3.0),
            "batch": shares.QueueShare(1.0, 0.5),
            "other": shares.DEFAULT,
        }
        self.assertEqual((result, errors), (expected, []))
        self.assertEqual(shares.share_of(result, "missing"), shares.DEFAULT)

    def test_bounds_are_accepted(self):
        result, errors = parse("[a]\nweight = 1000\nlimit = 1\n[b]\nweight = 1e-9\nlimit = 1e-9\n")
        self.assertEqual((len(result), errors), (2, []))

    def test_values_that_are_no_number_in_range_are_rejected(self):
        # Guards against a share that divides by zero or that no comparison holds for.
        for value in ("true", "false", "nan", "inf", "-inf", '"3"', "[1]", "0", "-1", "1e309"):
            for key, maximum in (("weight", 1000), ("limit", 1)):
                with self.subTest(key=key, value=value):
                    _, errors = parse(f"[q]\n{key} = {value}\n")
                    expected = f"expected a number above 0 and at most {maximum}, not "
                    self.assertRegex("\n".join(errors), f"^queue 'q', key '{key}': {expected}")
        self.assertEqual(len(parse("[q]\nweight = 1000.1\nlimit = 1.001\n")[1]), 2)
        self.assertEqual(len(parse(f"[q]\nweight = {10**400}\n")[1]), 1)

    def test_all_errors_are_reported_together(self):
        # Guards against an operator who needs one attempt for each mistake.
        result, errors = parse("a = 3.0\n[b]\nweigth = 2\nlimit = 2\n[c]\nweight = 2\n")
        expected = [
            "queue 'a': expected a table, not 3.0",
            "queue 'b', key 'weigth': expected the key 'weight' or 'limit', not this one",
            "queue 'b', key 'limit': expected a number above 0 and at most 1, not 2",
        ]
        self.assertEqual((list(result), errors), (["c"], expected))


class Limit(unittest.TestCase):
    def test_limit_holds_exactly(self):
        # Guards against rounding: 0.29 * 100 is less than 29.
        share = shares.QueueShare(limit=0.29)
        self.assertFalse(shares.is_over_limit(share, 28, 1, 100))
        self.assertTrue(shares.is_over_limit(share, 29, 1, 100))
        self.assertFalse(shares.is_over_limit(shares.DEFAULT, 100, 100, 100))

    def test_queue_that_uses_nothing_may_start_a_task_above_its_limit(self):
        # Guards against a queue that never runs because its tasks are larger than its limit.
        share = shares.QueueShare(limit=0.01)
        self.assertFalse(shares.is_over_limit(share, 0, 50, 100))
        self.assertTrue(shares.is_over_limit(share, 50, 50, 100))
