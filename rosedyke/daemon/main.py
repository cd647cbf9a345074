"""The daemon's entry point: settings, signals and the exit code."""

import os
import signal
import sys
import warnings
from typing import Annotated

# eventlet announces its deprecation on import; docs/ARCHITECTURE.md says why it is used.
warnings.filterwarnings("ignore", message=r"[\s\S]*Eventlet is deprecated")

import cyclopts  # noqa: E402
import eventlet  # noqa: E402
import eventlet.hubs  # noqa: E402

from rosedyke import fault  # noqa: E402
from rosedyke.daemon import argument, events, settings  # noqa: E402
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
    eventlet.spawn_n(watch_signals, built.shutdown.request)
    built.start()
    return OK if built.run() else FORCED


def watch_signals(on_stop) -> None:
    """Call ``on_stop`` for each SIGTERM and SIGINT.

    A handler runs inside whatever the process does, also inside the event loop's wait, which it
    can't end.  So the handler does nothing, and the signal's number comes through a pipe that the
    loop waits for like for a socket.
    """
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    os.set_blocking(writing, False)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda received, frame: None)
    signal.set_wakeup_fd(writing)
    while True:
        eventlet.hubs.trampoline(reading, read=True)
        for number in os.read(reading, 16):
            if number in (signal.SIGTERM, signal.SIGINT):
                on_stop()


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
