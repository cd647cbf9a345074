import pathlib
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]


class Pages(unittest.TestCase):
    def test_pages_match_the_code(self):
        """Compares in a subprocess: events and metrics defined by other tests would be listed."""
        completed = subprocess.run(
            [sys.executable, "-W", "ignore", str(ROOT / "tools/update_catalogues.py"), "--check"],
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual(completed.returncode, 0, completed.stdout + completed.stderr)


if __name__ == "__main__":
    unittest.main()
