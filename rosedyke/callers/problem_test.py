import pathlib
import unittest

from rosedyke.callers import problem
from rosedyke.job import code

API_PAGE_PATH = pathlib.Path(__file__).resolve().parents[2] / "docs" / "API.md"


class ProblemTypes(unittest.TestCase):
    def test_every_code_has_a_status_and_a_title(self):
        for answer_code in code.Code:
            self.assertIn(answer_code, problem.PROBLEM_TYPES)

    def test_api_page_lists_every_code_with_its_status(self):
        api_page = API_PAGE_PATH.read_text()
        for answer_code, problem_type in problem.PROBLEM_TYPES.items():
            self.assertIn(f"| `{answer_code.value}` | {problem_type.status} |", api_page)


if __name__ == "__main__":
    unittest.main()
