"""The command-line tool's frame: commands, help and exit codes."""

import importlib
import sys
import warnings

import cyclopts

from rosedyke.command import exit_codes
from rosedyke.observe import log

HELP = """Operate rosedyke, a dispatcher for sub-second tasks.

Most commands ask entry instances: give their operator addresses once by
ROSEDYKE_INSTANCES=10.0.0.1:8081,10.0.0.2:8081. Commands about configuration ask the platform's
key-value service: give its URLs by ROSEDYKE_STORE.
"""

EPILOGUE = """First steps: `rosedyke check team.toml`, `rosedyke apply team.toml --wait`,
`rosedyke submit jobs.json`, `rosedyke status`, `rosedyke burn`. docs/COMMANDS.md lists every
command and exit code.
"""

# In the order of the help.
COMMANDS = (
    "check",
    "apply",
    "show",
    "diff",
    "history",
    "remove",
    "submit",
    "cancel",
    "status",
    "burn",
    "drain",
)


def build() -> cyclopts.App:
    """Return the tool with all its commands."""
    app = cyclopts.App(
        name="rosedyke",
        help=HELP,
        help_epilogue=EPILOGUE,
        help_format="markdown",
        version_flags=["--version"],
        result_action="return_value",
        exit_on_error=False,
    )
    for name in COMMANDS:
        module = importlib.import_module(f"rosedyke.command.{name}")
        module.register(app)
    return app


def run(words: list[str]) -> int:
    """Run one command and return its exit code."""
    try:
        code = build()(words)
    except cyclopts.CycloptsError:
        # Cyclopts has said what is wrong.
        return exit_codes.USAGE
    except KeyboardInterrupt:
        return exit_codes.FAILED
    except BrokenPipeError:
        # Whoever read the output has had enough, for example `head`.
        sys.stderr.close()
        return exit_codes.OK
    return code if isinstance(code, int) else exit_codes.OK


def main() -> None:
    """Run the command line's words."""
    # Some commands share code with the daemon, which runs on eventlet.
    warnings.filterwarnings("ignore", message=r"[\s\S]*Eventlet is deprecated")
    # What a command came to is its output; a warning on the way to it is not.
    log.configure("error", log.Format.TEXT)
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
