"""The entry instance as a process: settings, start-up, shutdown and wiring of its components."""
