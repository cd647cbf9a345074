"""Suspicion of members: further probes and time to refute it before a member is declared dead."""

from rosedyke.membership import (
    events,
    isolation,
    messages,
    metrics,
    probe,
    protocol_state,
    record,
    steps,
)
from rosedyke.observe import event, metric, step

# Multiple of ``suspicion_s`` after which a suspicion received from another member expires; usually
# the first suspecting member declares the death earlier.
INDIRECT_SUSPICION_FACTOR = 2.0
REPROBE_PERIOD_S = 0.2


class Suspicions:
    """Tracks suspected members of the local data centre until they refute or are declared dead."""

    def __init__(
        self,
        shared_state: protocol_state.ProtocolState,
        prober: probe.Prober,
        own_isolation: isolation.Isolation,
    ):
        self.protocol = shared_state
        self.prober = prober
        self.isolation = own_isolation
        self.active: set[tuple[str, int, int]] = set()
        prober.on_probe_failed = self.begin
        shared_state.record_observers.append(self.on_record)
        shared_state.rejoin_hooks.append(self.active.clear)

    def begin(self, target: record.Record) -> None:
        """Suspect a member after a failed probe and spread the suspicion."""
        suspected = target.as_suspected()
        metric.count(metrics.SUSPICIONS)
        self._start(suspected, self.protocol.options.suspicion_s, self._reprobe)
        self.protocol.put(suspected)

    def on_record(self, new_record: record.Record) -> None:
        """Track a member suspected by another, in case that other member dies too."""
        self.isolation.discard_resolved(new_record)
        if (
            new_record.is_suspected
            and not new_record.is_dead
            and new_record.peer.data_centre == self.protocol.data_centre
        ):
            duration = INDIRECT_SUSPICION_FACTOR * self.protocol.options.suspicion_s
            self._start(new_record, duration, self._wait_then_reprobe)

    def _start(self, suspected, duration_s, wait_for_refutation):
        key = (suspected.name, suspected.peer.incarnation, suspected.counter)
        if key not in self.active:
            self.active.add(key)
            self.protocol.runtime.spawn(self._run, key, suspected, duration_s, wait_for_refutation)

    def _run(self, key, suspected, duration_s, wait_for_refutation):
        own = self.protocol.own.peer
        started_at = self.protocol.runtime.now()
        wait_for_refutation(suspected, own, duration_s)
        self.active.discard(key)
        if not self._is_current(suspected, own):
            return
        # After a pause of this process, the elapsed time is no evidence against the member.
        if self.protocol.last_stall_at is not None and self.protocol.last_stall_at >= started_at:
            self.on_record(suspected)
            return
        has_evidence = self.isolation.may_declare_dead(suspected)
        if not self._is_current(suspected, own):
            return
        if not has_evidence:
            self._start(suspected, REPROBE_PERIOD_S, self._reprobe)
            return
        metric.count(metrics.DEATHS)
        event.log(events.MEMBER_DEAD, name=suspected.name)
        step.reach(steps.DEATH_DECLARED, own.name)
        self._declare_dead(suspected.as_dead())

    def _declare_dead(self, dead):
        self.protocol.put(dead)
        # Gossip takes a few periods to reach all members, during which callers would wait for the
        # dead member.  Deaths are rare enough for a message to each.
        for other in self.protocol.others():
            self.protocol.send(other.peer, messages.Push(messages.Gossip((dead,))))

    def _wait_then_reprobe(self, suspected, own, duration_s):
        self.protocol.runtime.sleep(duration_s)
        self._reprobe(suspected, own, REPROBE_PERIOD_S)

    def _reprobe(self, suspected, own, duration_s):
        """Probe until the member refutes the suspicion or a probe fails after the deadline."""
        runtime = self.protocol.runtime
        deadline = runtime.now() + duration_s
        while self._is_current(suspected, own):
            # The probe carries the suspicion, which the member refutes in its answer.
            answered = self.prober.reaches(suspected)
            if not answered and runtime.now() >= deadline:
                return
            runtime.sleep(REPROBE_PERIOD_S)

    def _is_current(self, suspected, own):
        if not self.protocol.is_running or self.protocol.own.peer != own:
            return False
        return self.protocol.table.find(suspected.name) == suspected
