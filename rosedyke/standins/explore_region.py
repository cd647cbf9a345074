"""A simulated region of entry instances, to check the guarantees of the claim protocol.

The job managers run production code.  The membership views are preset, and the dispatcher counts
the starts of each task.
"""

import collections

import attrs

from rosedyke import runtime
from rosedyke.job import answer as answers
from rosedyke.job import claim, code, job, manager, ports, settings, submission
from rosedyke.membership import member
from rosedyke.standins import pausable_node, virtual
from rosedyke.wire import peer

LIVE = member.State.LIVE
BUSY = ports.Refusal(code.Code.OVERLOADED, "busy", 1.0)


class FakeMembership:
    """Implements the membership port with preset views."""

    def __init__(self, own: peer.Peer, view: member.View):
        self.own_peer = own
        self.view = view
        self.callbacks: list = []
        self.on_leave = lambda: None

    @property
    def own(self) -> member.Member:
        """Entry of this instance in its own view."""
        listed = self.view.find(self.own_peer.name)
        if listed is not None and listed.peer == self.own_peer:
            return listed
        return member.Member(self.own_peer, member.State.JOINING)

    def subscribe(self, callback) -> None:
        """Register a callback for view changes."""
        self.callbacks.append(callback)

    def set(self, view: member.View) -> None:
        """Replace the view and notify the subscribers."""
        old, self.view = self.view, view
        for callback in self.callbacks:
            callback(old, view)

    def leave(self, timeout_s: float) -> bool:
        """Announce that this instance is leaving."""
        self.on_leave()
        return True

    def advertise(self, topic, value) -> None:
        """Do nothing."""

    def advertised(self, name, topic):
        """Return None: nothing is advertised."""

    def is_confirmed(self) -> bool:
        """Return True: joining is not simulated."""
        return True

    def is_isolated(self) -> bool:
        """Return False: partitions within a data data_centre are not simulated."""
        return False

    def wait_for_first_answer(self) -> None:
        """Return at once: isolation is not simulated."""


@attrs.define
class Run:
    """One start of a task.

    Attributes
    ----------
    instance : str
        The instance that started it.
    time : float
        Virtual time of the start.
    request : Submission
        The attempt under which it was started.
    incarnation : int
        The incarnation of the instance.
    """

    instance: str
    time: float
    request: submission.Submission
    incarnation: int = 1


@attrs.define
class Starts:
    """Every start of every task, as the backend servers record it."""

    by_task: dict = attrs.Factory(lambda: collections.defaultdict(list))

    def add(self, index: int, run: Run) -> None:
        """Record a start."""
        self.by_task[(run.request.job_id, index)].append(run)

    def under(self, request: submission.Submission) -> list[Run]:
        """Return the starts by this attempt or an earlier one with the same body."""
        return [
            run
            for (job_id, _), runs in self.by_task.items()
            for run in runs
            if job_id == request.job_id
            and run.request.digest == request.digest
            and number_of(run.request) <= number_of(request)
        ]

    def max_starts_per_task(self) -> int:
        """Return the maximum number of starts of a task."""
        return max((len(runs) for runs in self.by_task.values()), default=0)

    def count_started_tasks(self, job_id: str) -> int:
        """Return the number of a job's tasks that were started at least once."""
        return sum(1 for key, runs in self.by_task.items() if key[0] == job_id and runs)


def number_of(request: submission.Submission) -> int:
    """Return an attempt's number; an attempt without one follows all others."""
    return claim.closing_attempt(request.attempt)


class CountingDispatcher:
    """Implements ``ports.Dispatcher``: runs the tasks in sequence, ``task_s`` each."""

    def __init__(self, clock: runtime.Runtime, starts: Starts, peers: virtual.VirtualPeers):
        self.clock = clock
        self.starts = starts
        self.peers = peers
        self.name = peers.own.name
        self.task_s = 0.05
        self.refusal = None
        self.is_crashed = False

    def check(self, request: submission.Submission):
        """Return the preset refusal."""
        return self.refusal

    def run(self, active_job: job.Job) -> None:
        """Run each task; its result contains the job id and the task index."""
        for index in range(len(active_job.request.tasks)):
            try:
                active_job.mark_sent(index)
            except job.JobClosed:
                return
            if self.is_crashed:
                return
            run = Run(self.name, self.clock.now(), active_job.request, self.peers.own.incarnation)
            self.starts.add(index, run)
            if self.task_s:
                self.clock.sleep(self.task_s)
            active_job.mark_finished(index, result_of(active_job.request.job_id, index))


def result_of(job_id: str, index: int) -> bytes:
    """Return the result of a task run by ``CountingDispatcher``."""
    return f'"{job_id}/{index}"'.encode()


@attrs.define
class Call:
    """One submission by a caller, with its answer once it has arrived."""

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
    views: FakeMembership
    dispatcher: CountingDispatcher
    jobs: manager.JobManager
    pause_state: pausable_node.PauseState
    is_up: bool = True
    was_paused: bool = False


class Region:
    """Entry instances in several data centres on one virtual clock.

    Parameters
    ----------
    counts : dict of str to int
        Instances by data data_centre; they are named ``dc1a``, ``dc1b`` and so on.
    clock : VirtualRuntime or None
        Runtime of an exploration that chooses the order of tasks.
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
        for data_centre, count in counts.items():
            for letter in "abcdefghijklmnopqrstuvwxyz"[:count]:
                own = self.new_peer(f"{data_centre}{letter}", data_centre, 1)
                self.states[own.name] = member.Member(own, LIVE)
        for listed in list(self.states.values()):
            self.build(listed.peer)

    def new_peer(self, name: str, data_centre: str, incarnation: int) -> peer.Peer:
        """Return an instance's identity with a new address."""
        self.ports += 1
        return peer.Peer(name, incarnation, data_centre, f"127.0.0.1:{self.ports}")

    def view(self) -> member.View:
        """Return the current view of the region."""
        return member.View(tuple(self.states[name] for name in sorted(self.states)))

    def build(self, own: peer.Peer) -> Node:
        """Start an instance with the current view."""
        pause_state = pausable_node.PauseState(self.clock)
        clock = pausable_node.NodeRuntime(self.clock, pause_state)
        peers = pausable_node.NodePeers(self.network, own, pause_state)
        views = FakeMembership(own, self.view())
        dispatcher = CountingDispatcher(clock, self.starts, peers)
        jobs = manager.JobManager(self.limits, clock, peers, views, dispatcher)
        self.nodes[own.name] = Node(own, peers, views, dispatcher, jobs, pause_state)
        views.on_leave = lambda: self.leave(own.name)
        jobs.start()
        return self.nodes[own.name]

    def settle(self, seconds: float = 2.0) -> None:
        """Let virtual time pass."""
        self.clock.run(self.clock.now() + seconds)

    def publish_view(self, *names: str) -> None:
        """Publish the current view to instances, by default to all."""
        for name in names or list(self.nodes):
            if self.nodes[name].is_up:
                self.nodes[name].views.set(self.view())

    def set_state(self, name: str, state: member.State) -> None:
        """Set an instance's state in the region's view, published by ``publish_view``."""
        self.states[name] = member.Member(self.states[name].peer, state)

    def leave(self, name: str) -> None:
        """Mark an instance as leaving and publish the view."""
        self.set_state(name, member.State.LEAVING)
        self.publish_view()

    def crash(self, name: str) -> None:
        """Crash an instance; it stays live in the view of the others."""
        node = self.nodes[name]
        node.is_up = False
        node.peers.crash()
        node.dispatcher.is_crashed = True

    def pause(self, name: str) -> None:
        """Pause an instance."""
        self.nodes[name].was_paused = True
        self.nodes[name].pause_state.suspend()

    def resume(self, name: str) -> None:
        """End an instance's pause."""
        self.nodes[name].pause_state.resume()

    def rejoin(self, name: str) -> None:
        """Let an instance that was declared dead rejoin under a new incarnation."""
        node = self.nodes[name]
        old = node.peers.own
        own = self.new_peer(name, old.data_centre, old.incarnation + 1)
        self.states[name] = member.Member(own, LIVE)
        node.peers.own = own
        node.views.own_peer = own
        self.publish_view()

    def declare_dead(self, name: str) -> None:
        """Mark an instance as dead and publish the view."""
        self.set_state(name, member.State.DEAD)
        self.publish_view()

    def join(self, name: str, data_centre: str, incarnation: int = 1) -> Node:
        """Start a further instance and publish the view."""
        own = self.new_peer(name, data_centre, incarnation)
        self.states[name] = member.Member(own, LIVE)
        node = self.build(own)
        self.publish_view()
        return node

    # Callers

    def submit(self, name: str, request: submission.Submission) -> Call:
        """Submit in a separate task; the returned call gets the answer."""
        node = self.nodes[name]
        call = Call(name, request, self.clock.now())
        self.calls.append(call)

        def submit_and_record():
            node.pause_state.wait()
            final = node.jobs.submit(request)
            if node.is_up:
                call.answer = final
                call.ended = self.clock.now()

        self.clock.spawn(submit_and_record)
        return call

    def violations(self) -> list[str]:
        """Return a description of every guarantee violated so far."""
        descriptions = [
            f"{key} started {len(runs)} times"
            for key, runs in self.starts.by_task.items()
            if len(runs) > 1
        ]
        for call in self.calls:
            descriptions.extend(self.violations_of(call))
        return descriptions

    def violations_of(self, call: Call) -> list[str]:
        """Return the guarantees that a call's outcome violates."""
        label = f"{call.request.job_id} attempt {call.request.attempt} at {call.instance}"
        if call.answer is None:
            is_overdue = self.clock.now() > call.started + call.request.timeout_s
            is_missing = is_overdue and self.nodes[call.instance].is_up
            is_missing = is_missing and not self.nodes[call.instance].was_paused
            return [f"{label}: no answer"] if is_missing else []
        violations = []
        error = answer_error(call.answer, call.request)
        if error:
            violations.append(f"{label}: {error}")
        if call.answer.ran is answers.Ran.NO and self.starts.under(call.request):
            violations.append(f"{label}: answered {call.answer.code.value} and not run, but it ran")
        is_late = call.ended > call.started + call.request.timeout_s + 1e-9
        if is_late and not self.nodes[call.instance].was_paused:
            violations.append(f"{label}: answered late")
        return violations

    def answer(self, name: str, request: submission.Submission) -> answers.Answer:
        """Submit and run until the answer arrives."""
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
    """Return a submission of identical tasks."""
    return submission.Submission(
        service="scale",
        job_id=job_id,
        attempt=attempt,
        age_s=age_s,
        timeout_s=timeout_s,
        tasks=tuple(submission.TaskCall("weigh") for _ in range(tasks)),
        digest=body,
    )


def answer_error(final: answers.Answer, request: submission.Submission) -> str | None:
    """Return the error in an answer, None if it is consistent."""
    if final.job_id != request.job_id:
        return f"answer to {final.job_id} given to {request.job_id}"
    if final.code is not code.Code.COMPLETE:
        return "results in a failure" if final.results else None
    all_results = tuple(result_of(request.job_id, index) for index in range(len(request.tasks)))
    return None if final.results == all_results else "complete without every result"
