"""Write docs/EVENTS.md, docs/METRICS.md and docs/SETTINGS.md from the code.

With ``--check`` nothing is written and the exit code is 1 if a page is out of date.
"""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "platform")]

from adapter import events, metrics  # noqa: E402, F401  (registers them in the catalogue)
from rosedyke.daemon import settings_page  # noqa: E402
from rosedyke.observe import catalogue  # noqa: E402

PAGES = {
    "EVENTS.md": catalogue.events_page,
    "METRICS.md": catalogue.metrics_page,
    "SETTINGS.md": settings_page.render,
}


def main() -> int:
    """Write every page, or check it with ``--check``."""
    catalogue.load()
    is_check = "--check" in sys.argv[1:]
    outdated = []
    for name, render in PAGES.items():
        path = ROOT / "docs" / name
        text = render()
        if path.exists() and path.read_text() == text:
            continue
        outdated.append(name)
        if not is_check:
            path.write_text(text)
    for name in outdated:
        print(
            f"docs/{name} {'outdated: run tools/update_catalogues.py' if is_check else 'written'}"
        )
    return 1 if is_check and outdated else 0


if __name__ == "__main__":
    sys.exit(main())
