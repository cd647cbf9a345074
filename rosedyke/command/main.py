"""Entry point of the command-line tool: commands, help and exit codes."""

import importlib
import sys
import warnings

import cyclopts

from rosedyke.command import exit_codes
from rosedyke.observe import log

HELP = """Operate rosedyke, a dispatcher for sub-second tasks.

Most commands send requests to entry instances: set their operator addresses with
ROSEDYKE_INSTANCES=10.0.0.1:8081,10.0.0.2:8081. Configuration commands access the platform's
key-value service: set its URLs with ROSEDYKE_STORE.
"""

EPILOGUE = """First steps: `rosedyke check team.toml`, `rosedyke apply team.toml --wait`,
`rosedyke submit jobs.json`, `rosedyke status`, `rosedyke burn`. docs/COMMANDS.md lists every
command and exit code.
"""

# In the order shown by --help.
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
    """Return the command-line application with all commands."""
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


def run(arguments: list[str]) -> int:
    """Run one command and return its exit code."""
    try:
        exit_code = build()(arguments)
    except cyclopts.CycloptsError:
        # Cyclopts has printed the error.
        return exit_codes.USAGE
    except KeyboardInterrupt:
        return exit_codes.FAILED
    except BrokenPipeError:
        # The reader of the output has exited, for example `head`.
        sys.stderr.close()
        return exit_codes.OK
    return exit_code if isinstance(exit_code, int) else exit_codes.OK


def main() -> None:
    """Run the command given on the command line."""
    # Some commands share code with the daemon, which runs on eventlet.
    warnings.filterwarnings("ignore", message=r"[\s\S]*Eventlet is deprecated")
    # Warnings of library code must not mix with the output of the command.
    log.configure("error", log.Format.TEXT)
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
