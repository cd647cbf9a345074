"""Describe processes from ``/proc`` (Linux), to tell why one is late.

A process that waits for the processor, one that is blocked in the kernel, and a machine that was
paused look the same from outside: nothing happens.  The figures here differ.
"""

import os
import pathlib

PROC = pathlib.Path("/proc")
CLOCK_TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")
# Positions in /proc/<pid>/stat after the command name.
STATE, SESSION, MAJOR_FAULTS, NICE, START_TICKS, POLICY = 0, 3, 9, 16, 19, 38
# Position of the stolen time in the first line of /proc/stat.
STEAL = 8


def read(path: pathlib.Path) -> str:
    """Return the content of a file of ``/proc``, or nothing if it can't be read."""
    try:
        return path.read_text(errors="replace").strip()
    except OSError:
        return ""


def stat_fields(pid: int) -> list[str]:
    """Return the fields of ``/proc/<pid>/stat`` that follow the command name."""
    return read(PROC / str(pid) / "stat").rpartition(")")[2].split()


def processor_times(pid: int) -> tuple[float, float]:
    """Return seconds that the threads of a process ran, and were runnable without a processor."""
    ran_ns = waited_ns = 0
    for path in (PROC / str(pid) / "task").glob("*/schedstat"):
        fields = read(path).split()
        if len(fields) >= 2:
            ran_ns += int(fields[0])
            waited_ns += int(fields[1])
    return ran_ns / 1e9, waited_ns / 1e9


def thread_states(pid: int) -> list[str]:
    """Return state and kernel wait channel of each thread, such as ``S:futex_wait_queue``."""
    states = []
    for task in sorted((PROC / str(pid) / "task").glob("*")):
        fields = read(task / "stat").rpartition(")")[2].split()
        if fields:
            states.append(f"{fields[STATE]}:{read(task / 'wchan') or '0'}")
    return states


def open_files(pid: int) -> list[str]:
    """Return the targets of the open file descriptors of a process."""
    targets = []
    for path in sorted((PROC / str(pid) / "fd").glob("*"), key=lambda path: int(path.name)):
        try:
            targets.append(f"{path.name}={os.readlink(path)}")
        except OSError:
            continue
    return targets


def describe_process(pid: int) -> str:
    """Return one line about a process: age, use of the processors, threads and files."""
    fields = stat_fields(pid)
    if not fields:
        return "does not exist"
    uptime_s = float(read(PROC / "uptime").split()[0])
    age_s = uptime_s - int(fields[START_TICKS]) * CLOCK_TICK_S
    ran_s, waited_s = processor_times(pid)
    return (
        f"age_s={age_s:.2f} ran_s={ran_s:.2f} waited_for_processor_s={waited_s:.2f}"
        f" major_faults={fields[MAJOR_FAULTS]} processors={processors_text(pid)}"
        f" session={fields[SESSION]} nice={fields[NICE]} policy={fields[POLICY]}"
        f" threads={','.join(thread_states(pid))} files={','.join(open_files(pid))}"
    )


def processors_text(pid: int) -> str:
    """Return the processors that a process may run on, such as ``0,1,2,3``."""
    try:
        return ",".join(map(str, sorted(os.sched_getaffinity(pid))))
    except OSError:
        return "unknown"


def describe_machine() -> str:
    """Return lines about the pressure on the machine and on the processors of this process."""
    own_processors = os.sched_getaffinity(0)
    sessions: dict[str, int] = {}
    for path in PROC.glob("[0-9]*"):
        fields = stat_fields(int(path.name))
        try:
            shares_processor = own_processors & os.sched_getaffinity(int(path.name))
        except OSError:
            continue
        if fields and fields[STATE] == "R" and shares_processor:
            sessions[fields[SESSION]] = sessions.get(fields[SESSION], 0) + 1
    runnable = " ".join(f"{session}:{count}" for session, count in sorted(sessions.items()))
    stolen_s = int(read(PROC / "stat").split()[STEAL]) * CLOCK_TICK_S
    pressures = "".join(
        f"{resource} pressure: {read(PROC / 'pressure' / resource).partition(chr(10))[0]}\n"
        for resource in ("cpu", "io", "memory")
    )
    return (
        f"load={read(PROC / 'loadavg')} stolen_s={stolen_s:.2f}\n{pressures}"
        f"runnable processes on processors {processors_text(0)} by session: {runnable or 'none'}"
    )
