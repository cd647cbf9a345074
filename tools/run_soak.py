"""Start the command ``soak``; see docs/SOAK.md."""

import pathlib
import sys
import warnings

warnings.filterwarnings("ignore", message=r"[\s\S]*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[1:1] = [str(ROOT), str(ROOT / "platform")]

from soak import runner  # noqa: E402

if __name__ == "__main__":
    sys.exit(runner.main(sys.argv[1:]))
