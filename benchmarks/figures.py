"""Figures from responses, and where they are kept."""

import datetime
import json
import os
import pathlib
import platform
import statistics
import subprocess


def percentile(ordered: list[float], share: float) -> float:
    """Return the value that a share of sorted values does not pass."""
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 3)


def compare(responses, reference, warm) -> dict:
    """Return percentiles of response over reference, and of means, after the warm-up."""
    pairs = [
        (mine, best)
        for mine, best in list(zip(responses, reference, strict=True))[warm:]
        if mine is not None
    ]
    if not pairs:
        return {}
    ratios = sorted(mine / best for mine, best in pairs)
    mine = [one for one, _ in pairs]
    best = [one for _, one in pairs]
    return {
        "p50": percentile(ratios, 0.5),
        "p90": percentile(ratios, 0.9),
        "p99": percentile(ratios, 0.99),
        "mean_over_mean": round(statistics.fmean(mine) / statistics.fmean(best), 3),
        "worst_s": round(max(mine), 2),
        "ideal_worst_s": round(max(best), 2),
    }


def whole_work(jobs, responses) -> float:
    """Return the work at speed 1 of the jobs that were answered whole."""
    return sum(
        sum(arrival.run_s)
        for arrival, response in zip(jobs, responses, strict=True)
        if response is not None
    )


def commit() -> str:
    """Return the commit that is measured, marked if its code differs from the files."""
    head = git("rev-parse", "--short", "HEAD")
    changed = git("status", "--porcelain", "--", "rosedyke", "benchmarks/*.py")
    return f"{head}-dirty" if changed else head


def git(*words: str) -> str:
    """Return what a git command prints."""
    done = subprocess.run(["git", *words], capture_output=True, text=True, check=True)
    return done.stdout.strip()


def save(path: pathlib.Path, cases: dict, **conditions) -> None:
    """Keep figures with the commit and the machine they are of; other cases there stay."""
    path.parent.mkdir(exist_ok=True)
    kept = json.loads(path.read_text()) if path.exists() else {}
    record = {
        "commit": commit(),
        "machine": f"{platform.machine()}, {os.cpu_count()} processors",
        "load_average": [round(one, 1) for one in os.getloadavg()],
        "at": datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
        **conditions,
    }
    for name, row in cases.items():
        kept[name] = {**record, **row}
    path.write_text(json.dumps(kept, indent=1) + "\n")
