"""The daemon's entry point: settings, signals and the exit code."""

import signal
import sys
import warnings
from typing import Annotated

# eventlet warns about its deprecation on import; docs/ARCHITECTURE.md explains why it is used.
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
instance down gracefully; a second one stops it immediately and fails the jobs in progress. SIGHUP
begins a graceful shutdown too, but never ends one.
docs/SETTINGS.md explains each setting.
"""


def build() -> cyclopts.App:
    """Return the command-line application."""
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
    """Run one entry instance until it is shut down."""
    try:
        instance_settings = settings.parse(arguments)
    except settings.SettingsError as error:
        log.configure("info", log.Format.TEXT)
        for fault_text in error.faults:
            event.log(events.SETTINGS_FAULT, fault=fault_text)
        return USAGE
    log.configure(instance_settings.log_level, instance_settings.log_format)
    return run(instance_settings)


def run(instance_settings: settings.InstanceSettings) -> int:
    """Run an instance and return the exit code."""
    # Must be imported after eventlet.monkey_patch().
    from rosedyke.daemon import instance

    try:
        entry_instance = instance.Instance(instance_settings)
    except fault.RosedykeError as error:
        event.log(events.START_FAILED, error=error)
        return START_FAILED
    shutdown = entry_instance.shutdown
    actions = {
        signal.SIGTERM: shutdown.request,
        signal.SIGINT: shutdown.request,
        signal.SIGHUP: shutdown.begin,
    }
    eventlet.spawn_n(signals.watch, actions)
    entry_instance.start()
    return OK if entry_instance.run() else FORCED


def main() -> None:
    """Run the daemon."""
    eventlet.monkey_patch()
    try:
        exit_code = build()(sys.argv[1:])
    except cyclopts.CycloptsError:
        exit_code = USAGE
    sys.exit(exit_code)


if __name__ == "__main__":
    main()
