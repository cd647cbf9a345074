"""A scenario that exercises every protocol on the virtual clock, and the guarantees it checks.

Jobs are submitted, resubmitted elsewhere, cancelled and rejected; a configuration change is
applied, an instance joins, one shuts down gracefully and one crashes.  The fault matrix repeats
the scenario with one fault at one step.
"""

import attrs

from rosedyke.configuration import change, file_parser, plan, storage
from rosedyke.dispatch import ports as dispatch_ports
from rosedyke.job import answer as answers
from rosedyke.job import code, submission
from rosedyke.standins import simulated_region

DATA_CENTRES = ("dc1", "dc2")
INSTANCES = {"a": "dc1", "b": "dc1", "c": "dc1", "d": "dc2", "e": "dc2"}
JOINING_INSTANCE = "f"
LEAVING_INSTANCE = "c"
CRASHING_INSTANCE = "b"
LEAVING_SERVER = "scale-4"
SLOTS = 4
BURST_JOBS = 10
CANCELS_PER_JOB = 20
TIMEOUT_S = 8.0
RUN_TIME_S = 0.05
# Longer than the task's timeout, so that no reply arrives in time but the slot is released.
UNRESPONSIVE_RUN_TIME_S = 6.0
# Time in which the region must recover after the last fault.
RECOVERY_S = 14.0
# Time after which a server marked as leaving must not get new tasks.
LEAVING_GRACE_S = 3.5

# Expected answer by job and attempt when no fault is injected.
EXPECTED = {
    ("job-1", 1): code.Code.COMPLETE,
    ("job-1", 2): code.Code.COMPLETE,
    ("job-1", None): code.Code.COMPLETE,
    ("job-1", 3): code.Code.OTHER_BODY,
    ("job-2", 1): code.Code.CANCELLED,
    ("job-2", 2): code.Code.CANCELLED,
    ("job-3", 1): code.Code.COMPLETE,
    ("job-3", 2): code.Code.COMPLETE,
    ("job-3", 3): code.Code.COMPLETE,
    ("job-4", 2): code.Code.HOLDER_LOST,
    ("job-5", 1): code.Code.COMPLETE,
    ("job-5", 2): code.Code.COMPLETE,
    ("job-big", 1): code.Code.CAN_NEVER_RUN,
    ("job-big", 2): code.Code.CAN_NEVER_RUN,
    ("job-late", 2): code.Code.COMPLETE,
}

TEAM_FILE = """
team = "tea"
quota = 0

[[services]]
name = "scale"

[services.limits]
queue = {queue}

[[services.tasks]]
name = "tag"
run_time_s = 0.05
timeout_s = 5.0
memory_mb = 100

[[services.servers]]
name = "scale-{{n}}"
address = "127.0.9.{{n}}:8101"
data_centre = "dc1"
count = 2
slots = 4
memory_mb = 1000

[[services.servers]]
name = "scale-{{n}}"
address = "127.0.9.{{n}}:8101"
data_centre = "dc2"
count = 2
first = 3
slots = 4
memory_mb = 1000
"""


@attrs.define
class Call:
    """One submission by a caller.

    Attributes
    ----------
    instance : Instance
        The instance it was sent to.
    request : Submission
        The request.
    submitted_at : float
        Virtual time of the submission.
    answer : Answer or None
        The final answer, None until it arrives.
    answered_at : float or None
        Virtual time of the answer.
    """

    instance: simulated_region.Instance
    request: submission.Submission
    submitted_at: float
    answer: answers.Answer | None = None
    answered_at: float | None = None


class Scenario:
    """A region with the actions of its callers and operators, and the answers they received.

    Parameters
    ----------
    seed : int
        Seed of the virtual runtime.
    """

    def __init__(self, seed: int = 1):
        self.region = simulated_region.Region(DATA_CENTRES, seed, self.run_time_s)
        self.clock = self.region.clock
        self.calls: list[Call] = []
        self.change_outcomes: list[change.Outcome] = []
        self.leaving_since: float | None = None
        self.store_recovers_at = 0.0
        self.first_submitted_at: dict[str, float] = {}
        self.unresponsive_until = 0.0
        self.submitted_changes = 0

    # Actions

    def prepare(self) -> None:
        """Apply the first configuration and start the instances."""
        self.apply(queue=1000)
        self.clock.run(self.clock.now() + 1.0)
        for name, data_centre in INSTANCES.items():
            self.region.add(name, data_centre).start()
        self.region.wait_for(
            lambda: all(instance.is_ready() for instance in self.region.instances.values()), 30
        )
        self.clock.run(self.clock.now() + 2.0)

    def run(self) -> None:
        """Run the timeline of actions, then wait until the region must have recovered."""
        start_s = self.clock.now()
        timeline = (
            (0.00, lambda: self.reject_tasks(("scale-2",), 0.05)),
            (0.00, lambda: self.submit("a", "job-1", 1)),
            (0.00, lambda: self.submit("b", "job-2", 1)),
            (0.00, lambda: self.submit("a", "job-big", 1, memory_mb=10**6)),
            (0.02, lambda: self.submit("d", "job-1", 2)),
            (0.03, lambda: self.cancel("d", "job-2")),
            (0.05, lambda: self.submit("e", "job-big", 2, memory_mb=10**6)),
            (0.10, lambda: self.apply(queue=999)),
            (0.15, self.mark_server_leaving),
            (0.20, self.join),
            (0.60, lambda: self.submit("c", "job-3", 1, tasks=24)),
            (0.65, self.shut_down_instance),
            (0.66, lambda: self.submit("c", "job-late", 1)),
            (0.70, lambda: self.submit("e", "job-3", 2, tasks=24)),
            # A duplicate of the rejected attempt, and the attempt that follows it.
            (0.90, lambda: self.submit("a", "job-late", 1)),
            (1.00, lambda: self.submit("d", "job-late", 2)),
            (1.10, lambda: self.submit("e", "job-1", None)),
            (1.15, lambda: self.submit("d", "job-1", 3, digest=b"another body")),
            (1.20, lambda: self.submit("a", "job-late", 1)),
            (1.30, self.submit_burst),
            (1.32, self.cancel_burst),
            # The holder of job-3 has shut down; job-2 must stay cancelled.
            (1.40, lambda: self.submit("d", "job-3", 3, tasks=24)),
            (1.40, lambda: self.submit("a", "job-2", 2)),
            (1.50, lambda: self.submit("b", "job-4", 1, tasks=24)),
            (1.53, lambda: self.region.instances[CRASHING_INSTANCE].crash()),
            (1.60, lambda: self.submit("a", "job-4", 2, tasks=24)),
            (1.70, lambda: self.submit("d", "job-5", 1)),
            (4.00, lambda: self.submit("e", "job-5", 2)),
        )
        for offset_s, action in timeline:
            self.clock.run(start_s + offset_s)
            action()
        self.clock.run(start_s + TIMEOUT_S + RECOVERY_S)

    def submit_final_jobs(self) -> None:
        """Submit a final job at every running instance; each must complete."""
        for name, instance in self.region.instances.items():
            if instance.is_up:
                self.submit(name, f"job-last-{name}", 1)
        self.clock.run(self.clock.now() + TIMEOUT_S)

    def submit_burst(self) -> None:
        """Submit a burst of jobs to be cancelled."""
        for number in range(BURST_JOBS):
            self.submit("ad"[number % 2], f"job-wave-{number}", 1)

    def cancel_burst(self) -> None:
        """Cancel the jobs of the burst repeatedly from several instances."""
        for number in range(BURST_JOBS * CANCELS_PER_JOB):
            self.cancel("ade"[number % 3], f"job-wave-{number % BURST_JOBS}")

    def submit(
        self,
        name: str,
        job_id: str,
        attempt: int | None,
        tasks: int = 6,
        memory_mb: float = 100,
        digest: bytes | None = None,
    ) -> None:
        """Submit a job in a separate task, as a caller whose connection stays open."""
        instance = self.region.instances[name]
        submitted_at = self.clock.now()
        self.first_submitted_at.setdefault(job_id, submitted_at)
        task_call = submission.TaskCall(
            "tag", size=simulated_region.intent.Size(memory_mb=memory_mb)
        )
        request = submission.Submission(
            service="scale",
            job_id=job_id,
            attempt=attempt,
            age_s=submitted_at - self.first_submitted_at[job_id],
            timeout_s=TIMEOUT_S,
            tasks=(task_call,) * tasks,
            digest=digest or job_id.encode(),
        )
        call = Call(instance, request, submitted_at)
        self.calls.append(call)
        if instance.is_up:
            self.clock.spawn(self._wait_for_answer, call)

    def _wait_for_answer(self, call):
        call.answer = call.instance.manager.submit(call.request)
        call.answered_at = self.clock.now()

    def run_time_s(self, server, call) -> float:
        """Return a task's run time; an unresponsive server exceeds the task's timeout."""
        return UNRESPONSIVE_RUN_TIME_S if self.clock.now() < self.unresponsive_until else RUN_TIME_S

    def reject_tasks(self, servers, seconds: float) -> None:
        """Make backend servers reject every task as not started for some time."""
        self.inject_server_error(
            servers, seconds, dispatch_ports.NotStarted("busy", is_reached=True)
        )

    def inject_server_error(self, servers, seconds: float, error: Exception) -> None:
        """Make backend servers fail every task with an error for some time."""
        for name in servers:
            self.region.servers.servers[name].fault = error

        def clear_fault():
            self.clock.sleep(seconds)
            for name in servers:
                self.region.servers.servers[name].fault = None

        self.clock.spawn(clear_fault)

    def cancel(self, name: str, job_id: str) -> None:
        """Cancel a job at an instance."""
        instance = self.region.instances[name]
        if instance.is_up:
            self.clock.spawn(instance.manager.cancel, job_id)

    def apply(self, queue: int) -> None:
        """Apply the team's file with a queue limit."""
        parsed = file_parser.parse("tea.toml", TEAM_FILE.format(queue=queue).encode())
        proposal = plan.Proposal((parsed,), (), "operator", "now", change_id=f"change-{queue}")
        store = self.region.operator_store(lost_answers=1)
        self.submitted_changes += 1

        def apply_change():
            self.change_outcomes.append(change.apply(store, storage.Keys(), self.clock, proposal))

        self.clock.spawn(apply_change)

    def mark_server_leaving(self) -> None:
        """Mark a backend server as leaving in the platform's list."""
        state = self.region.store_state
        state.revision += 1
        key = storage.Keys().servers.first + LEAVING_SERVER
        state.put(key.encode(), b'{"state": "leaving"}', state.revision)
        self.leaving_since = self.clock.now()

    def join(self) -> None:
        """Start a further instance."""
        self.region.add(JOINING_INSTANCE, "dc1").start()

    def shut_down_instance(self) -> None:
        """Shut one instance down gracefully."""
        instance = self.region.instances[LEAVING_INSTANCE]
        if instance.is_up:
            instance.runtime.spawn(instance.shut_down, TIMEOUT_S)

    # Checks

    def violations(self) -> list[str]:
        """Return a description of every guarantee that was violated."""
        descriptions = [
            f"{job_id}/{index} started {count} times"
            for (job_id, index), count in self.region.servers.starts.items()
            if count > 1
        ]
        for call in self.calls:
            descriptions.extend(self._check_call(call))
        if self.region.servers.excess:
            descriptions.append(f"a server was over its slots {self.region.servers.excess} times")
        descriptions.extend(self._check_configuration())
        descriptions.extend(self._check_leaving_server())
        return descriptions

    def unexpected_answers(self) -> list[str]:
        """Return the answers that differ from those expected without faults.

        A resubmission that gets an unknown outcome violates no guarantee, but without a fault it
        shows a lost answer, for example of an instance that shut down.
        """
        descriptions = []
        for call in self.calls:
            expected = EXPECTED.get((call.request.job_id, call.request.attempt))
            received = call.answer.code if call.answer else None
            if expected is not None and received is not expected:
                label = f"{call.request.job_id} attempt {call.request.attempt}"
                descriptions.append(
                    f"{label}: received {received and received.value}, expected {expected.value}"
                )
        return descriptions

    def _check_call(self, call) -> list[str]:
        request = call.request
        label = f"{request.job_id} attempt {request.attempt} at {call.instance.name}"
        if call.answer is None:
            # The connection of a caller ends with its instance.
            return [f"{label}: no answer"] if call.instance.is_up else []
        descriptions = []
        if call.answered_at > call.submitted_at + request.timeout_s + 1e-6 and not was_paused(call):
            descriptions.append(
                f"{label}: answered {call.answered_at - call.submitted_at:.2f} s after submission"
            )
        all_results = tuple(
            simulated_region.result_of(request.job_id, index) for index in range(len(request.tasks))
        )
        if call.answer.job_id != request.job_id:
            descriptions.append(f"{label}: got the answer to {call.answer.job_id}")
        if call.answer.is_complete and call.answer.results != all_results:
            descriptions.append(f"{label}: complete without all of its own results")
        if not call.answer.is_complete and call.answer.results:
            descriptions.append(f"{label}: failed with results")
        if call.answer.ran is answers.Ran.NO:
            starts = [s for s in self.region.servers.history if is_covered(s, request)]
            if starts:
                descriptions.append(
                    f"{label}: answered {call.answer.code.value} and not run, but it ran"
                )
        if request.digest != request.job_id.encode() and call.answer.is_complete:
            descriptions.append(f"{label}: got the answer to another body")
        if request.job_id.startswith("job-last-") and not call.answer.is_complete:
            descriptions.append(f"{label}: {call.answer.code.value}, after every fault had ended")
        if request.job_id == "job-big" and call.answer.code is code.Code.COMPLETE:
            descriptions.append(f"{label}: ran although it fits on no server")
        return descriptions

    def _check_configuration(self) -> list[str]:
        descriptions = []
        newest = max(
            (
                outcome.generation
                for outcome in self.change_outcomes
                if isinstance(outcome, change.Accepted)
            ),
            default=0,
        )
        for name, instance in self.region.instances.items():
            if instance.generations != sorted(set(instance.generations)):
                descriptions.append(f"{name}: generations not increasing: {instance.generations}")
            if instance.is_up and instance.current.generation != newest:
                descriptions.append(
                    f"{name}: active generation {instance.current.generation}, expected {newest}"
                )
        if len(self.change_outcomes) != self.submitted_changes:
            descriptions.append("an operator's change has no outcome")
        return descriptions

    def _check_leaving_server(self) -> list[str]:
        # While the store is down, the platform's list can't be read.
        limit = max(self.leaving_since, self.store_recovers_at) + LEAVING_GRACE_S
        late = [
            start
            for start in self.region.servers.history
            if start.server == LEAVING_SERVER and start.time > limit
        ]
        return [f"a leaving server got {len(late)} tasks after its limit"] if late else []


def is_covered(start: simulated_region.Start, request: submission.Submission) -> bool:
    """Return whether a start is of this attempt or an earlier one with the same body."""
    if start.job_id != request.job_id:
        return False
    if start.digest is not None and start.digest != request.digest:
        return False
    if request.attempt is None:
        return True
    return start.attempt is None or start.attempt <= request.attempt


def was_paused(call: Call) -> bool:
    """Return whether the instance was paused and so could not answer in time."""
    return call.instance.runtime.resumes_at > call.submitted_at
