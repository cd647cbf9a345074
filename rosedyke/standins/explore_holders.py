"""Seeded random trials of rerunnable jobs that their callers send again while instances fail.

A trial builds a region, lets callers send jobs, give up and send them again, causes one or more
troubles meanwhile, and checks the guarantees that callers rely on.  The same seed gives the same
trial.  ``python -m rosedyke.standins.explore_holders COUNT FIRST_SEED`` prints a table.
"""

import collections
import random
import sys

import attrs

from rosedyke.rerunnable_jobs import job, job_registrar, messages
from rosedyke.standins import pausable_node, rerun_region, virtual
from rosedyke.wire import peer

STARTUP_S = 1.5
# The caller's delay before it sends a job again.
RETRY_S = 1.3
# A trouble ends, and the last request of a caller arrives, before this time.
ACTIVE_S = 9.0
MAX_ATTEMPTS = 4
MAX_LATE_S = 4.0
MAX_CLOSE_S = 3.0
# An answer may follow the end of the caller's timeout by this much.
ANSWER_MARGIN_S = 0.1
# Runs go on for at most this long after the last caller has gone: its holder and a holder that
# joined it are noticed as lost one after the other, and the lease on the runs ends.
UNWANTED_RUN_S = 2.5
# How long a caller waits for the acknowledgement of a cancellation.
ACK_TIMEOUT_S = 4.0
# After a cancellation no task starts once its messages have been delivered.
CANCELLED_START_S = 0.5
# Two holders that could not reach each other, nor a common instance, know of each other this long
# after that has ended.
GAP_S = 0.6
# Claims and ended jobs are kept for less than this after the last caller's timeout.
DRAIN_S = job_registrar.CLAIM_S + 2 * job_registrar.EXPIRY_INTERVAL_S
TIMEOUT_S = 6.0
# Part of a server's capacity is free in every trial, so that jobs start at once.
SERVERS = 4
KINDS = (
    "none",
    "busy",
    "killed",
    "restarted",
    "paused",
    "cut between instances",
    "cut between data centres",
    "cut from servers",
    "cut from instances and servers",
    "cut off entirely",
    "cut in one direction",
    "store unavailable",
    "messages lost",
    "messages late",
    "registrar killed at a claim",
    "cancelled before it arrives",
)


class PausableGateway:
    """Implements ``ports.ServerGateway``; replies reach an instance once it is not paused."""

    def __init__(self, gateway, pause_state: pausable_node.PauseState):
        self.gateway = gateway
        self.pause_state = pause_state
        self.disconnect = gateway.disconnect

    def start(self, *arguments) -> None:
        """Start a run."""
        self._call(self.gateway.start, *arguments)

    def stop(self, *arguments) -> None:
        """Stop a run."""
        self._call(self.gateway.stop, *arguments)

    def renew_lease(self, *arguments):
        """Renew the lease and list the active and ended runs."""
        return self._call(self.gateway.renew_lease, *arguments)

    def _call(self, function, *arguments):
        try:
            return function(*arguments)
        finally:
            self.pause_state.wait()


class PausableRegion(rerun_region.Region):
    """A region of instances that can be paused; a killed one runs no further task.

    Attributes
    ----------
    paused : list of (str, float, float)
        Name of each paused instance, and the start and end of its pause.
    """

    def __init__(self, sizes: dict[str, int], **settings):
        self.pause_states: dict[str, pausable_node.PauseState] = {}
        self.paused: list[tuple[str, float, float]] = []
        super().__init__(sizes, **settings)

    def runtime_and_peers(self, own: peer.Peer):
        """Return the runtime and the peers of a new instance."""
        pause_state = self.pause_states[own.name] = pausable_node.PauseState(self.runtime)
        return (
            pausable_node.NodeRuntime(self.runtime, pause_state),
            pausable_node.NodePeers(self.network, own, pause_state),
        )

    def gateway(self, name: str, delay) -> PausableGateway:
        """Return the gateway of a new instance to the servers."""
        return PausableGateway(super().gateway(name, delay), self.pause_states[name])

    def kill(self, name: str) -> None:
        """End an instance's process without notice."""
        self.members.pop(name).peers.crash()
        self.pause_states[name].suspend()

    def pause(self, name: str, seconds: float) -> None:
        """Stop an instance's process for a time."""
        pause_state, now = self.pause_states[name], self.runtime.now()
        if pause_state.resumed is not None:
            return
        self.paused.append((name, now, now + seconds))
        pause_state.suspend()
        self.runtime.spawn(self._resume, pause_state, seconds)

    def _resume(self, pause_state, seconds):
        self.runtime.sleep(seconds)
        if any(pause_state is self.pause_states[name] for name in self.members):
            pause_state.resume()


@attrs.define(eq=False)
class Attempt:
    """One request of a caller for its job.

    Attributes
    ----------
    arrives_at : float
        When the request arrives at the instance.
    gone_at : float
        When the caller's interest certainly ends at that instance: its close arrives, it has the
        outcome, or the instance is killed; infinity before.
    is_waiting : bool
        The caller waits for this attempt.
    """

    name: str
    member: rerun_region.Member
    disconnected: virtual.VirtualSignal
    answered: virtual.VirtualSignal
    arrives_at: float
    outcome: job.Outcome | None = None
    gone_at: float = float("inf")
    is_waiting: bool = True
    has_arrived: bool = False


@attrs.define(eq=False)
class Caller:
    """A caller of one job."""

    work: job.Job
    attempts: list[Attempt] = attrs.Factory(list)
    cancelled_at: float | None = None
    ended_at: float | None = None


@attrs.frozen
class Report:
    """What one trial has found.

    Attributes
    ----------
    violations : tuple of str
        Invariants of the servers that did not hold.
    in_gap : tuple of str
        Those of two holders in reach of no common instance, which the protocol does not cover.
    findings : tuple of str
        Other guarantees that did not hold.
    """

    seed: int
    kinds: tuple[str, ...]
    violations: tuple[str, ...]
    in_gap: tuple[str, ...]
    findings: tuple[str, ...]
    jobs: int
    answers: dict[str, int]


class Trial:
    """One trial.

    Parameters
    ----------
    kinds : sequence of str
        The troubles that occur.
    """

    def __init__(self, seed: int, kinds: tuple[str, ...]):
        self.random = random.Random(seed)
        self.seed = seed
        self.kinds = kinds
        sizes = self._sizes()
        self.region = PausableRegion(sizes, servers=SERVERS, seed=seed)
        self.region.runtime.shuffle = self.random.random() < 0.5
        self.runtime = self.region.runtime
        self.callers: list[Caller] = []
        self.findings: list[str] = []
        self.violations: list[str] = []
        self.in_gap: list[str] = []
        self.disjoint: dict[frozenset, float] = {}
        self.loss_rate = self.late_rate = 0.0
        self.kills_registrar = False
        self.is_partitioned = False
        self.backend_on_start = self.region.backend.on_start
        self.region.backend.on_start = self._on_start
        self.region.network.delay_s = self._delay_s

    def _sizes(self):
        data_centres = "abc"[: self.random.choice((1, 2, 2, 3, 3))]
        count = self.random.randint(max(2, len(data_centres)), 9)
        sizes = dict.fromkeys(data_centres, 1)
        for _ in range(count - len(data_centres)):
            sizes[self.random.choice(data_centres)] += 1
        return sizes

    def run(self) -> Report:
        """Run the trial."""
        self.region.run(STARTUP_S)
        for number in range(self.random.randint(2, 5)):
            work = self._job(f"j{number}")
            self.callers.append(Caller(work))
            self.runtime.spawn(self._send, self.callers[-1])
        for kind in self.kinds:
            self.runtime.spawn(self._cause, kind)
        self.runtime.spawn(self._watch)
        while any(caller.ended_at is None for caller in self.callers):
            self.region.run(0.5)
        self.region.run(max(0.0, self._last_deadline() - self.runtime.now()) + DRAIN_S)
        self._check_leaks()
        answers = collections.Counter(
            attempt.outcome.end.value if attempt.outcome else "none"
            for caller in self.callers
            for attempt in caller.attempts
        )
        return Report(
            self.seed,
            self.kinds,
            tuple(self.violations),
            tuple(self.in_gap),
            tuple(self.findings),
            len(self.callers),
            dict(answers),
        )

    def _last_deadline(self):
        arrivals = [a.arrives_at for caller in self.callers for a in caller.attempts]
        return max(arrivals) + TIMEOUT_S

    # Callers.

    def _job(self, job_id):
        generator = self.random
        duration_s = generator.choice((0.2, 0.6, generator.uniform(0.2, 3.0), 2.5))
        self.region.backend.durations[job_id] = duration_s
        count = generator.choice((1, 6, generator.randint(1, 12)))
        step = job.Step(count, job.Demand(1000, 64), duration_s)
        objective_s = 1.6 * duration_s + 1.0
        return job.Job(
            job_id, "tags", rerun_region.SERVICE, "{}", (step,), 0, 3, objective_s, TIMEOUT_S
        )

    def _send(self, caller):
        """Send a job until it has an outcome; the last attempt is not given up."""
        generator = self.random
        self.runtime.sleep(generator.uniform(0.0, 1.5))
        for number in range(1, MAX_ATTEMPTS + 1):
            patience_s = generator.choice(
                (generator.uniform(0.02, 0.3), generator.uniform(0.1, 2.5), 2 * TIMEOUT_S)
            )
            if number == MAX_ATTEMPTS:
                patience_s = 2 * TIMEOUT_S
            attempt = self._send_once(caller, patience_s)
            if attempt is None:
                break
            attempt.answered.wait(patience_s)
            attempt.is_waiting = False
            outcome = attempt.outcome
            if outcome is None and attempt.gone_at == float("inf"):
                self._close(attempt)
            elif outcome is not None and outcome.end is job.EndState.REFUSED:
                if generator.random() < 0.5:
                    continue  # at once: nothing was started
                break
            elif outcome is not None and outcome.end is not job.EndState.LOST:
                break
            if caller.cancelled_at is not None:
                break
            self.runtime.sleep(RETRY_S)
        caller.ended_at = self.runtime.now()

    def _send_once(self, caller, patience_s):
        if not self.region.members:
            return None
        name = self.random.choice(sorted(self.region.members))
        late_s = self.random.choice((0.0005, 0.0005, self.random.uniform(0.0, MAX_LATE_S)))
        if patience_s < TIMEOUT_S and self.random.random() < 0.4:
            # Shortly before or after the request that is sent again.
            late_s = max(0.0, patience_s + RETRY_S + self.random.uniform(-0.12, 0.06))
        signal = pausable_node.NodeSignal(self.runtime, self.region.pause_states[name])
        attempt = Attempt(
            name,
            self.region.members[name],
            signal,
            self.runtime.signal(),
            self.runtime.now() + late_s,
        )
        caller.attempts.append(attempt)
        self.runtime.spawn(self._arrive, caller, attempt, self.region.pause_states[name])
        return attempt

    def _arrive(self, caller, attempt, pause_state):
        self.runtime.sleep(attempt.arrives_at - self.runtime.now())
        if self.region.members.get(attempt.name) is not attempt.member:
            self._break_off(attempt)
            return
        attempt.has_arrived = True
        attempt.gone_at = min(attempt.gone_at, attempt.arrives_at + TIMEOUT_S)
        pause_state.wait()
        began_at = self.runtime.now()
        outcome = attempt.member.node.run(caller.work, attempt.disconnected)
        pause_state.wait()
        now = self.runtime.now()
        if self.region.members.get(attempt.name) is not attempt.member:
            return  # killed meanwhile
        attempt.outcome = outcome
        attempt.gone_at = min(attempt.gone_at, now)
        self._check_answer(caller, attempt, began_at)
        attempt.answered.set()

    def _close(self, attempt):
        """Let the caller's close arrive at the holder a while later, or never."""
        if self.random.random() < 0.25:
            return
        delay_s = self.random.choice((0.001, 0.04, self.random.uniform(0.0, MAX_CLOSE_S)))
        self.runtime.spawn(self._arrive_close, attempt, delay_s)

    def _arrive_close(self, attempt, delay_s):
        closes_at = max(self.runtime.now(), attempt.arrives_at) + delay_s
        self.runtime.sleep(closes_at - self.runtime.now())
        attempt.gone_at = min(attempt.gone_at, self.runtime.now())
        attempt.disconnected.set()

    def _break_off(self, attempt):
        """Tell the caller that its connection to a killed instance is lost."""
        attempt.gone_at = min(attempt.gone_at, self.runtime.now())
        attempt.answered.set()

    # Troubles.

    def _cause(self, kind):
        generator = self.random
        self.runtime.sleep(generator.uniform(0.0, 3.0))
        seconds = generator.choice((0.3, 0.8, generator.uniform(0.2, 4.0)))
        method = {
            "none": lambda seconds: None,
            "busy": self._be_busy,
            "killed": lambda seconds: self._kill(self._any_member()),
            "restarted": self._restart,
            "paused": lambda seconds: self._pause(),
            "cut between instances": lambda seconds: self._cut(seconds, self._group()),
            "cut between data centres": self._cut_data_centre,
            "cut from servers": self._cut_servers,
            "cut from instances and servers": self._cut_both,
            "cut off entirely": self._cut_entirely,
            "cut in one direction": lambda seconds: self._cut(seconds, self._group(), True),
            "store unavailable": self._lose_store,
            "messages lost": lambda seconds: self._disturb("loss_rate", seconds),
            "messages late": lambda seconds: self._disturb("late_rate", seconds),
            "registrar killed at a claim": self._arm_registrar,
            "cancelled before it arrives": self._cancel,
        }[kind]
        method(seconds)

    def _any_member(self):
        return self.random.choice(sorted(self.region.members))

    def _holder_or_any(self):
        """Return an instance that callers have chosen lately, or any."""
        names = [caller.attempts[-1].name for caller in self.callers if caller.attempts]
        names = [name for name in names if name in self.region.members]
        if names and self.random.random() < 0.6:
            return self.random.choice(names)
        return self._any_member()

    def _group(self):
        names = sorted(self.region.members)
        return self.random.sample(names, self.random.randint(1, max(1, len(names) // 2)))

    def _be_busy(self, seconds):
        self.runtime.spawn_delay_s = self.random.uniform(0.001, 0.03)
        self.runtime.sleep(seconds)
        self.runtime.spawn_delay_s = 0.0

    def _kill(self, name):
        if len(self.region.members) < 2 or name not in self.region.members:
            return None
        member = self.region.members[name]
        self.region.kill(name)
        for caller in self.callers:
            for attempt in caller.attempts:
                if attempt.member is member and attempt.outcome is None and attempt.has_arrived:
                    self._break_off(attempt)
        return member

    def _restart(self, seconds):
        member = self._kill(self._holder_or_any())
        if member is not None:
            self.runtime.sleep(self.random.uniform(0.05, 1.5))
            self.region.add(member.own.name, member.own.data_centre, member.own.address)

    def _pause(self):
        self.region.pause(self._holder_or_any(), self.random.uniform(0.3, 3.0))

    def _cut(self, seconds, group, is_one_way=False):
        others = [name for name in self.region.members if name not in group]
        cut = {(a, b) for a in group for b in others}
        if not is_one_way:
            cut |= {(b, a) for a, b in cut}
        self.is_partitioned = True
        self.region.network.cut |= cut
        self.runtime.sleep(seconds)
        self.region.network.cut -= cut

    def _cut_data_centre(self, seconds):
        data_centre = self.random.choice(
            sorted({member.own.data_centre for member in self.region.members.values()})
        )
        members = self.region.members.items()
        group = [name for name, member in members if member.own.data_centre == data_centre]
        servers = self._servers(data_centre)
        far = [server for server in self.region.backend.servers if server not in servers]
        others = [name for name, _ in members if name not in group]
        partitioned = {(name, server) for name in group for server in far}
        partitioned |= {(name, server) for name in others for server in servers}
        self._partition_servers(seconds, partitioned)
        self._cut(seconds, group)

    def _servers(self, data_centre):
        servers = self.region.backend.servers.values()
        return [s.listed.id for s in servers if s.listed.data_centre == data_centre]

    def _partition_servers(self, seconds, partitioned):
        self.is_partitioned = True
        self.region.backend.partitioned |= partitioned

        def heal():
            self.runtime.sleep(seconds)
            self.region.backend.partitioned -= partitioned

        self.runtime.spawn(heal)

    def _cut_servers(self, seconds):
        servers = sorted(self.region.backend.servers)
        servers = self.random.sample(servers, self.random.randint(1, len(servers)))
        partitioned = {(name, server) for name in self._group() for server in servers}
        self._partition_servers(seconds, partitioned)

    def _cut_both(self, seconds):
        group = self._group()
        partitioned = {(name, server) for name in group for server in self.region.backend.servers}
        self._partition_servers(seconds, partitioned)
        self._cut(seconds, group)

    def _cut_entirely(self, seconds):
        name = self._holder_or_any()
        self.region.members[name].listed.reachable = False
        partitioned = {(name, server) for server in self.region.backend.servers}
        self._partition_servers(seconds, partitioned)
        self._cut(seconds, [name])
        if name in self.region.members:
            self.region.members[name].listed.reachable = True

    def _lose_store(self, seconds):
        members = [self.region.members[name] for name in self._group()]
        for member in members:
            member.listed.reachable = False
        self.runtime.sleep(seconds)
        for member in members:
            member.listed.reachable = True

    def _disturb(self, attribute, seconds):
        self.is_partitioned = True
        setattr(self, attribute, self.random.choice((0.1, 0.3, 0.6)))
        self.runtime.sleep(seconds)
        setattr(self, attribute, 0.0)

    def _arm_registrar(self, seconds):
        self.kills_registrar = True

    def _cancel(self, seconds):
        """Cancel a job by any instance, as its caller does before the request has arrived."""
        callers = [caller for caller in self.callers if caller.cancelled_at is None]
        caller = self.random.choice(callers)
        while not caller.attempts:
            self.runtime.sleep(0.05)
        if caller.ended_at is not None:
            return
        name = self._any_member()
        caller.cancelled_at = self.runtime.now()

        def cancel(pause_state, member):
            pause_state.wait()
            member.node.cancel(caller.work.id, ACK_TIMEOUT_S)

        self.runtime.spawn(cancel, self.region.pause_states[name], self.region.members[name])

    def _delay_s(self, source, target, message):
        if self.kills_registrar and isinstance(message, messages.ClaimJob):
            self.kills_registrar = False
            self.runtime.spawn(self._kill_later, target.name, self.random.choice((0.0, 0.0008)))
        if self.loss_rate and self.random.random() < self.loss_rate:
            return None
        if self.late_rate and self.random.random() < self.late_rate:
            return self.random.uniform(0.0, 2.0)
        return self.random.uniform(0.0003, 0.003)

    def _kill_later(self, name, seconds):
        self.runtime.sleep(seconds)
        self._kill(name)

    # Checks.

    def _on_start(self, server, run):
        backend, count = self.region.backend, len(self.region.backend.violations)
        self.backend_on_start(server, run)
        caller = self._caller_of(run.task)
        now = self.runtime.now()
        for violation in backend.violations[count:]:
            in_gap = " runs on " in violation and self._is_gap(caller)
            (self.in_gap if in_gap else self.violations).append(violation)
        is_undisturbed = not self.is_partitioned and not self.region.paused
        is_cancelled = caller.cancelled_at is not None
        if is_cancelled and is_undisturbed and now > caller.cancelled_at + CANCELLED_START_S:
            self.findings.append(f"{now:.3f}: {run.task} starts after its cancellation")

    def _caller_of(self, task):
        job_id = job.job_id(task)
        return next(caller for caller in self.callers if caller.work.id == job_id)

    def _is_gap(self, caller):
        """Return whether two holders of a job were out of reach of each other and of any other."""
        names = {attempt.name for attempt in caller.attempts if attempt.has_arrived}
        first_at = min(attempt.arrives_at for attempt in caller.attempts)
        return any(pair <= names and last_at >= first_at for pair, last_at in self.disjoint.items())

    def _watch(self):
        """Check regularly for runs that no caller waits for, and for holders without contact."""
        while True:
            self.runtime.sleep(0.05)
            now = self.runtime.now()
            if self.region.network.cut:
                self._record_disjoint(now)
            for caller in self.callers:
                self._check_unwanted(caller, now)

    def _record_disjoint(self, now):
        names = sorted(self.region.members)
        cut = self.region.network.cut

        def reach(a, b):
            return a == b or not {(a, b), (b, a)} & cut

        for index, a in enumerate(names):
            for b in names[index + 1 :]:
                if not any(reach(a, c) and reach(b, c) for c in names):
                    self.disjoint[frozenset((a, b))] = now

    def _runs_of(self, caller):
        return [
            (server.listed.id, run)
            for server in self.region.backend.servers.values()
            for run in server.runs.values()
            if job.job_id(run.task) == caller.work.id
        ]

    def _check_unwanted(self, caller, now):
        if not caller.attempts or caller.ended_at is None and caller.attempts[-1].is_waiting:
            return
        gone_at = max(
            attempt.gone_at if attempt.has_arrived else attempt.arrives_at
            for attempt in caller.attempts
        )
        paused_s = sum(end - start for _, start, end in self.region.paused)
        if now <= gone_at + UNWANTED_RUN_S + paused_s:
            return
        for server, run in self._runs_of(caller):
            finding = f"{run.task} runs on {server} without a caller since {gone_at:.3f}"
            if not any(finding in known for known in self.findings):
                self.findings.append(f"{now:.3f}: {finding}")

    def _check_answer(self, caller, attempt, began_at):
        now, outcome = self.runtime.now(), attempt.outcome
        label = f"{now:.3f}: {caller.work.id} at {attempt.name}"
        pauses = [p for p in self.region.paused if p[0] == attempt.name]
        paused_s = sum(end - start for _, start, end in pauses)
        if attempt.is_waiting and now > began_at + TIMEOUT_S + ANSWER_MARGIN_S + paused_s:
            self.findings.append(f"{label}: answered {now - began_at:.2f} s after its request")
        if outcome.end is not job.EndState.REFUSED:
            return
        runs = self._runs_of(caller)
        if runs:
            servers = sorted(server for server, _ in runs)
            self.findings.append(f"{label}: refused ({outcome.reason}) while it runs on {servers}")
        elif len(caller.attempts) == 1:
            starts = self.region.backend.starts
            if any(job.job_id(task) == caller.work.id for _, task, _ in starts):
                self.findings.append(f"{label}: refused ({outcome.reason}) although it has run")

    def _check_leaks(self):
        for name, member in self.region.members.items():
            holder = member.node.holder
            single = holder.single_holder
            kept = {
                "jobs": holder.jobs,
                "ended jobs": single.ended,
                "claims": member.node.registrar.claims,
            }
            for label, entries in kept.items():
                if entries:
                    self.findings.append(f"{name} still has {label}: {sorted(entries)}")


def kinds_of(seed: int) -> tuple[str, ...]:
    """Return the troubles of a trial: one of each kind in turn, or several."""
    if seed % 2:
        return (KINDS[seed // 2 % len(KINDS)],)
    generator = random.Random(f"kinds {seed}")
    return tuple(generator.sample(KINDS[1:], generator.randint(2, 3)))


def run_trial(seed: int) -> Report:
    """Run the trial of a seed."""
    return Trial(seed, kinds_of(seed)).run()


def table(reports: list[Report]) -> str:
    """Return how many trials of each kind had violations and findings."""
    by_kind = collections.defaultdict(list)
    for report in reports:
        by_kind[report.kinds[0] if len(report.kinds) == 1 else "several"].append(report)
    lines = ["kind: trials, with violations, with violations in the gap, with findings"]
    for kind in (*KINDS, "several"):
        of_kind = by_kind[kind]
        counts = [
            sum(bool(entries) for entries in column)
            for column in (
                [report.violations for report in of_kind],
                [report.in_gap for report in of_kind],
                [report.findings for report in of_kind],
            )
        ]
        lines.append(f"{kind}: {len(of_kind)}, {', '.join(map(str, counts))}")
    return "\n".join(lines)


def main(count: int, first_seed: int) -> None:
    """Run trials, print those that found something, and a table."""
    reports = []
    for seed in range(first_seed, first_seed + count):
        report = run_trial(seed)
        reports.append(report)
        if report.violations or report.in_gap or report.findings:
            print(seed, report.kinds, report.answers, flush=True)
            for label in ("violations", "in_gap", "findings"):
                for entry in getattr(report, label)[:3]:
                    print("   ", label, entry, flush=True)
    print(table(reports))
    answers = collections.Counter()
    for report in reports:
        answers.update(report.answers)
    print(dict(answers))


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
