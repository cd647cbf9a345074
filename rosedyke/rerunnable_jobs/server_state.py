"""An owner's view of one backend server: its runs, free capacity and lease.

Capacity is freed only when the server lists a run as ended, not by a stop command or a lost reply,
because servers do not enforce their capacity themselves.
"""

import enum

import attrs

from rosedyke.rerunnable_jobs import job, owned_job, ports, settings

# Minimum progress from which the end of a run is extrapolated; servers report whole percent.
MIN_PROGRESS_PERCENT = 5
# The server may have stood still for most of a longer time between two listings.  Overdue runs, of
# which stalled ones are a part, are listed in half of this.
MAX_LISTING_GAP_S = 0.2
# An overdue run is expected to continue for this fraction of its run time so far.
OVERDUE_FRACTION = 0.15


class RunState(enum.Enum):
    """State of a run as known to the owner."""

    STARTING = "starting"  # start command sent
    STARTED = "started"  # confirmed by the server
    STOPPING = "stopping"  # still takes up capacity
    ORPHAN = "orphan"  # found on the server, but no holder has claimed it yet


@attrs.define(eq=False)
class Run:
    """One run of a task on one server.

    Attributes
    ----------
    task, number
        Identify the run.
    demand : Demand or None
        Its resources; None for an orphan, whose server accepts no tasks until it is resolved.
    owned : OwnedJob or None
        The job that it was started or adopted for, even if that has ended; None for an orphan.
    created_at : float
        When it was placed or, for an orphan, found.
    lease_end_ms : int
        Deadline of its start command, on the server's clock.
    confirmed_at : float or None
        When the server confirmed the start.  If a listing that was requested later does not
        contain the run, it is over.
    percent : int
        Progress.
    progress_at : float
        When ``percent`` last increased.
    unchanged_s : float
        How long listings have shown the same ``percent``.  Each interval between two listings
        counts as ``MAX_LISTING_GAP_S`` at most, and the time since the last one does not count.
    initial_percent : int
        Progress when the run was confirmed; may exceed 0 for an orphan.
    is_over : bool
        Its lease has expired, so its task may start elsewhere.  Its capacity is freed by the next
        listing; a listing that shows it running revokes this.
    """

    task: str
    number: int
    demand: job.Demand | None
    state: RunState
    created_at: float
    estimate_s: float = 0.0
    lease_end_ms: int = 0
    confirmed_at: float | None = None
    percent: int = 0
    progress_at: float = 0.0
    unchanged_s: float = 0.0
    initial_percent: int = 0
    is_over: bool = False
    owned: owned_job.OwnedJob | None = None

    @property
    def key(self) -> tuple[str, int]:
        """The key that identifies the run on the server."""
        return (self.task, self.number)

    def expected_end(self, run_time_s: float) -> float:
        """Return when the run is expected to end, by its progress if there is enough.

        Parameters
        ----------
        run_time_s : float
            Run time by the caller's estimate and the speed of the server.
        """
        gained_percent = self.percent - self.initial_percent
        if self.confirmed_at is None or gained_percent < MIN_PROGRESS_PERCENT:
            return self.created_at + run_time_s
        remaining_share = (100 - self.percent) / gained_percent
        return self.progress_at + remaining_share * (self.progress_at - self.confirmed_at)

    def remaining_s(self, run_time_s: float, now: float) -> float:
        """Return the expected remaining run time.

        An overdue run was underestimated, so it is not expected to end at once.
        """
        remaining_s = self.expected_end(run_time_s) - now
        return max(remaining_s, OVERDUE_FRACTION * (now - self.created_at))


@attrs.define(eq=False)
class ServerState:
    """An owner's view of one server.

    Attributes
    ----------
    server : Server
        The platform's entry.
    runs : dict of (str, int) to Run
        All runs that may exist on the server.
    acknowledged : int
        Number of the last processed end.
    is_synced : bool
        A listing has arrived since the server was last unresponsive, so ``runs`` is complete.
    is_fenced : bool
        The server has seen this owner's token, so earlier owners can start nothing there.
    clock_ms, clock_at
        The server's clock in the last listing, and the local time when it arrived.
    lease_until : float
        When the lease ends that this owner or an earlier one may have given, by the local clock.
    last_contact_at : float
        When the server last answered.
    last_read_at : float
        When its listing was last requested outside the long poll.
    suspended_until : float
        The server gets no tasks before this time.
    failing_until : float
        When a suspension because of repeated failed runs ends, which a successor keeps up.
    has_lease_lapsed : bool
        The lease expired while commands were unanswered.  It is not renewed until they are
        resolved, or the renewal would extend runs started by delayed commands.
    is_unlisted : bool
        The platform no longer lists the server.
    cold_until : float
        Until when it is slow after its start; it gets one task at a time.
    failures : int
        Consecutive failed runs.
    failed_polls : int
        Consecutive polls without a listing, since the entry last changed.
    """

    server: ports.Server
    runs: dict[tuple[str, int], Run] = attrs.Factory(dict)
    acknowledged: int = 0
    is_synced: bool = False
    is_fenced: bool = False
    born_ms: int = 0
    clock_ms: int = 0
    clock_at: float = 0.0
    lease_until: float = 0.0
    last_contact_at: float = 0.0
    last_read_at: float = 0.0
    suspended_until: float = 0.0
    failing_until: float = 0.0
    has_lease_lapsed: bool = False
    is_unlisted: bool = False
    cold_until: float = 0.0
    failures: int = 0
    failed_polls: int = 0

    def allocated(self) -> job.Demand:
        """Return the total demand of all known runs."""
        millicores = memory_mb = accelerators = 0
        for run in self.runs.values():
            if run.demand is not None:
                millicores += run.demand.millicores
                memory_mb += run.demand.memory_mb
                accelerators += run.demand.accelerators
        return job.Demand(millicores, memory_mb, accelerators)

    def free_millicores(self) -> int:
        """Return the unallocated millicores, 0 while orphans make them unknown."""
        if self.has_orphans():
            return 0
        return max(0, self.server.capacity.millicores - self.allocated().millicores)

    def has_orphans(self) -> bool:
        """Return whether there is a run whose demand is unknown."""
        # Called for every server on each pass of the scheduler; a generator takes twice as long.
        for run in self.runs.values():  # noqa: SIM110
            if run.demand is None:
                return True
        return False

    def accepts_tasks(self, now: float, contact_s: float) -> bool:
        """Return whether new tasks may be placed on the server."""
        return (
            self.is_synced
            and not self.server.is_draining
            and not self.server.is_evacuated
            and not (self.is_cold(now) and self.runs)
            and not self.has_lease_lapsed
            and not self.is_unlisted
            and self.is_capacity_current()
            and now >= self.suspended_until
            and now < self.lease_until
            and now - self.last_contact_at <= contact_s
            and not self.has_orphans()
        )

    def suspend_for_failures(self, until: float) -> None:
        """Give the server no tasks before a time because its runs fail."""
        self.failing_until = until
        self.suspended_until = max(self.suspended_until, until)

    def expects_start(self, run: Run) -> bool:
        """Return whether the start command of a placed run may still be sent.

        Between the placement and the command, a lapsed lease may requeue the task, or the job may
        be cancelled.
        """
        is_known = self.runs.get(run.key) is run
        return is_known and run.state is RunState.STARTING and not run.is_over

    def update_entry(self, server: ports.Server, now: float) -> None:
        """Apply a changed entry of the platform."""
        self.server, self.cold_until = server, now + server.cold_s
        self.failed_polls = 0

    def is_cold(self, now: float) -> bool:
        """Return whether the server is still slow after its start."""
        return now < self.cold_until

    def is_capacity_current(self) -> bool:
        """Return whether the platform's entry belongs to the server's current incarnation.

        A server may restart under its name with fewer cores, so the old entry's capacity cannot be
        used.
        """
        return not self.born_ms or self.server.born_ms in (0, self.born_ms)

    def lease_end_ms(self, now: float, timing: settings.RerunSettings) -> int | None:
        """Return when a lease that is renewed now expires, on the server's clock.

        A lease applies to all runs on the server, so it is bounded by the holder that was not heard
        from for the longest time.  Returns None if it must not be renewed, because the holder of an
        orphan may have failed before the previous owner.
        """
        heard_at = None
        for run in self.runs.values():
            if run.owned is None:
                return None
            if heard_at is None or run.owned.heard_at < heard_at:
                heard_at = run.owned.heard_at
        if heard_at is None:
            heard_at = now
        lease_end = min(now + timing.lease_s, heard_at + timing.holder_lease_s)
        self.lease_until = max(self.lease_until, lease_end)
        return int(self.clock_ms + (lease_end - self.clock_at) * 1000)

    def on_fenced(self, now: float, timing: settings.RerunSettings) -> None:
        """Allow for the lease that an earlier owner may have given until the first listing."""
        self.lease_until = max(self.lease_until, now + timing.lease_s)

    def is_lease_over(self, now: float, timing: settings.RerunSettings) -> bool:
        """Return whether the lease has expired, so that no run can be left."""
        return now - self.lease_until > timing.lease_end_s - timing.lease_s

    def clear_lapse(self) -> None:
        """Allow lease renewals again once every command sent before the lapse is resolved."""
        if self.has_lease_lapsed and self.is_synced:
            unconfirmed = (run.confirmed_at is None for run in self.runs.values())
            self.has_lease_lapsed = any(unconfirmed)

    def on_restart(self, born_ms: int, requested_at: float) -> list[Run]:
        """Reset the state for a new incarnation and return the runs that ended with the old one.

        Runs whose start was not confirmed before the listing was requested are kept, because the
        new incarnation may still execute the command.  A lapse of the lease lasts until they are
        resolved, as without a restart.
        """
        ended_runs = [
            run
            for run in self.runs.values()
            if run.confirmed_at is not None and run.confirmed_at < requested_at
        ]
        for run in ended_runs:
            del self.runs[run.key]
        self.acknowledged = 0
        self.born_ms = born_ms
        self.is_synced = self.is_fenced = False
        self.failures = 0
        return ended_runs

    def apply_listing(
        self, listing: ports.RunListing, requested_at: float, now: float
    ) -> tuple[list[tuple[Run | None, ports.EndedRun]], list[Run]]:
        """Update the state from a listing.

        Parameters
        ----------
        requested_at : float
            When the listing was requested; runs confirmed later may be missing from it.

        Returns
        -------
        list of (Run or None, EndedRun)
            The new ends, each with its run if known.
        list of Run
            Runs that disappeared without a listed end.
        """
        previous_at = self.clock_at
        self.clock_ms, self.clock_at = listing.clock_ms, now
        self.last_contact_at = now
        self.is_synced = self.is_fenced = True
        ended = self._apply_ends(listing)
        listed_runs = {(active.task, active.run): active for active in listing.running}
        vanished = []
        for run in list(self.runs.values()):
            if run.key in listed_runs:
                self._update_progress(run, listed_runs[run.key], previous_at, now)
            elif run.confirmed_at is not None and run.confirmed_at < requested_at:
                vanished.append(self.runs.pop(run.key))
        for key in listed_runs:
            if key not in self.runs:
                percent = listed_runs[key].percent
                self.runs[key] = Run(
                    *key,
                    None,
                    RunState.ORPHAN,
                    now,
                    confirmed_at=now,
                    percent=percent,
                    progress_at=now,
                    initial_percent=percent,
                )
        return ended, vanished

    def _apply_ends(self, listing):
        ended = []
        for end in listing.ended:
            if end.number > self.acknowledged:
                ended.append((self.runs.pop((end.task, end.run), None), end))
        self.acknowledged = max([self.acknowledged, *(end.number for end in listing.ended)])
        return ended

    @staticmethod
    def _update_progress(run, active, previous_at, now):
        if run.confirmed_at is None:
            run.confirmed_at = now
        if active.percent > run.percent or not run.progress_at:
            run.percent, run.progress_at, run.unchanged_s = active.percent, now, 0.0
        else:
            interval_s = now - max(previous_at, run.confirmed_at)
            run.unchanged_s += min(interval_s, MAX_LISTING_GAP_S)
        run.is_over = False
        if run.state is RunState.STARTING:
            run.state = RunState.STARTED
