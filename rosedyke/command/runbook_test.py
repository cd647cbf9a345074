import pathlib
import re
import unittest

from rosedyke.command import main

RUNBOOKS_PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "RUNBOOKS.md"


class Runbooks(unittest.TestCase):
    def test_every_command_and_flag_exists(self):
        app = main.build()
        commands = re.findall(r"`rosedyke ([^`]+)`", RUNBOOKS_PAGE.read_text())
        self.assertGreater(len(commands), 8)
        for command in commands:
            with self.subTest(command):
                # Raises for an unknown command or flag, or a missing argument.
                app.parse_args(command.split(), print_error=False, exit_on_error=False)
