"""Keeps the cancellations that callers are told of where they outlive every instance.

A cancellation stops its job at once, wherever the job is.  It is acknowledged once it is stored,
because a caller may send the job again after all instances have restarted.
"""

import attrs

from rosedyke import runtime as runtime_module
from rosedyke.observe import event, metric
from rosedyke.rerunnable_jobs import events, fan_out, messages, metrics, ports

# In a large fleet, few instances write at the same time.
MAX_WRITE_INTERVAL_S = 0.2
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5
# How long the store is waited for before other instances are asked, and between two questions.
LEARN_INTERVAL_S = 0.2
# Instances that are asked if the store rejects this one.
HELPERS = 2
HELP_TIMEOUT_S = 1.0
# An answer of the store this long after a write contains it.
SETTLED_S = 5.0
# A cancellation is stored again at most this often while its job is submitted again.
PROLONG_INTERVAL_S = 60.0


@attrs.frozen
class Cancelled:
    """The result of a cancellation.

    Attributes
    ----------
    was_held : bool
        The job was held at this instance.
    is_stored : bool
        It outlives the processes of all instances.
    """

    was_held: bool
    is_stored: bool


@attrs.define(eq=False)
class Waiting:
    """A cancellation that is to be stored.

    Attributes
    ----------
    stored : Signal
        Set once it is stored.
    expires_at : float
        It is needed until then.
    """

    stored: runtime_module.Signal
    expires_at: float


class Cancellations:
    """Stores the cancellations of one instance's callers, and applies those of all instances.

    Parameters
    ----------
    node : Node
        The instance.
    store : CancellationStore
        Where they are kept.

    Attributes
    ----------
    waiting : dict of str to Waiting
        Cancellations that are not stored yet, in the order of their arrival, by job id.
    written_at : dict of str to float
        When this instance, or another one for it, last stored a cancellation, by job id.
    known : frozenset of str or None
        The stored cancellations, as last read; None until the store was read.
    is_learned : bool
        Another instance, which knew them, has told them.
    started_at : float
        When this instance began to read them.
    """

    def __init__(self, node, store: ports.CancellationStore):
        self.node = node
        self.runtime: runtime_module.Runtime = node.runtime
        self.store = store
        self.waiting: dict[str, Waiting] = {}
        self.written_at: dict[str, float] = {}
        self.known: frozenset[str] | None = None
        self.is_learned = False
        self.started_at = self.runtime.now()
        self.is_failing = False
        self.wake = self.runtime.signal()
        store.subscribe(self.on_stored)

    def are_known(self) -> bool:
        """Return whether jobs may be accepted.

        An instance that can't learn them from the store or another instance accepts jobs after a
        while nevertheless, so that a data centre that is cut off goes on serving; it is in touch
        with the platform no sooner than with the store.
        """
        waited_s = self.runtime.now() - self.started_at
        return self._has_list() or waited_s >= self.node.timing.cancellations_wait_s

    def _has_list(self):
        return self.known is not None or self.is_learned

    def learn(self) -> None:
        """Ask other instances for the cancellations until they are known."""
        self.runtime.sleep(LEARN_INTERVAL_S)
        while not self._has_list():
            replies = fan_out.request_all(
                self.runtime,
                self.node.peers,
                self._helpers(),
                messages.FetchCancellations(),
                HELP_TIMEOUT_S,
            )
            for reply in replies:
                if reply.job_ids is not None:
                    self.is_learned = True
                    for job_id in reply.job_ids:
                        self.node.apply_cancellation(job_id)
            self.runtime.sleep(LEARN_INTERVAL_S)

    def on_fetch(self) -> messages.KnownCancellations:
        """Tell another instance what this one knows."""
        if not self._has_list():
            return messages.KnownCancellations(None)
        registrar = self.node.registrar
        return messages.KnownCancellations(tuple(registrar.stored | registrar.cancelled.keys()))

    def keep(self, job_id: str, timeout_s: float) -> bool:
        """Block until a cancellation is stored, and return whether it is.

        If not, this instance goes on trying.
        """
        waiting = self._enqueue(job_id)
        return waiting.stored.wait(timeout_s)

    def prolong(self, job_id: str) -> None:
        """Keep a cancellation for longer, because its job was submitted again."""
        written_s = self.runtime.now() - self.written_at.get(job_id, float("-inf"))
        if written_s >= PROLONG_INTERVAL_S:
            self._enqueue(job_id)

    def _enqueue(self, job_id):
        waiting = self.waiting.get(job_id)
        if waiting is None:
            expires_at = self.runtime.now() + self.node.timing.cancellations_kept_s
            waiting = self.waiting[job_id] = Waiting(self.runtime.signal(), expires_at)
            self.wake.set()
        return waiting

    def run(self) -> None:
        """Store what is waiting, many at a time, until the task is cancelled."""
        backoff_s, next_write_at = INITIAL_BACKOFF_S, float("-inf")
        while True:
            if not self.waiting:
                self.wake.wait()
            self.wake = self.runtime.signal()
            # Those that arrive meanwhile share the write.
            self.runtime.sleep(max(0.0, next_write_at - self.runtime.now()))
            next_write_at = self.runtime.now() + self._write_interval_s()
            batch = tuple(self.waiting)[: self.store.batch_size]
            if not batch:
                continue
            if self._write(batch) or self._let_others_write(batch):
                backoff_s = INITIAL_BACKOFF_S
                self._on_written(batch)
                continue
            self._remove_expired()
            self.runtime.sleep(backoff_s * (0.5 + self.runtime.random()))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def _write_interval_s(self):
        """Return this instance's share of the rate at which all may write."""
        instances = 1 + len(self.node.fleet.instances())
        return min(MAX_WRITE_INTERVAL_S, instances / self.node.timing.cancellation_writes_per_s)

    def _write(self, job_ids):
        """Store cancellations; return whether they are stored."""
        try:
            self.store.write(job_ids)
        except ports.CancellationsNotStored as error:
            metric.count(metrics.CANCELLATIONS_NOT_STORED, len(job_ids))
            if not self.is_failing:
                self.is_failing = True
                event.log(events.CANCELLATIONS_NOT_STORED, jobs=len(job_ids), error=error)
            return False
        if self.is_failing:
            self.is_failing = False
            event.log(events.CANCELLATIONS_STORED_AGAIN)
        return True

    def _let_others_write(self, job_ids):
        """Let other instances store cancellations, as the store may reject only this one."""
        message = messages.StoreCancellations(job_ids)
        replies = fan_out.request_all(
            self.runtime, self.node.peers, self._helpers(), message, HELP_TIMEOUT_S
        )
        return any(reply.are_stored for reply in replies)

    def _helpers(self):
        """Return other instances to ask, those with recent contact first."""
        fleet = self.node.fleet
        return sorted(
            fleet.instances().values(),
            key=lambda instance: (not fleet.is_alive(instance.name), self.runtime.random()),
        )[:HELPERS]

    def on_help(self, message: messages.StoreCancellations) -> messages.CancellationsStored:
        """Store cancellations for an instance that the store rejects."""
        return messages.CancellationsStored(self._write(message.job_ids))

    def _on_written(self, job_ids):
        now = self.runtime.now()
        for job_id in job_ids:
            self.written_at.pop(job_id, None)  # the dictionary is in the order of the times
            self.written_at[job_id] = now
            self.waiting.pop(job_id).stored.set()
        self._forget_written(now)

    def _forget_written(self, now):
        kept_s = self.node.timing.cancellations_kept_s
        while self.written_at:
            job_id, written_at = next(iter(self.written_at.items()))
            if now - written_at < kept_s:
                return
            del self.written_at[job_id]

    def _remove_expired(self):
        now = self.runtime.now()
        for job_id, waiting in list(self.waiting.items()):
            if waiting.expires_at <= now:
                del self.waiting[job_id]

    def on_stored(self, job_ids: frozenset[str]) -> None:
        """Apply the stored cancellations; called with all of them after each answer."""
        known = self.known or frozenset()
        self.known = self.node.registrar.stored = job_ids
        for job_id in job_ids - known:
            self.node.apply_cancellation(job_id)
        now = self.runtime.now()
        self._forget_written(now)
        for job_id, written_at in self.written_at.items():
            # Its lease has ended early, as leases may while the store is down.
            if job_id not in job_ids and now - written_at >= SETTLED_S:
                self._enqueue(job_id)
