"""One backend server as its owner knows it: what runs there, what is free, how old that is.

Room is given back only when the server lists a run as over.  A stop or a lost answer frees
nothing: a server that does not guard its own capacity would otherwise be started beyond it.
"""

import enum

import attrs

from rosedyke.rerun import job, ports, settings

# Progress is told in whole percent; less of it says too little about the rest.
MIN_PROGRESS_PERCENT = 5
# A run that should have ended goes on for this share of what it has taken so far.
OVERDUE_FRACTION = 0.15


class RunState(enum.Enum):
    """What the owner knows of a run."""

    STARTING = "starting"  # the order is on its way
    STARTED = "started"  # the server has confirmed it
    STOPPING = "stopping"  # to be stopped; still takes up room
    ORPHAN = "orphan"  # found there; no holder has claimed it yet


@attrs.define(eq=False)
class Run:
    """One run of a task on one server.

    Attributes
    ----------
    task, number
        Its name.
    demand : Demand or None
        What it takes up; None of an orphan, so its server has no room until it is settled.
    ordered_at : float
        When the order was sent or the orphan was found.
    confirmed_at : float or None
        When an answer proved that the order was carried out.  A listing that was asked for
        later and doesn't have the run proves that it is over.
    percent : int
        How much of its work is done.
    progress_at : float
        When ``percent`` last grew.
    initial_percent : int
        How much of it was done when it was confirmed; more than 0 of an orphan.
    is_over : bool
        Its lease has ended, so its task may start elsewhere; the room stays taken until the
        server lists what runs there.
    """

    task: str
    number: int
    demand: job.Demand | None
    state: RunState
    ordered_at: float
    estimate_s: float = 0.0
    confirmed_at: float | None = None
    percent: int = 0
    progress_at: float = 0.0
    initial_percent: int = 0
    is_over: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Its name on the server."""
        return (self.task, self.number)

    def expected_end(self, run_time_s: float) -> float:
        """Return when it is expected to end.

        Its own progress tells more than the caller's estimate, as soon as there is some.

        Parameters
        ----------
        run_time_s : float
            What the run would take by its estimate and the speed of the server.
        """
        gained_percent = self.percent - self.initial_percent
        if self.confirmed_at is None or gained_percent < MIN_PROGRESS_PERCENT:
            return self.ordered_at + run_time_s
        remaining_share = (100 - self.percent) / gained_percent
        return self.progress_at + remaining_share * (self.progress_at - self.confirmed_at)

    def remaining_s(self, run_time_s: float, now: float) -> float:
        """Return for how much longer it is expected to run.

        One that is overdue by its estimate has been underestimated, so it is not about to end.
        """
        remaining_s = self.expected_end(run_time_s) - now
        return max(remaining_s, OVERDUE_FRACTION * (now - self.ordered_at))


@attrs.define(eq=False)
class ServerState:
    """What one owner knows of one server.

    Attributes
    ----------
    server : Server
        As the platform lists it.
    runs : dict of (str, int) to Run
        All that may be running there.
    acknowledged : int
        The last end that was taken note of.
    is_synced : bool
        The server has answered this owner since it was last silent, so ``runs`` is whole.
    is_fenced : bool
        The server has seen this owner's token, so no earlier owner can start anything there.
    clock_ms, clock_at
        The server's clock and the own time when it said so.
    renewed_at : float
        When the last order that may have extended the lease was sent.
    last_contact_at : float
        When it last answered.
    last_read_at : float
        When its listing was last asked for beside the long poll.
    suspended_until : float
        No tasks before that.
    has_lease_lapsed : bool
        The lease was over while orders had no answer.  It is not renewed before each of them is
        settled: an order that is carried out late would come alive with it.
    is_unlisted : bool
        The platform's list no longer has the server.
    failures : int
        Runs in a row that failed there.
    """

    server: ports.Server
    runs: dict[tuple[str, int], Run] = attrs.Factory(dict)
    acknowledged: int = 0
    is_synced: bool = False
    is_fenced: bool = False
    born_ms: int = 0
    clock_ms: int = 0
    clock_at: float = 0.0
    renewed_at: float = 0.0
    last_contact_at: float = 0.0
    last_read_at: float = 0.0
    suspended_until: float = 0.0
    has_lease_lapsed: bool = False
    is_unlisted: bool = False
    failures: int = 0

    def allocated(self) -> job.Demand:
        """Return what all known runs take up."""
        millicores = memory_mb = accelerators = 0
        for run in self.runs.values():
            if run.demand is not None:
                millicores += run.demand.millicores
                memory_mb += run.demand.memory_mb
                accelerators += run.demand.accelerators
        return job.Demand(millicores, memory_mb, accelerators)

    def free_millicores(self) -> int:
        """Return the cores that no run takes up, 0 while that is unknown."""
        if self.has_orphans():
            return 0
        return max(0, self.server.capacity.millicores - self.allocated().millicores)

    def has_orphans(self) -> bool:
        """Return whether something runs here whose demand is unknown."""
        return any(run.demand is None for run in self.runs.values())

    def accepts_tasks(self, now: float, contact_s: float) -> bool:
        """Return whether new tasks may come here at all."""
        return (
            self.is_synced
            and not self.server.is_draining
            and not self.has_lease_lapsed
            and not self.is_unlisted
            and self.is_capacity_current()
            and now >= self.suspended_until
            and now - self.last_contact_at <= contact_s
            and not self.has_orphans()
        )

    def is_capacity_current(self) -> bool:
        """Return whether the platform's entry is of the incarnation that answers.

        A server can come back under its name with fewer cores; until its new entry is here it
        would be started beyond them.
        """
        return not self.born_ms or self.server.born_ms in (0, self.born_ms)

    def lease_end_ms(self, now: float, rerun_settings: settings.RerunSettings) -> int:
        """Return the end of a lease that is renewed now, on the server's clock."""
        self.renewed_at = now
        return int(self.clock_ms + (now - self.clock_at + rerun_settings.lease_s) * 1000)

    def is_lease_over(self, now: float, rerun_settings: settings.RerunSettings) -> bool:
        """Return whether nothing that was started here can still run."""
        return now - self.renewed_at > rerun_settings.lease_end_s

    def clear_lapse(self) -> None:
        """End the time after a lapsed lease once every order from before is settled."""
        if self.has_lease_lapsed and self.is_synced:
            unconfirmed = (run.confirmed_at is None for run in self.runs.values())
            self.has_lease_lapsed = any(unconfirmed)

    def on_restart(self, born_ms: int, asked_at: float) -> list[Run]:
        """Begin with a new incarnation and return the runs that ended with the old one.

        Orders that had no answer when the listing was asked for are kept: the new incarnation may
        carry them out, and a task that was placed elsewhere meanwhile would run twice.
        """
        ended_runs = [
            run
            for run in self.runs.values()
            if run.confirmed_at is not None and run.confirmed_at < asked_at
        ]
        for run in ended_runs:
            del self.runs[run.key]
        self.acknowledged = 0
        self.born_ms = born_ms
        self.is_synced = self.is_fenced = self.has_lease_lapsed = False
        self.failures = 0
        return ended_runs

    def apply_listing(
        self, listing: ports.Listing, asked_at: float, now: float
    ) -> tuple[list[tuple[Run | None, ports.Ended]], list[Run]]:
        """Take a listing in.

        Parameters
        ----------
        asked_at : float
            When it was asked for; it says nothing of orders that were answered later.

        Returns
        -------
        list of (Run or None, Ended)
            The new ends, with the run where it was known.
        list of Run
            Runs that are over without a listed end.
        """
        self.clock_ms, self.clock_at = listing.clock_ms, now
        self.last_contact_at = now
        self.is_synced = self.is_fenced = True
        ended = self._apply_ends(listing)
        listed_runs = {(active.task, active.run): active for active in listing.running}
        vanished = []
        for run in list(self.runs.values()):
            if run.key in listed_runs:
                self._note_progress(run, listed_runs[run.key], now)
            elif run.confirmed_at is not None and run.confirmed_at < asked_at:
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
    def _note_progress(run, running, now):
        if running.percent > run.percent or not run.progress_at:
            run.percent, run.progress_at = running.percent, now
        if run.state is RunState.STARTING:
            run.state = RunState.STARTED
        if run.confirmed_at is None:
            run.confirmed_at = now
