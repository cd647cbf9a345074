"""A region of entry instances on a virtual network, to explore what claims promise.

The job managers are the product's own.  The membership's views are set by the test, and the
dispatcher counts how often each task was started.
"""

import collections

import attrs

from rosedyke import runtime
from rosedyke.job import answer as answers
from rosedyke.job import claim, code, job, manager, ports, settings, submission
from rosedyke.membership import member
from rosedyke.standins import explore_node, virtual
from rosedyke.wire import peer

LIVE = member.State.LIVE
BUSY = ports.Refusal(code.Code.OVERLOADED, "busy", 1.0)


class Views:
    """Implements the membership's port with views that a test sets."""

    def __init__(self, own: peer.Peer, view: member.View):
        self.own_peer = own
        self.view = view
        self.callbacks: list = []
        self.on_leave = lambda: None

    @property
    def own(self) -> member.Member:
        """The own instance as the own view has it."""
        seen = self.view.find(self.own_peer.name)
        if seen is not None and seen.peer == self.own_peer:
            return seen
        return member.Member(self.own_peer, member.State.JOINING)

    def subscribe(self, callback) -> None:
        """Call back after each change."""
        self.callbacks.append(callback)

    def set(self, view: member.View) -> None:
        """Change to another view."""
        old, self.view = self.view, view
        for callback in self.callbacks:
            callback(old, view)

    def leave(self, timeout_s: float) -> bool:
        """Let the region see this instance as leaving."""
        self.on_leave()
        return True

    def advertise(self, topic, value) -> None:
        """Do nothing."""

    def advertised(self, name, topic):
        """Return that nothing was heard."""

    def is_confirmed(self) -> bool:
        """Return true."""
        return True

    def is_isolated(self) -> bool:
        """Return false: cuts within a data centre are not played here."""
        return False


@attrs.define
class Run:
    """One start of a task.

    Attributes
    ----------
    instance : str
        Who started it.
    time : float
        Virtual seconds.
    request : Submission
        The attempt under which it was started.
    incarnation : int
        Which life of the instance started it.
    """

    instance: str
    time: float
    request: submission.Submission
    incarnation: int = 1


@attrs.define
class Starts:
    """What the backend servers saw: every start of every task."""

    by_task: dict = attrs.Factory(lambda: collections.defaultdict(list))

    def add(self, index: int, run: Run) -> None:
        """Record a start."""
        self.by_task[(run.request.job_id, index)].append(run)

    def under(self, request: submission.Submission) -> list[Run]:
        """Return the starts of a body under an attempt or an earlier one."""
        return [
            run
            for (job_id, _), runs in self.by_task.items()
            for run in runs
            if job_id == request.job_id
            and run.request.digest == request.digest
            and number_of(run.request) <= number_of(request)
        ]

    def most(self) -> int:
        """Return the highest count of starts of one task."""
        return max((len(runs) for runs in self.by_task.values()), default=0)

    def of(self, job_id: str) -> int:
        """Return how many of a job's tasks were started at least once."""
        return sum(1 for key, runs in self.by_task.items() if key[0] == job_id and runs)


def number_of(request: submission.Submission) -> int:
    """Return an attempt's number; one without a number is later than all."""
    return claim.closing_attempt(request.attempt)


class CountingDispatcher:
    """Implements ``ports.Dispatcher``: each task takes ``task_s``, one after the other."""

    def __init__(self, clock: runtime.Runtime, starts: Starts, peers: virtual.VirtualPeers):
        self.clock = clock
        self.starts = starts
        self.peers = peers
        self.name = peers.own.name
        self.task_s = 0.05
        self.refusal = None
        self.is_crashed = False

    def check(self, request: submission.Submission):
        """Return the refusal that the test set."""
        return self.refusal

    def run(self, running: job.Job) -> None:
        """Start each task, wait, and record a result that names job, task and instance."""
        for index in range(len(running.request.tasks)):
            try:
                running.mark_sent(index)
            except job.JobClosed:
                return
            if self.is_crashed:
                return
            run = Run(self.name, self.clock.now(), running.request, self.peers.own.incarnation)
            self.starts.add(index, run)
            if self.task_s:
                self.clock.sleep(self.task_s)
            running.mark_finished(index, result_of(running.request.job_id, index))


def result_of(job_id: str, index: int) -> bytes:
    """Return the result that the counting dispatcher gives a task."""
    return f'"{job_id}/{index}"'.encode()


@attrs.define
class Call:
    """One submission by a caller, and its answer once there."""

    instance: str
    request: submission.Submission
    started: float
    answer: answers.Answer | None = None
    ended: float | None = None


@attrs.define
class Node:
    """One entry instance."""

    peer: peer.Peer
    peers: virtual.VirtualPeers
    views: Views
    dispatcher: CountingDispatcher
    jobs: manager.JobManager
    standstill: explore_node.Standstill
    is_up: bool = True
    was_paused: bool = False


class Region:
    """Entry instances of several data centres on one virtual clock.

    Parameters
    ----------
    counts : dict of str to int
        Instances by data centre; they are named ``dc1a``, ``dc1b`` and so on.
    clock : VirtualRuntime or None
        Given by an exploration that chooses the order of steps.
    """

    def __init__(self, counts: dict[str, int], clock=None, limits=None, delay_s=0.0005):
        self.clock = clock or virtual.VirtualRuntime()
        self.network = virtual.VirtualNetwork(self.clock)
        self.network.delay_s = lambda source, target, message: delay_s
        self.limits = limits or settings.JobSettings(data_centres=tuple(sorted(counts)))
        self.starts = Starts()
        self.nodes: dict[str, Node] = {}
        self.states: dict[str, member.Member] = {}
        self.ports = 0
        self.calls: list[Call] = []
        for centre, count in counts.items():
            for letter in "abcdefghijklmnopqrstuvwxyz"[:count]:
                own = self.new_peer(f"{centre}{letter}", centre, 1)
                self.states[own.name] = member.Member(own, LIVE)
        for one in list(self.states.values()):
            self.build(one.peer)

    def new_peer(self, name: str, centre: str, incarnation: int) -> peer.Peer:
        """Return an instance's identity with an address of its own."""
        self.ports += 1
        return peer.Peer(name, incarnation, centre, f"127.0.0.1:{self.ports}")

    def view(self) -> member.View:
        """Return the view that all should have."""
        return member.View(tuple(self.states[name] for name in sorted(self.states)))

    def build(self, own: peer.Peer) -> Node:
        """Start an instance with the present view."""
        standstill = explore_node.Standstill(self.clock)
        clock = explore_node.NodeClock(self.clock, standstill)
        peers = explore_node.NodePeers(self.network, own, standstill)
        views = Views(own, self.view())
        dispatcher = CountingDispatcher(clock, self.starts, peers)
        jobs = manager.JobManager(self.limits, clock, peers, views, dispatcher)
        self.nodes[own.name] = Node(own, peers, views, dispatcher, jobs, standstill)
        views.on_leave = lambda: self.leave(own.name)
        jobs.start()
        return self.nodes[own.name]

    def settle(self, seconds: float = 2.0) -> None:
        """Let virtual time pass."""
        self.clock.run(self.clock.now() + seconds)

    def spread(self, *names: str) -> None:
        """Give the present view to instances, to all by default."""
        for name in names or list(self.nodes):
            if self.nodes[name].is_up:
                self.nodes[name].views.set(self.view())

    def set_state(self, name: str, state: member.State) -> None:
        """Change what the region will see of an instance; ``spread`` makes it known."""
        self.states[name] = member.Member(self.states[name].peer, state)

    def leave(self, name: str) -> None:
        """Let every instance learn that one is leaving."""
        self.set_state(name, member.State.LEAVING)
        self.spread()

    def crash(self, name: str) -> None:
        """End an instance without a word; the others still believe it alive."""
        node = self.nodes[name]
        node.is_up = False
        node.peers.crash()
        node.dispatcher.is_crashed = True

    def pause(self, name: str) -> None:
        """Let an instance stand still."""
        self.nodes[name].was_paused = True
        self.nodes[name].standstill.stop()

    def resume(self, name: str) -> None:
        """Let it go on, in the belief that nothing happened."""
        self.nodes[name].standstill.resume()

    def rejoin(self, name: str) -> None:
        """Let an instance that was declared dead join with a new incarnation."""
        node = self.nodes[name]
        old = node.peers.own
        own = self.new_peer(name, old.data_centre, old.incarnation + 1)
        self.states[name] = member.Member(own, LIVE)
        node.peers.own = own
        node.views.own_peer = own
        self.spread()

    def declare_dead(self, name: str) -> None:
        """Let every instance learn of a death."""
        self.set_state(name, member.State.DEAD)
        self.spread()

    def join(self, name: str, centre: str, incarnation: int = 1) -> Node:
        """Start another instance and let every instance learn of it."""
        own = self.new_peer(name, centre, incarnation)
        self.states[name] = member.Member(own, LIVE)
        node = self.build(own)
        self.spread()
        return node

    # Callers

    def submit(self, name: str, request: submission.Submission) -> Call:
        """Submit in a task of its own; the answer appears in the call that is returned."""
        node = self.nodes[name]
        made = Call(name, request, self.clock.now())
        self.calls.append(made)

        def run():
            node.standstill.wait()
            final = node.jobs.submit(request)
            if node.is_up:
                made.answer = final
                made.ended = self.clock.now()

        self.clock.spawn(run)
        return made

    def faults(self) -> list[str]:
        """Return every promise that the run so far has broken."""
        found = [
            f"{key} started {len(runs)} times"
            for key, runs in self.starts.by_task.items()
            if len(runs) > 1
        ]
        for call in self.calls:
            found.extend(self.faults_of(call))
        return found

    def faults_of(self, call: Call) -> list[str]:
        """Return the promises that one call's outcome breaks."""
        word = f"{call.request.job_id} attempt {call.request.attempt} at {call.instance}"
        if call.answer is None:
            is_late = self.clock.now() > call.started + call.request.timeout_s
            is_owed = is_late and self.nodes[call.instance].is_up
            is_owed = is_owed and not self.nodes[call.instance].was_paused
            return [f"{word}: no answer"] if is_owed else []
        found = []
        wrong = fault_of(call.answer, call.request)
        if wrong:
            found.append(f"{word}: {wrong}")
        if call.answer.ran is answers.Ran.NO and self.starts.under(call.request):
            found.append(f"{word}: told {call.answer.code.value}, not run, but it ran")
        is_late = call.ended > call.started + call.request.timeout_s + 1e-9
        if is_late and not self.nodes[call.instance].was_paused:
            found.append(f"{word}: answered late")
        return found

    def answer(self, name: str, request: submission.Submission) -> answers.Answer:
        """Submit and let time pass until the answer is there."""
        return self.clock.call(self.nodes[name].jobs.submit, request)

    def holder_of(self, job_id: str) -> str | None:
        """Return the instance that started a job's first task."""
        runs = self.starts.by_task.get((job_id, 0))
        return runs[0].instance if runs else None


def request_of(
    job_id: str = "job-1",
    attempt: int | None = 1,
    age_s: float = 0.0,
    tasks: int = 2,
    timeout_s: float = 10.0,
    body: bytes = b"body",
) -> submission.Submission:
    """Return a submission of a few tasks."""
    return submission.Submission(
        service="scale",
        job_id=job_id,
        attempt=attempt,
        age_s=age_s,
        timeout_s=timeout_s,
        tasks=tuple(submission.TaskCall("weigh") for _ in range(tasks)),
        digest=body,
    )


def fault_of(final: answers.Answer, request: submission.Submission) -> str | None:
    """Return what is wrong with an answer by itself."""
    if final.job_id != request.job_id:
        return f"answer to {final.job_id} given to {request.job_id}"
    if final.code is not code.Code.COMPLETE:
        return "results in a failure" if final.results else None
    whole = tuple(result_of(request.job_id, index) for index in range(len(request.tasks)))
    return None if final.results == whole else "complete without every result"
