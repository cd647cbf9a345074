import unittest

import hypothesis
from hypothesis import strategies

from rosedyke.configuration import toml_positions

VALID_TEXT = (
    """
team = "press"  # the team
points = [[1, 2], { x = 1, "y z" = '''a''' }]

[services."press line".limits]
quota.cores = 16

[[services.tasks]]
name = """
    + '"""seal"""'
    + """
"""
)
# Each step consumes a character or ends a repetition; a key or value takes at most this many.
MAX_STEPS_PER_CHARACTER = 8


class CountingScanner(toml_positions._Scanner):
    """A scanner that fails after too many steps for the length of its text."""

    def __init__(self, text):
        super().__init__(text)
        self.remaining_steps = MAX_STEPS_PER_CHARACTER * (len(text) + 1)

    def is_at(self, characters):
        self.remaining_steps -= 1
        if self.remaining_steps < 0:
            raise AssertionError(f"too many steps for {len(self.text)} characters")
        return super().is_at(characters)


def mutations():
    """Return a strategy for texts in which pieces of a valid text are replaced or inserted."""
    pieces = strategies.text(alphabet="[]{}=.,#\"'\\\n a1", max_size=3)
    edit = strategies.tuples(
        strategies.integers(0, len(VALID_TEXT)), strategies.integers(0, 4), pieces
    )

    def apply(edits):
        text = VALID_TEXT
        for offset, length, piece in edits:
            text = text[:offset] + piece + text[offset + length :]
        return text

    return strategies.lists(edit, min_size=1, max_size=6).map(apply)


class Lines(unittest.TestCase):
    def test_lines_of_keys_tables_and_elements(self):
        lines = toml_positions.key_lines(VALID_TEXT)
        self.assertEqual(
            [
                lines[path]
                for path in (
                    "team",
                    "points[0][1]",
                    "points[1].x",
                    "points[1].y z",
                    "services.press line.limits.quota.cores",
                    "services.tasks[0].name",
                )
            ],
            [2, 3, 3, 3, 6, 9],
        )


class Termination(unittest.TestCase):
    """The number of steps is bounded by the length of the text, whatever it contains."""

    def check(self, text):
        scanner = CountingScanner(text)
        try:
            scanner.scan_document()
        except toml_positions.UnexpectedText:
            self.assertLess(scanner.offset, len(text) + 1)

    def test_value_that_is_missing(self):
        for text in ("a = [ }", "a = [ # }", "a = { b = }", "a =", "a = [,,", '-"[}"_'):
            with self.subTest(text=text):
                self.check(text)

    @hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=500)
    @hypothesis.given(mutations())
    def test_mutations_of_a_valid_text(self, text):
        self.check(text)

    @hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=500)
    @hypothesis.given(strategies.text(alphabet="[]{}=.,#\"'\\\n ab1-_", max_size=80))
    def test_texts_of_toml_marks(self, text):
        self.check(text)


if __name__ == "__main__":
    unittest.main()
