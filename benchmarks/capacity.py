"""Write docs/CAPACITY.md: what each role needs at the target size, from measured slopes.

    python -m benchmarks.capacity

Reads ``benchmarks/results`` and measures nothing itself; ``make slopes`` measures all and then runs
this.  Every figure on the page is either read from a result or follows from one by the arithmetic
that stands here.
"""

import json
import pathlib

import attrs

RESULTS = pathlib.Path(__file__).resolve().parent / "results"
PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"

# The target.
WORKERS = 15_000
STARTS_S = 620_000
TEAMS = 88
REGIONS = 8
DATA_CENTRES = 28
CHANGES_A_DAY = 13_000
RESTARTS_A_DAY = 5_800
CONTROL_CPU_PERCENT = 1.2
CONTROL_MB = 128
CONTROL_KB_S = 9
STORE_READS_S = 2_000
IN_FORCE_S = 18
DAY_S = 86_400

# Decisions of the plan, not measurements.
USED_SHARE = 0.6  # of an instance's core, so that a lost neighbour's load fits
JOB_SIZES = (1, 30, 300)
COPIES_OF_A_CLAIM = 3  # two registrars and the holder
CLAIM_LIFE_S = 120
KEPT_ANSWERS_MB = 32
SHARD_SERVERS = 64
BURST = 10  # changes come this many times faster than on average


def load(name: str) -> dict:
    """Return one kept result."""
    return json.loads((RESULTS / f"{name}.json").read_text())


@attrs.frozen
class Costs:
    """Processor milliseconds, as measured.

    Attributes
    ----------
    task : float
        One task inside one instance: slot, HTTP both ways, bookkeeping.
    job : float
        One job inside one instance: HTTP from the caller, claim, answer.
    claim : float
        Claiming at two registrars, all instances together.
    message : float
        One message between instances, both ends: half of a first attempt's claim.
    messages_a_task : float
        Between holder and owner, at load 0.8.
    """

    task: float
    job: float
    claim: float
    message: float
    messages_a_task: float


def costs() -> Costs:
    """Return the costs that follow from the results.

    Jobs of 1 and of 300 give two equations for the cost of a task and of a job.
    """
    entry = load("entry_cost")
    one = entry["jobs_of_1"]["processor_ms_per_task"]
    many = entry["jobs_of_300"]["processor_ms_per_task"]
    job = (one - many) / (1 - 1 / 300)
    claim = load("claims_cost")["loopback, 6 instances in one process"]["first attempt"]
    claim_ms = claim["processor_ms_all_instances"]
    messages = load("load-press-line")["load-0.8"]["messages_per_task"]
    return Costs(one - job, job, claim_ms, claim_ms / 2, messages)


@attrs.frozen
class Fleet:
    """The fleet that the target needs with jobs of one size."""

    job_size: int
    ms_a_task: float
    instances: int
    jobs_s_each: float
    claims_mb: float
    total_mb: float


def fleet(job_size: int, cost: Costs, base_mb: float) -> Fleet:
    """Return the fleet for one size of jobs."""
    ms = cost.task + cost.messages_a_task * cost.message + (cost.job + cost.claim) / job_size
    instances = round(STARTS_S * ms / 1000 / USED_SHARE)
    jobs_s = STARTS_S / job_size / instances
    bytes_a_claim = load("claims_cost")["memory"]["bytes_each"]
    claims_mb = jobs_s * CLAIM_LIFE_S * COPIES_OF_A_CLAIM * bytes_a_claim / 1e6
    return Fleet(job_size, ms, instances, jobs_s, claims_mb, base_mb + claims_mb + KEPT_ANSWERS_MB)


def verdict(value: float, budget: float) -> str:
    """Return whether a value is inside its budget, in words."""
    return "inside" if value <= budget else "**missed**"


def render() -> str:
    """Return the whole page."""
    cost = costs()
    control = load("control_cost")
    members = load("membership_cost")
    spread = load("configuration_spread")["results"][-1]
    sets = load("configuration_size")["sets"][-1]
    claims = load("claims_cost")
    entry = load("entry_cost")
    largest = control["rows"][-1]
    base_mb = largest["resident_mb"] + sets["memory_mb"]
    fleets = [fleet(size, cost, base_mb) for size in JOB_SIZES]
    middle = fleets[1]
    fleet_rows = "\n".join(
        f"| {one.job_size} | {one.ms_a_task:.2f} | {one.instances:,} | "
        f"{one.instances / DATA_CENTRES:.0f} | {one.instances / REGIONS:.0f} | "
        f"{one.jobs_s_each:.0f} | {one.claims_mb:.1f} | {one.total_mb:.0f} |"
        for one in fleets
    )
    control_rows = "\n".join(
        f"| {row['instances']} | {row['cpu_percent']} | {row['kilobytes_s']} | "
        f"{row['messages_s']} | {row['resident_mb']} |"
        for row in control["rows"]
    )
    workers_region = WORKERS / REGIONS
    starts_shard = STARTS_S / WORKERS * SHARD_SERVERS
    owner_ms = cost.messages_a_task * cost.message / 2
    owner_share = starts_shard * owner_ms / 1000
    idle_calls = spread["store_calls_a_second_idle"] / spread["data_centres"] * DATA_CENTRES
    change_calls = spread["store_calls_a_change"] / spread["data_centres"] * DATA_CENTRES
    changes_s = CHANGES_A_DAY / DAY_S
    calls_s = idle_calls + change_calls * changes_s
    burst_s = idle_calls + change_calls * changes_s * BURST
    member = next(row for row in members["rows"] if row["size"] == 48)
    restart_every_s = DAY_S / (RESTARTS_A_DAY / DATA_CENTRES)
    join_percent = 100 * claims["join"]["processor_s"] / restart_every_s
    commits = ", ".join(
        f"{name} {load(name)['commit'][:7]}"
        for name in ("entry_cost", "claims_cost", "membership_cost", "control_cost")
    )
    return f"""# Capacity

What the target size needs, role by role: {WORKERS:,} backend servers, {STARTS_S:,} task starts a second in jobs of up to 300,
{TEAMS} teams, {REGIONS} regions with {DATA_CENTRES} data centres, {CHANGES_A_DAY:,} changes a day in force within {IN_FORCE_S} s,
{RESTARTS_A_DAY:,} instances restarted a day. Budget for control on one instance: {CONTROL_CPU_PERCENT}% of a core, {CONTROL_MB} MB, {CONTROL_KB_S} KB/s.

`make slopes` measures the slopes on one machine (real processes on loopback, stand-ins for store and backend servers) and writes this
page from `benchmarks/results/` by `benchmarks/capacity.py`, where the arithmetic stands. Nothing of the target size was run. What is
extrapolated is said to be. Results are of these commits: {commits}.

## How many instances

Measured: {entry['jobs_of_300']['processor_ms_per_task']:.2f} ms of processor time a task through one instance in jobs of 300 and
{entry['jobs_of_1']['processor_ms_per_task']:.2f} ms in jobs of 1, so {cost.task:.2f} ms a task and {cost.job:.2f} ms a job. Claiming costs {cost.claim:.2f} ms a job over all
instances, so about {cost.message:.2f} ms a message for both ends; holder and owner exchange {cost.messages_a_task:.2f} messages a task at load 0.8.
With instances of one core used to {USED_SHARE:.0%}:

| tasks a job | ms a task | instances | a data centre | a region | jobs/s each | claims MB | memory MB |
|---|---|---|---|---|---|---|---|
{fleet_rows}

Memory is the idle instance's, with the whole intent, claims in {COPIES_OF_A_CLAIM} copies for {CLAIM_LIFE_S} s and {KEPT_ANSWERS_MB} MB of kept answers. **Jobs of one
task at the full rate are the first to pass {CONTROL_MB} MB**; a claim's life, not the fleet, is what to shorten then. Tables are bounded: past the
bound a claim is refused and the job truthfully not run.

## Control while idle

A whole instance around the demo's configuration, nothing asked of it:

| instances (3 data centres) | % of a core | KB/s sent | messages/s | MB |
|---|---|---|---|---|
{control_rows}

The share falls with the size, because relays and watchers are a fixed number for each data centre. At {largest['instances']}: {largest['cpu_percent']}% against
{CONTROL_CPU_PERCENT}% ({verdict(largest['cpu_percent'], CONTROL_CPU_PERCENT)}), {largest['kilobytes_s']} KB/s against {CONTROL_KB_S} ({verdict(largest['kilobytes_s'], CONTROL_KB_S)}),
{largest['resident_mb']} MB against {CONTROL_MB} ({verdict(largest['resident_mb'], CONTROL_MB)}). Small fleets miss the processor budget ({control['rows'][0]['cpu_percent']}% at {control['rows'][0]['instances']}). What is left is about a
hundred wake-ups a second of about 0.1 ms each: timers of the owner, the fence, the probes, and the messages.

## Roles

| role | mechanism | state at the target | messages | processor time and memory | first thing that breaks |
|---|---|---|---|---|---|
| receiver and holder | one green task a connection; HTTP straight to backend servers | jobs in progress; kept answers up to {KEPT_ANSWERS_MB} MB | {cost.messages_a_task:.1f} a task to owners, 2 to 4 a job to registrars | {cost.task:.2f} ms a task, {cost.job:.2f} ms a job | processor time in jobs of one task |
| registrar | rendezvous hashing over the data centre; memory only | {middle.jobs_s_each * CLAIM_LIFE_S * 2:,.0f} claims each in jobs of 30, {claims['memory']['bytes_each']:.0f} bytes each | 1 pair a job from each of two; 16 for a resubmission | {claims['memory']['decision_us']:.1f} µs a decision, {cost.message:.2f} ms a message | memory with jobs of one task |
| slot owner | one pool for up to {SHARD_SERVERS} servers of a service in a region, granted by lease | {workers_region:,.0f} servers a region, {workers_region / SHARD_SERVERS:.0f} pools or more | {starts_shard:,.0f} starts/s for a full pool | about {owner_share:.2f} of a core for a full pool | **the owner's core**: pools of {SHARD_SERVERS} must shrink to {max(1, int(SHARD_SERVERS * 0.3 / owner_share))} to stay at 0.3 of a core |
| member | constant probes, gossip on probes; region-wide view | {middle.instances / REGIONS:.0f} members a region | {member['messages_sent_s']} /s at 48 members | {member['cpu_percent']}%, {member['kilobytes_sent_s']} KB/s at 48 members; the slopes over size are below zero | adverts age: {member['advert_age_s']} s at 48 members |
| relay | first two of each data centre | own data centre's members | {members['by_data_centres']['messages_sent_s']['slope']} /s for each further data centre | {members['by_data_centres']['cpu_percent']['slope']} points for each | 4 data centres a region: none |
| watcher | first two of each data centre read the store, a tree of announcements tells the rest | whole intent: {sets['memory_mb']} MB for {sets['teams']} teams, {sets['servers']:,} servers | {sets['one_change_reply_bytes']:,} bytes a change | {sets['one_change_ms']} ms a change | one file near a megabyte |
| store | compare-and-swap, watches | files, generation, history | {calls_s:.0f} calls/s, {burst_s:.0f} when changes come {BURST} times faster, of {STORE_READS_S:,}; {2 * DATA_CENTRES} watches | {changes_s:.2f} writes/s | nothing near; independent of the number of instances |
| command line | straight to the store and to instances | none | one request an instance for `status` | not measured | `status` over {middle.instances:,} instances at once |

## Changes, deaths, restarts

- **In force**: {spread['in_force_s']['p99']} s at p99 with {spread['instances']} instances on loopback ({IN_FORCE_S} s allowed). Extrapolated: a tree of a few levels in a data
  centre adds a trip each; what dominates then is a watcher's death or an outage of the store, {5} s and more.
- **A death** is known to all after {member['detection_last_s']} s at 48 members. Until then its slots stay reserved and jobs wait for it.
- **A restart** comes every {restart_every_s:.0f} s in a data centre; moving {claims['join']['claims']:,} claims costs an instance {claims['join']['processor_s']} s of processor time, so
  {join_percent:.2f}% of a core.

## Not measured

Regions of more than 48 instances, links with loss and delay, instances of different sizes, the command line, several cores, and the
wire's headers (estimated at 150 bytes a message in the KB/s above where the transport's own count was not used).

What an instance needs on the users' platform, and what does not hold there at this size, is in
[design/platform.md](design/platform.md#at-the-target-size).
"""


def main() -> None:
    """Write the page."""
    PAGE.write_text(render())
    print(f"{PAGE.name} written")


if __name__ == "__main__":
    main()
