import pathlib
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]


class Pages(unittest.TestCase):
    def test_pages_say_what_the_code_says(self):
        """The pages are compared in a process of their own.

        Tests define events and metrics too, which must not show up in the pages.
        """
        ended = subprocess.run(
            [sys.executable, "-W", "ignore", str(ROOT / "tools/update_catalogues.py"), "--check"],
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual(ended.returncode, 0, ended.stdout + ended.stderr)


if __name__ == "__main__":
    unittest.main()
