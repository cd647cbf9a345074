import contextlib
import io
import pathlib
import re
import unittest

from rosedyke.command import exit_codes, main

COMMANDS_PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "COMMANDS.md"


def run(*arguments):
    """Run a command and return its exit code and output."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        exit_code = main.run(list(arguments))
    return exit_code, output.getvalue()


class CommandLine(unittest.TestCase):
    def test_every_command_has_help_with_an_example(self):
        for name in main.COMMANDS:
            with self.subTest(name):
                exit_code, text = run(name, "--help")
                self.assertEqual(exit_code, exit_codes.OK)
                self.assertIn("For example:", text)

    def test_invalid_arguments_are_a_usage_error(self):
        for arguments in (["nothing"], ["status", "--nothing"], ["submit"], ["status"]):
            with self.subTest(arguments):
                self.assertEqual(run(*arguments)[0], exit_codes.USAGE)


class CommandsPage(unittest.TestCase):
    def test_page_lists_every_command(self):
        listed_items = re.findall(r"^\| `rosedyke (\w+)", COMMANDS_PAGE.read_text(), re.MULTILINE)
        self.assertEqual(sorted(listed_items), sorted(main.COMMANDS))

    def test_page_lists_every_exit_code(self):
        listed_items = re.findall(r"^\| (\d+) \| `(\w+)`", COMMANDS_PAGE.read_text(), re.MULTILINE)
        defined = {name: value for name, value in vars(exit_codes).items() if name.isupper()}
        self.assertEqual({name: int(value) for value, name in listed_items}, defined)


if __name__ == "__main__":
    unittest.main()
