"""Statistics of response times, and files of benchmark results."""

import datetime
import json
import os
import pathlib
import platform
import statistics
import subprocess


def percentile(ordered: list[float], share: float) -> float:
    """Return a quantile of sorted values; ``share`` is in [0, 1]."""
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 3)


def compare_responses(responses, reference, warm_up) -> dict:
    """Return percentiles and the mean of response time over reference, after the warm-up."""
    pairs = [
        (measured, ideal)
        for measured, ideal in list(zip(responses, reference, strict=True))[warm_up:]
        if measured is not None
    ]
    if not pairs:
        return {}
    ratios = sorted(measured / ideal for measured, ideal in pairs)
    measured = [response for response, _ in pairs]
    ideal = [response for _, response in pairs]
    return {
        "p50": percentile(ratios, 0.5),
        "p90": percentile(ratios, 0.9),
        "p99": percentile(ratios, 0.99),
        "mean_over_mean": round(statistics.fmean(measured) / statistics.fmean(ideal), 3),
        "worst_s": round(max(measured), 2),
        "ideal_worst_s": round(max(ideal), 2),
    }


def completed_work_s(jobs, responses) -> float:
    """Return the total run time at speed 1 of the jobs with a complete answer."""
    return sum(
        sum(arrival.run_s)
        for arrival, response in zip(jobs, responses, strict=True)
        if response is not None
    )


def commit() -> str:
    """Return the current commit, with ``-dirty`` if the working tree has changes."""
    head = git("rev-parse", "--short", "HEAD")
    changed = git("status", "--porcelain", "--", "rosedyke", "benchmarks/*.py")
    return f"{head}-dirty" if changed else head


def git(*arguments: str) -> str:
    """Return the output of a git command."""
    completed = subprocess.run(["git", *arguments], capture_output=True, text=True, check=True)
    return completed.stdout.strip()


def save_results(path: pathlib.Path, cases: dict, **conditions) -> None:
    """Merge results into a file, each with the commit and machine of the run."""
    path.parent.mkdir(exist_ok=True)
    results = json.loads(path.read_text()) if path.exists() else {}
    record = {
        "commit": commit(),
        "machine": f"{platform.machine()}, {os.cpu_count()} processors",
        "load_average": [round(load, 1) for load in os.getloadavg()],
        "at": datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
        **conditions,
    }
    for name, case_result in cases.items():
        results[name] = {**record, **case_result}
    path.write_text(json.dumps(results, indent=1) + "\n")
