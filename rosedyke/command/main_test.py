import contextlib
import io
import pathlib
import re
import unittest

from rosedyke.command import exit_codes, main

PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "COMMANDS.md"


def run(*words):
    """Run a command and return its exit code and what it printed."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        code = main.run(list(words))
    return code, output.getvalue()


class Frame(unittest.TestCase):
    def test_every_command_explains_itself(self):
        for name in main.COMMANDS:
            with self.subTest(name):
                code, text = run(name, "--help")
                self.assertEqual(code, exit_codes.OK)
                self.assertIn("For example:", text)

    def test_wrong_words_are_a_usage_error(self):
        for words in (["nothing"], ["status", "--nothing"], ["submit"], ["status"]):
            with self.subTest(words):
                self.assertEqual(run(*words)[0], exit_codes.USAGE)


class Page(unittest.TestCase):
    def test_page_lists_every_command(self):
        listed = re.findall(r"^\| `rosedyke (\w+)", PAGE.read_text(), re.MULTILINE)
        self.assertEqual(sorted(listed), sorted(main.COMMANDS))

    def test_page_lists_every_exit_code(self):
        listed = re.findall(r"^\| (\d+) \| `(\w+)`", PAGE.read_text(), re.MULTILINE)
        defined = {name: value for name, value in vars(exit_codes).items() if name.isupper()}
        self.assertEqual({name: int(value) for value, name in listed}, defined)


if __name__ == "__main__":
    unittest.main()
