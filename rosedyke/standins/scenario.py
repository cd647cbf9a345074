"""One run through every protocol on the virtual clock, and the promises that must hold after it.

Jobs are submitted, submitted again elsewhere, cancelled and refused; a change is applied, an
instance joins, one shuts down gracefully and one dies.  The fault matrix repeats this run with one
fault at one step.
"""

import attrs

from rosedyke.configuration import change, file_parser, plan, storage
from rosedyke.dispatch import ports as dispatch_ports
from rosedyke.job import answer as answers
from rosedyke.job import code, submission
from rosedyke.standins import whole

DATA_CENTRES = ("dc1", "dc2")
INSTANCES = {"a": "dc1", "b": "dc1", "c": "dc1", "d": "dc2", "e": "dc2"}
NEWCOMER = "f"
LEAVER = "c"
VICTIM = "b"
LEAVING_SERVER = "scale-4"
SLOTS = 4
WAVE_JOBS = 10
WAVE_CANCELS = 20
TIMEOUT_S = 8.0
RUN_TIME_S = 0.05
# Longer than the task's timeout: the answer never comes, the slot is free again some time.
MUTE_S = 6.0
# How long after the last fault the region has to be whole again.
RECOVERY_S = 14.0
# From here on a leaving server must not be given new work.
LEAVING_LIMIT_S = 3.5

# What callers are told, by job and attempt, when nothing fails but what the scenario itself does.
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
        Where it was sent.
    request : Submission
        What was sent.
    began : float
        Virtual seconds.
    answer : Answer or None
        The final answer, None while there is none.
    ended : float or None
        When it came.
    """

    instance: whole.Instance
    request: submission.Submission
    began: float
    answer: answers.Answer | None = None
    ended: float | None = None


class Scenario:
    """A region, what callers and operators do to it, and what they were told.

    Parameters
    ----------
    seed : int
        Of the virtual runtime.
    """

    def __init__(self, seed: int = 1):
        self.region = whole.Region(DATA_CENTRES, seed, self.run_time_s)
        self.clock = self.region.clock
        self.calls: list[Call] = []
        self.applied: list[change.Outcome] = []
        self.leaving_since: float | None = None
        self.store_back_at = 0.0
        self.first_began: dict[str, float] = {}
        self.mute_until = 0.0
        self.changes_begun = 0

    # What happens

    def prepare(self) -> None:
        """Start the instances and apply the first configuration."""
        self.apply(queue=1000)
        self.clock.run(self.clock.now() + 1.0)
        for name, data_centre in INSTANCES.items():
            self.region.add(name, data_centre).start()
        self.region.wait_for(
            lambda: all(one.is_ready() for one in self.region.instances.values()), 30
        )
        self.clock.run(self.clock.now() + 2.0)

    def run(self) -> None:
        """Let everything happen, and then time pass until the region must be whole again."""
        begin = self.clock.now()
        timeline = (
            (0.00, lambda: self.refuse_tasks(("scale-2",), 0.05)),
            (0.00, lambda: self.submit("a", "job-1", 1)),
            (0.00, lambda: self.submit("b", "job-2", 1)),
            (0.00, lambda: self.submit("a", "job-big", 1, memory_mb=10**6)),
            (0.02, lambda: self.submit("d", "job-1", 2)),
            (0.03, lambda: self.cancel("d", "job-2")),
            (0.05, lambda: self.submit("e", "job-big", 2, memory_mb=10**6)),
            (0.10, lambda: self.apply(queue=999)),
            (0.15, self.mark_leaving),
            (0.20, self.join),
            (0.60, lambda: self.submit("c", "job-3", 1, tasks=24)),
            (0.65, self.leave),
            (0.66, lambda: self.submit("c", "job-late", 1)),
            (0.70, lambda: self.submit("e", "job-3", 2, tasks=24)),
            # A copy of the attempt that was refused, and the attempt that follows it.
            (0.90, lambda: self.submit("a", "job-late", 1)),
            (1.00, lambda: self.submit("d", "job-late", 2)),
            (1.10, lambda: self.submit("e", "job-1", None)),
            (1.15, lambda: self.submit("d", "job-1", 3, digest=b"another body")),
            (1.20, lambda: self.submit("a", "job-late", 1)),
            (1.30, self.begin_wave),
            (1.32, self.cancel_wave),
            # The instance that ran it has left, and the cancelled one stays cancelled.
            (1.40, lambda: self.submit("d", "job-3", 3, tasks=24)),
            (1.40, lambda: self.submit("a", "job-2", 2)),
            (1.50, lambda: self.submit("b", "job-4", 1, tasks=24)),
            (1.53, lambda: self.region.instances[VICTIM].crash()),
            (1.60, lambda: self.submit("a", "job-4", 2, tasks=24)),
            (1.70, lambda: self.submit("d", "job-5", 1)),
            (4.00, lambda: self.submit("e", "job-5", 2)),
        )
        for offset, happen in timeline:
            self.clock.run(begin + offset)
            happen()
        self.clock.run(begin + TIMEOUT_S + RECOVERY_S)

    def finish(self) -> None:
        """Submit one more job at every instance that is up; the region must be whole again."""
        for name, instance in self.region.instances.items():
            if instance.is_up:
                self.submit(name, f"job-last-{name}", 1)
        self.clock.run(self.clock.now() + TIMEOUT_S)

    def begin_wave(self) -> None:
        """Submit the jobs that are all cancelled at once."""
        for number in range(WAVE_JOBS):
            self.submit("ad"[number % 2], f"job-wave-{number}", 1)

    def cancel_wave(self) -> None:
        """Cancel many jobs many times from everywhere."""
        for number in range(WAVE_JOBS * WAVE_CANCELS):
            self.cancel("ade"[number % 3], f"job-wave-{number % WAVE_JOBS}")

    def submit(
        self,
        name: str,
        job_id: str,
        attempt: int | None,
        tasks: int = 6,
        memory_mb: float = 100,
        digest: bytes | None = None,
    ) -> None:
        """Submit a job in a task of its own, as a caller whose connection stays open."""
        instance = self.region.instances[name]
        began = self.clock.now()
        self.first_began.setdefault(job_id, began)
        call = submission.TaskCall("tag", size=whole.intent.Size(memory_mb=memory_mb))
        request = submission.Submission(
            service="scale",
            job_id=job_id,
            attempt=attempt,
            age_s=began - self.first_began[job_id],
            timeout_s=TIMEOUT_S,
            tasks=(call,) * tasks,
            digest=digest or job_id.encode(),
        )
        made = Call(instance, request, began)
        self.calls.append(made)
        if instance.is_up:
            self.clock.spawn(self._wait_for_answer, made)

    def _wait_for_answer(self, made):
        made.answer = made.instance.manager.submit(made.request)
        made.ended = self.clock.now()

    def run_time_s(self, server, call) -> float:
        """Return how long a task takes; a mute server never answers."""
        return MUTE_S if self.clock.now() < self.mute_until else RUN_TIME_S

    def refuse_tasks(self, servers, seconds: float) -> None:
        """Let backend servers answer for a while that they start no task."""
        self.break_servers(servers, seconds, dispatch_ports.NotStarted("busy", is_reached=True))

    def break_servers(self, servers, seconds: float, error: Exception) -> None:
        """Let backend servers fail every task in one way for a while."""
        for name in servers:
            self.region.servers.servers[name].fault = error

        def mend():
            self.clock.sleep(seconds)
            for name in servers:
                self.region.servers.servers[name].fault = None

        self.clock.spawn(mend)

    def cancel(self, name: str, job_id: str) -> None:
        """Cancel a job from any instance."""
        instance = self.region.instances[name]
        if instance.is_up:
            self.clock.spawn(instance.manager.cancel, job_id)

    def apply(self, queue: int) -> None:
        """Apply the team's file with another limit."""
        parsed = file_parser.parse("tea.toml", TEAM_FILE.format(queue=queue).encode())
        proposal = plan.Proposal((parsed,), (), "operator", "now", change_id=f"change-{queue}")
        store = self.region.operator_store(lost_answers=1)
        self.changes_begun += 1

        def body():
            self.applied.append(change.apply(store, storage.Keys(), self.clock, proposal))

        self.clock.spawn(body)

    def mark_leaving(self) -> None:
        """Let the platform list a backend server as leaving."""
        state = self.region.store_state
        state.revision += 1
        key = storage.Keys().servers.first + LEAVING_SERVER
        state.put(key.encode(), b'{"state": "leaving"}', state.revision)
        self.leaving_since = self.clock.now()

    def join(self) -> None:
        """Start one more instance."""
        self.region.add(NEWCOMER, "dc1").start()

    def leave(self) -> None:
        """Shut one instance down gracefully."""
        leaver = self.region.instances[LEAVER]
        if leaver.is_up:
            leaver.runtime.spawn(leaver.leave, TIMEOUT_S)

    # What must hold

    def broken(self) -> list[str]:
        """Return every promise that did not hold, in words."""
        found = [
            f"{job_id}/{index} started {count} times"
            for (job_id, index), count in self.region.servers.starts.items()
            if count > 1
        ]
        for call in self.calls:
            found.extend(self._broken_by(call))
        if self.region.servers.excess:
            found.append(f"a server was over its slots {self.region.servers.excess} times")
        found.extend(self._broken_configuration())
        found.extend(self._broken_leaving())
        return found

    def unexpected(self) -> list[str]:
        """Return the answers that differ from those that callers get when nothing fails.

        A resubmission that is told "unknown" breaks no promise, but without a fault it would show
        that an answer was lost on the way, for example by an instance that left.
        """
        found = []
        for call in self.calls:
            wanted = EXPECTED.get((call.request.job_id, call.request.attempt))
            told = call.answer.code if call.answer else None
            if wanted is not None and told is not wanted:
                word = f"{call.request.job_id} attempt {call.request.attempt}"
                found.append(f"{word}: told {told and told.value}, not {wanted.value}")
        return found

    def _broken_by(self, call) -> list[str]:
        request = call.request
        word = f"{request.job_id} attempt {request.attempt} at {call.instance.name}"
        if call.answer is None:
            # A caller whose instance died, stopped or left has no connection to be answered on.
            return [f"{word}: no answer"] if call.instance.is_up else []
        found = []
        if call.ended > call.began + request.timeout_s + 1e-6 and not was_stopped(call):
            found.append(f"{word}: answered {call.ended - call.began:.2f} s after it began")
        whole_answer = tuple(
            whole.result_of(request.job_id, index) for index in range(len(request.tasks))
        )
        if call.answer.job_id != request.job_id:
            found.append(f"{word}: got the answer to {call.answer.job_id}")
        if call.answer.is_complete and call.answer.results != whole_answer:
            found.append(f"{word}: complete without every result of its own")
        if not call.answer.is_complete and call.answer.results:
            found.append(f"{word}: failed with results")
        if call.answer.ran is answers.Ran.NO:
            ran = [s for s in self.region.servers.history if is_under(s, request)]
            if ran:
                found.append(f"{word}: told {call.answer.code.value}, not run, but it ran")
        if request.digest != request.job_id.encode() and call.answer.is_complete:
            found.append(f"{word}: got the answer to another body")
        if request.job_id.startswith("job-last-") and not call.answer.is_complete:
            found.append(f"{word}: {call.answer.code.value}, though every fault had ended")
        if request.job_id == "job-big" and call.answer.code is code.Code.COMPLETE:
            found.append(f"{word}: ran though it fits nowhere")
        return found

    def _broken_configuration(self) -> list[str]:
        found = []
        newest = max(
            (one.generation for one in self.applied if isinstance(one, change.Accepted)), default=0
        )
        for name, instance in self.region.instances.items():
            if instance.generations != sorted(set(instance.generations)):
                found.append(f"{name} went back: generations {instance.generations}")
            if instance.is_up and instance.current.generation != newest:
                found.append(
                    f"{name} has generation {instance.current.generation}, not {newest}, in force"
                )
        if len(self.applied) != self.changes_begun:
            found.append("an operator's change has no outcome")
        return found

    def _broken_leaving(self) -> list[str]:
        # While the store is down nobody can read the platform's list.
        limit = max(self.leaving_since, self.store_back_at) + LEAVING_LIMIT_S
        late = [
            start
            for start in self.region.servers.history
            if start.server == LEAVING_SERVER and start.time > limit
        ]
        return [f"a leaving server got {len(late)} tasks after its limit"] if late else []


def is_under(start: whole.Start, request: submission.Submission) -> bool:
    """Return whether a start happened under this attempt or an earlier one, with this body."""
    if start.job_id != request.job_id:
        return False
    if start.digest is not None and start.digest != request.digest:
        return False
    if request.attempt is None:
        return True
    return start.attempt is None or start.attempt <= request.attempt


def was_stopped(call: Call) -> bool:
    """Return whether the instance itself stood still, and so could not answer in time."""
    return call.instance.runtime.resumes_at > call.began
