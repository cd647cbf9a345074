import pathlib
import unittest

from rosedyke.callers import problem
from rosedyke.job import code

API_PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "API.md"


class Kinds(unittest.TestCase):
    def test_every_code_has_a_status_and_a_title(self):
        for each in code.Code:
            self.assertIn(each, problem.KINDS)

    def test_page_lists_every_code_with_its_status(self):
        page = API_PAGE.read_text()
        for each, kind in problem.KINDS.items():
            self.assertIn(f"| `{each.value}` | {kind.status} |", page)


if __name__ == "__main__":
    unittest.main()
