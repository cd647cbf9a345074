"""From suspicion to death: a suspected member gets time and further probes to be heard."""

from rosedyke.membership import (
    core,
    events,
    isolation,
    messages,
    metrics,
    probe,
    record,
    steps,
)
from rosedyke.observe import event, metric, step

# How much longer a member waits that only heard of a suspicion; usually the death that the first
# suspector declares arrives before.
HEARSAY_FACTOR = 2.0
VERIFY_PERIOD_S = 0.2


class Suspicions:
    """Watches each suspected member of the own data centre until it is heard or declared dead."""

    def __init__(self, shared: core.Core, prober: probe.Prober, isolated: isolation.Isolation):
        self.core = shared
        self.prober = prober
        self.isolation = isolated
        self.watched: set[tuple[str, int, int]] = set()
        prober.on_missed = self.begin
        shared.observers.append(self.observe)
        shared.restart_hooks.append(self.watched.clear)

    def begin(self, missed: record.Record) -> None:
        """Suspect a member that the own probes missed, and let everyone know."""
        suspected = missed.suspected()
        metric.count(metrics.SUSPICIONS)
        self._start(suspected, self.core.options.suspicion_s, self._verify)
        self.core.put(suspected)

    def observe(self, new: record.Record) -> None:
        """Watch a member that another one suspects, in case that one dies too."""
        self.isolation.heard_of(new)
        if new.is_suspected and not new.is_dead and new.peer.data_centre == self.core.data_centre:
            duration = HEARSAY_FACTOR * self.core.options.suspicion_s
            self._start(new, duration, self._wait_then_verify)

    def _start(self, suspected, duration_s, watch):
        key = (suspected.name, suspected.peer.incarnation, suspected.counter)
        if key not in self.watched:
            self.watched.add(key)
            self.core.runtime.spawn(self._watch, key, suspected, duration_s, watch)

    def _watch(self, key, suspected, duration_s, watch):
        own = self.core.own.peer
        began = self.core.runtime.now()
        watch(suspected, own, duration_s)
        self.watched.discard(key)
        if not self._holds(suspected, own):
            return
        # After a stall of the own loop, the time that passed says nothing about the member.
        if self.core.last_stall is not None and self.core.last_stall >= began:
            self.observe(suspected)
            return
        is_proved = self.isolation.may_declare_dead(suspected)
        if not self._holds(suspected, own):
            return
        if not is_proved:
            self._start(suspected, VERIFY_PERIOD_S, self._verify)
            return
        metric.count(metrics.DEATHS)
        event.log(events.MEMBER_DEAD, name=suspected.name)
        step.reach(steps.DEATH_DECLARED, own.name)
        self._declare_dead(suspected.dead())

    def _declare_dead(self, dead):
        self.core.put(dead)
        # Gossip alone takes a few periods to reach everyone, in which callers would wait for the
        # dead one; deaths are rare enough for a message to each.
        for other in self.core.others():
            self.core.send(other.peer, messages.Push(messages.Gossip((dead,))))

    def _wait_then_verify(self, suspected, own, duration_s):
        self.core.runtime.sleep(duration_s)
        self._verify(suspected, own, VERIFY_PERIOD_S)

    def _verify(self, suspected, own, duration_s):
        """Probe until the member is heard or the time is over."""
        runtime = self.core.runtime
        deadline = runtime.now() + duration_s
        while self._holds(suspected, own):
            # The probe carries the suspicion, so that the member refutes it with its answer.
            answered = self.prober.reaches(suspected)
            if not answered and runtime.now() >= deadline:
                return
            runtime.sleep(VERIFY_PERIOD_S)

    def _holds(self, suspected, own):
        if not self.core.is_running or self.core.own.peer != own:
            return False
        return self.core.table.find(suspected.name) == suspected
