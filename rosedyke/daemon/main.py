"""The daemon's entry point: settings, signals and the exit code."""

import signal
import sys
import warnings
from typing import Annotated

# eventlet announces its deprecation on import; docs/ARCHITECTURE.md says why it is used.
warnings.filterwarnings("ignore", message=r"[\s\S]*Eventlet is deprecated")

import cyclopts  # noqa: E402
import eventlet  # noqa: E402

from rosedyke import fault  # noqa: E402
from rosedyke.daemon import argument, events, settings, signals  # noqa: E402
from rosedyke.observe import event, log  # noqa: E402

OK = 0
FORCED = 1
USAGE = 2
START_FAILED = 3

DEFAULTS = argument.Arguments()

HELP = """Run one entry instance of rosedyke.

Every setting is a flag and an environment variable ROSEDYKE_*. SIGTERM or SIGINT shuts the
instance down gracefully; a second one ends it at once, with truthful failures for what still runs.
docs/SETTINGS.md explains each setting.
"""


def build() -> cyclopts.App:
    """Return the command line."""
    app = cyclopts.App(
        name="rosedyked",
        help=HELP,
        config=cyclopts.config.Env("ROSEDYKE_", command=False),
        result_action="return_value",
        exit_on_error=False,
    )
    app.default(serve)
    return app


def serve(
    arguments: Annotated[argument.Arguments, cyclopts.Parameter(name="*")] = DEFAULTS,
) -> int:
    """Run one entry instance until it is told to stop."""
    try:
        checked = settings.check(arguments)
    except settings.SettingsError as error:
        log.configure("info", log.Format.TEXT)
        for each in error.faults:
            event.log(events.SETTINGS_FAULT, fault=each)
        return USAGE
    log.configure(checked.log_level, checked.log_format)
    return run(checked)


def run(checked: settings.InstanceSettings) -> int:
    """Run an instance and return the exit code."""
    # Imported here, after the sockets are patched.
    from rosedyke.daemon import instance

    try:
        built = instance.Instance(checked)
    except fault.RosedykeError as error:
        event.log(events.START_FAILED, error=error)
        return START_FAILED
    stop = built.shutdown.request
    eventlet.spawn_n(signals.watch, {signal.SIGTERM: stop, signal.SIGINT: stop})
    built.start()
    return OK if built.run() else FORCED


def main() -> None:
    """Run the daemon."""
    eventlet.monkey_patch()
    try:
        code = build()(sys.argv[1:])
    except cyclopts.CycloptsError:
        code = USAGE
    sys.exit(code)


if __name__ == "__main__":
    main()
