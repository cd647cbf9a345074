"""The entry instance as a process: settings, start, drain and assembly of the parts."""
