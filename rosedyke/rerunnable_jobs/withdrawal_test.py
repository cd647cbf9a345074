import unittest

from rosedyke.rerunnable_jobs import (
    job,
    messages,
    owned_job,
    pending_job,
    ports,
    server_state,
    settings,
)
from rosedyke.standins import rerun_region

STARTUP_S = 1.5
DONE = job.Outcome(job.EndState.SUCCEEDED)


def started(region):
    return {job.job_id(task) for _, task, _ in region.backend.starts}


class RefusedPart(unittest.TestCase):
    """A job has parts in two pools, one of which is refused."""

    def setUp(self):
        self.region = rerun_region.Region({"a": 2, "b": 2})
        self.region.run(STARTUP_S)

    def fill(self, data_centre, tasks, duration_s):
        """Run one-core tasks in a pool of twelve cores."""
        owner = self.region.members[self.region.owner(data_centre)]
        owner.node.holder.choose_pools = lambda work, count: {f"{data_centre}/r1": count}
        self.region.submit(owner.own.name, f"{data_centre}-full", tasks, duration_s, 20)
        self.region.run(0.02)

    def submit_split(self, **options):
        """Submit a job with two tasks for each pool."""
        name = self.region.non_owner("a")
        holder = self.region.members[name].node.holder
        usual_choice = holder.choose_pools
        holder.choose_pools = lambda work, count: {"a/r1": 2, "b/r1": 2}
        submission = self.region.submit(name, "j1", 4, **options)
        self.region.run(0.001)
        holder.choose_pools = usual_choice
        return submission

    def test_job_of_which_nothing_has_started_is_refused(self):
        # Guards against the outcome LOST, after which the caller must not resubmit at once.
        self.fill("a", 12, 9.0)
        self.fill("b", 12, 9.0)
        submission = self.submit_split(timeout_s=1.05)
        self.region.run(1.2)
        self.assertEqual(submission.outcome.end, job.EndState.REFUSED)
        self.region.run(10.0)
        self.assertNotIn("j1", started(self.region))

    def test_started_job_continues_in_another_pool(self):
        # Guards against a partly finished job that ends because one part was refused.
        self.fill("a", 10, 9.0)
        self.fill("b", 12, 9.0)
        self.region.members[self.region.owner("b")].node.request_capacity = lambda *request: None
        submission = self.submit_split(timeout_s=8.0)
        self.region.run(5.0)
        self.assertEqual((submission.outcome, self.region.backend.violations), (DONE, []))

    def test_owner_that_does_not_answer_may_have_started_its_part(self):
        # Guards against the outcome REFUSED while an owner is unreachable.
        self.fill("a", 10, 9.0)
        self.fill("b", 12, 9.0)
        self.region.members[self.region.owner("b")].node.request_capacity = lambda *request: None
        submission = self.submit_split(duration_s=0.9, timeout_s=1.2)
        name, owner = self.region.non_owner("a"), self.region.owner("a")
        self.region.partition_instances([name], [owner])
        self.region.run(3.0)
        self.assertEqual(submission.outcome.end, job.EndState.LOST)

    def test_part_is_resubmitted_after_the_withdrawal_reply_is_lost(self):
        # Guards against tasks that the owner has dropped while the holder still counts on it.
        self.fill("a", 12, 4.5)
        self.fill("b", 12, 4.5)
        owned_pool = self.region.members[self.region.owner("a")].node.owned_pools["a/r1"]
        owned_pool._end_infeasible_jobs = lambda now: None
        usual_delay = self.region.network.delay_s
        self.region.network.delay_s = lambda source, target, message: (
            None
            if isinstance(message, messages.Withdrawn)
            else usual_delay(source, target, message)
        )
        submission = self.submit_split(timeout_s=9.0)
        self.region.run(3.7)
        self.assertEqual(owned_pool.finished, {})
        self.region.run(5.0)
        self.assertEqual((submission.outcome, self.region.backend.violations), (DONE, []))


class UnstartedJob(unittest.TestCase):
    """A job of which nothing has started ends without a refusal by its owner."""

    def start(self, **switches):
        timing = settings.RerunSettings(**switches)
        self.region = rerun_region.Region({"a": 2, "b": 2}, timing=timing)
        self.region.run(STARTUP_S)
        for member in self.region.members.values():
            for owned_pool in member.node.owned_pools.values():
                owned_pool.refusals.to_refuse = lambda *arguments: []
                owned_pool._end_infeasible_jobs = lambda now: None
            member.node.request_capacity = lambda *request: None
        self.holder = self.region.members[self.region.non_owner("a")].node.holder

    def run_job(self, duration_s=0.1):
        submission = self.region.submit(
            self.holder.fleet.this_instance.name, "j1", 2, duration_s, timeout_s=1.0
        )
        self.region.run(1.2)
        self.assertLessEqual(submission.duration_s, 1.0 + 1e-6)
        return submission.outcome.end

    def fill(self, tasks, duration_s=9.0):
        self.holder.choose_pools = lambda work, count: {"a/r1": count}
        self.region.submit(self.region.owner("a"), "full", tasks, duration_s, 20)
        owner = self.region.members[self.region.owner("a")].node.holder
        owner.choose_pools = self.holder.choose_pools
        self.region.run(0.02)

    def test_waiting_job_is_refused_at_its_timeout(self):
        # Guards against status 504, after which a caller does not know whether its job ran.
        self.start(predicts_completion=True)
        self.fill(12)
        self.assertEqual(self.run_job(), job.EndState.REFUSED)
        self.region.run(10.0)
        self.assertNotIn("j1", started(self.region))

    def test_partly_started_job_is_lost_at_its_timeout(self):
        self.start(predicts_completion=True)
        self.fill(11)
        self.assertEqual(self.run_job(0.8), job.EndState.LOST)

    def test_owner_out_of_reach_may_have_started_it(self):
        self.start(predicts_completion=True)
        self.fill(12)
        self.region.network.delay_s = lambda source, target, message: (
            None if isinstance(message, (messages.Withdraw, messages.Withdrawn)) else 0.0005
        )
        self.assertEqual(self.run_job(), job.EndState.LOST)

    def test_job_that_was_never_sent_is_refused(self):
        self.start()
        self.holder.submit = lambda target, message: False
        self.assertEqual(self.run_job(), job.EndState.REFUSED)

    def start_with_failing_commands(self, error):
        self.start(predicts_completion=True)

        def fail(*arguments):
            self.region.runtime.sleep(0.005)
            raise error

        for member in self.region.members.values():
            member.node.gateway.start = fail

    def test_job_whose_starts_were_not_executed_is_refused(self):
        # Guards against a placed task that counts as started although no server executed it.
        for error in (
            ports.ConnectionFailed("closed"),
            ports.CommandRefused(ports.RefusalReason.UNHEALTHY),
        ):
            self.start_with_failing_commands(error)
            self.assertEqual(self.run_job(), job.EndState.REFUSED)

    def test_job_whose_starts_may_have_been_executed_is_lost(self):
        for error in (
            ports.NoReply("timeout"),
            ports.CommandRefused(ports.RefusalReason.OLD_RUN),
            ports.CommandRefused(ports.RefusalReason.INVALID),
        ):
            self.start_with_failing_commands(error)
            self.assertEqual(self.run_job(), job.EndState.LOST)

    def test_job_is_not_refused_with_a_part_that_an_earlier_owner_may_have_started(self):
        # Guards against status 503 if the successor of a part's owner refuses it.
        for had_earlier_owner, is_withdrawn in ((True, False), (True, True), (False, False)):
            self.start(predicts_completion=True)
            name = self.holder.fleet.this_instance.name
            self.fill(12)
            submission = self.region.submit(name, "j1", 1, 0.1, timeout_s=1.0)
            self.region.run(0.01)
            pending = self.holder.jobs["j1"]
            (part,) = pending.parts.values()
            part.had_earlier_owner, pending.is_withdrawn = had_earlier_owner, is_withdrawn
            self.holder.resubmissions.try_spend = lambda: False
            refusal = job.Outcome(job.EndState.REFUSED, "full")
            ended = messages.JobEnded(
                "j1", part.number, part.pool, part.token, refusal, tuple(part.tasks)
            )
            self.region.runtime.call(self.holder.on_ended, ended)
            self.assertEqual(pending.may_have_run(), had_earlier_owner)
            self.region.run(1.2)
            expected = job.EndState.LOST if had_earlier_owner else job.EndState.REFUSED
            self.assertEqual(submission.outcome.end, expected)

    def test_part_that_its_receiver_did_not_accept_is_not_in_doubt(self):
        # Guards against a NotOwner message that is ignored because it arrives during a withdrawal.
        self.assertFalse(self.may_have_run_after_not_accepted(had_earlier_owner=False))

    def test_part_with_an_earlier_owner_that_its_receiver_did_not_accept_is_in_doubt(self):
        # Guards against status 503 if the earlier owner of the part has started it.
        self.assertTrue(self.may_have_run_after_not_accepted(had_earlier_owner=True))

    def may_have_run_after_not_accepted(self, had_earlier_owner):
        """Return the doubt after a receiver that is no longer the owner refused to take a part."""
        self.start()
        owner = self.region.members[self.region.owner("b")].node
        owned_pool = owner.owned_pools.pop("b/r1")
        self.holder.choose_pools = lambda work, count: {"b/r1": count}
        self.region.submit(self.holder.fleet.this_instance.name, "j1", 1, 0.1)
        self.region.run(0.0001)
        (pending,) = self.holder.jobs.values()
        while not pending.parts:
            self.region.run(0.0001)
        (part,) = pending.parts.values()
        part.had_earlier_owner = had_earlier_owner
        pending.begin_withdrawal()
        self.assertTrue(pending.may_have_run())
        self.region.run(0.01)
        owner.owned_pools["b/r1"] = owned_pool
        return pending.may_have_run()

    def test_unsent_part_with_an_earlier_owner_may_have_run(self):
        # Guards against status 503 if only the submission to the latest owner was not sent.
        for had_earlier_owner in (True, False):
            part = pending_job.Part(
                1, "a/r1", {"j1.0.0.0"}, had_earlier_owner=had_earlier_owner, is_sent=False
            )
            self.assertEqual(part.may_have_run(), had_earlier_owner)


class WithdrawReply(unittest.TestCase):
    def test_unknown_part_neither_withdraws_nor_counts_as_started(self):
        # Guards against status 504 after the loss of a submission, and against status 503 for a
        # part that an earlier owner may have started.
        region = rerun_region.Region({"a": 2})
        region.run(STARTUP_S)
        requests = region.members[region.owner("a")].node.owned_pools["a/r1"].requests
        self.assertEqual(requests.withdraw(("j1", 1)), messages.Withdrawn(False, False))


class MovedJob(unittest.TestCase):
    def test_resubmitted_part_of_a_started_job_is_not_refused(self):
        # Guards against status 503 while the runs of the earlier submission are being stopped.
        region = rerun_region.Region({"a": 2}, timing=settings.RerunSettings())
        region.run(STARTUP_S)
        region.submit("a-1", "j1", 2, 0.9)
        region.run(0.1)
        owner = region.members[region.owner("a")].node.owned_pools["a/r1"]
        (earlier,) = owner.by_job["j1"]
        now, holder, tasks = region.runtime.now(), region.members["a-2"].own, ("j1.0.0.0",)
        owner.requests.submit(
            messages.Submit("a/r1", 7, now, earlier.work, holder, 0.0, tasks, False, False)
        )
        self.assertEqual(owner.requests.withdraw(("j1", 7)), messages.Withdrawn(False, True))

    def test_resubmitted_job_keeps_what_its_new_holder_knows_of_earlier_runs(self):
        # Guards against status 503, and against a second run, of a job that an earlier owner of the
        # new holder's part may be running.
        for may_have_run, has_started in ((True, False), (False, True), (False, False)):
            region = rerun_region.Region({"a": 2})
            region.run(STARTUP_S)
            pool = region.members[region.owner("a")].node.owned_pools["a/r1"]
            step = job.Step(1, job.Demand(1000, 64), 1.0)
            work = job.Job("j1", "tags", rerun_region.SERVICE, "{}", (step,), 0, 3, 2.0, 5.0)
            for number, name in enumerate(("a-1", "a-2")):
                now = STARTUP_S - 0.1 + 0.1 * number
                message = messages.Submit(
                    "a/r1",
                    number,
                    now,
                    work,
                    region.members[name].own,
                    0.0,
                    ("j1.0.0.0",),
                    number == 1 and may_have_run,
                    number == 1 and has_started,
                )
                pool.requests.submit(message)
            (owned,) = pool.by_job["j1"]
            self.assertEqual(owned.holder.name, "a-2")
            self.assertEqual(owned.may_have_run, may_have_run)
            left = [former.left_at for former in owned.former_owners]
            self.assertEqual(left, [now] if may_have_run else [])
            waits = not pool.may_place(owned, now + region.timing.holder_lease_end_s - 0.01)
            self.assertEqual(waits, may_have_run)
            self.assertTrue(pool.may_place(owned, now + region.timing.holder_lease_end_s + 0.01))
            expected = may_have_run or has_started
            self.assertEqual((owned.has_started, owned.has_started_elsewhere), (expected,) * 2)


class EarlierRuns(unittest.TestCase):
    """A job is submitted as new while servers run tasks of its earlier submission."""

    def start(self, instances):
        timing = settings.RerunSettings(predicts_completion=True)
        self.region = rerun_region.Region({"a": instances}, timing=timing)
        self.region.run(STARTUP_S)
        owner = self.region.owner("a")
        return owner, *[name for name in self.region.members if name != owner][:2]

    def forget(self, holder):
        """Let a holder forget its ended jobs, so that a second one does not wait for their runs."""
        self.region.members[holder].node.holder.single_holder.ended.clear()

    def test_orphans(self):
        # Guards against status 503 for a job whose runs were found on the servers.
        owner, first_holder, second_holder = self.start(4)
        first = self.region.submit(first_holder, "j1", 14, 4.0, timeout_s=20)
        self.region.run(0.2)
        self.region.kill(owner)
        self.region.run(0.25)
        first.disconnected.set()  # the Cancel goes to the failed owner
        while not self.region.owner("a"):
            self.region.run(0.002)
        self.region.run(0.05)
        self.forget(first_holder)
        second = self.region.submit(second_holder, "j1", 14, 4.0, timeout_s=5.0, objective_s=1.8)
        self.region.run(1.1)
        self.assertEqual(second.outcome.end, job.EndState.LOST)

    def test_runs_being_stopped(self):
        # Guards against status 503 while the stop commands for a cancelled job are unanswered.
        _, first_holder, second_holder = self.start(3)
        first = self.region.submit(first_holder, "j1", 12, 4.0, timeout_s=20)
        self.region.run(0.2)
        self.region.backend.fault_injector = lambda kind, name, server: (
            0.5 if kind == "stop" else None
        )
        self.region.submit(first_holder, "x", 12, 3.0, timeout_s=20, objective_s=30)
        first.disconnected.set()
        self.region.run(0.01)
        self.forget(first_holder)
        second = self.region.submit(second_holder, "j1", 12, 4.0, timeout_s=5.0, objective_s=1.5)
        self.region.run(0.1)
        self.assertIsNone(second.outcome)

    def adopt(self, prepare):
        """Return a new job after the adoption of its only task, which ``prepare(pool)`` sets up."""
        owner, holder, _ = self.start(3)
        pool = self.region.members[owner].node.owned_pools["a/r1"]
        step = job.Step(1, job.Demand(1000, 64), 1.0)
        work = job.Job("j1", "tags", rerun_region.SERVICE, "{}", (step,), 0, 3, 2.0, 5.0)
        now, own = self.region.runtime.now(), self.region.members[holder].own
        message = messages.Submit("a/r1", 7, now, work, own, 0.0, ("j1.0.0.0",), False, False)
        owned = owned_job.OwnedJob.from_message(message, now)
        prepare(pool)
        pool.requests.adopt(owned)
        return owned

    def test_adopted_run_counts_as_started(self):
        # Guards against a withdrawal that is confirmed for a job with a running task.
        def add_orphan(pool):
            state = next(iter(pool.server_states.values()))
            run = server_state.Run("j1.0.0.0", 1, None, server_state.RunState.ORPHAN, 0.0)
            state.runs[run.key] = run

        owned = self.adopt(add_orphan)
        self.assertTrue(owned.has_started and owned.has_started_elsewhere)

    def test_adopted_completion_counts_as_started(self):
        # Guards against a refusal of a job of which a task has completed.
        def add_completion(pool):
            pool.completed_tasks["j1.0.0.0"] = 0.0

        owned = self.adopt(add_completion)
        self.assertTrue(owned.has_started and owned.has_started_elsewhere)


class ReleasedTask(unittest.TestCase):
    """A task fails, and is released to another pool when it waits again."""

    def start(self):
        self.region = rerun_region.Region(
            {"a": 2, "b": 2}, timing=settings.RerunSettings(predicts_completion=True)
        )
        self.region.run(STARTUP_S)
        self.holder = self.region.members[self.region.non_owner("a")].node.holder
        self.pool = self.region.members[self.region.owner("a")].node.owned_pools["a/r1"]

    def owned_job(self, has_started=False):
        """Return a job of the pool with two tasks that have not started."""
        step = job.Step(2, job.Demand(1000, 64), 1.0)
        work = job.Job("j1", "tags", rerun_region.SERVICE, "{}", (step,), 0, 3, 2.0, 5.0)
        now, own = self.region.runtime.now(), self.holder.fleet.this_instance
        tasks = tuple(name for name, _ in work.named_steps())
        message = messages.Submit("a/r1", 7, now, work, own, 0.0, tasks, False, has_started)
        owned = owned_job.OwnedJob.from_message(message, now)
        self.pool.add_job(owned)
        return owned

    def place(self, owned, task):
        """Record the placement of a task, as before its start command."""
        task.run_number += 1
        owned.has_started = True

    def test_job_counts_as_started_after_the_release_of_a_task_that_has_run(self):
        # Guards against status 503 if the release is lost and the other task's start is not sent.
        self.start()
        owned = self.owned_job()
        first, second = owned.tasks.values()
        self.place(owned, first)
        self.place(owned, second)
        self.pool.releaser._release_part(owned, [first], "b/r1", 1)
        owned.discard_run(second)
        self.assertTrue(owned.has_started)

    def test_job_that_has_started_elsewhere_still_counts_as_started_after_a_discarded_run(self):
        # Guards against status 503 for a job that another pool has started.
        self.start()
        owned = self.owned_job(has_started=True)
        task = next(iter(owned.tasks.values()))
        self.place(owned, task)
        owned.discard_run(task)
        self.assertTrue(owned.has_started)

    def test_refusal_elsewhere_after_the_release_of_a_failed_task_is_in_doubt(self):
        # Guards against status 503 for a job whose only task has failed once and was moved.
        self.start()
        self.holder.choose_pools = lambda work, count: {"a/r1": count}
        for server in self.region.backend.servers.values():
            server.fails_all = True
        name = self.holder.fleet.this_instance.name
        submission = self.region.submit(name, "j1", 1, 0.1, timeout_s=3.0)
        for member in self.region.members.values():
            member.node.request_capacity = lambda *request: None
        while not any(
            task.failures for owned in self.pool.jobs.values() for task in owned.tasks.values()
        ):
            self.region.run(0.001)
            self.assertLess(self.region.runtime.now(), STARTUP_S + 1.0)
        (owned,) = self.pool.jobs.values()
        (task,) = owned.tasks.values()
        task.state = owned_job.TaskState.WAITING
        self.holder.submit = lambda target, message: True  # the other owner is scripted below
        self.pool.releaser._release_part(owned, [task], "b/r1", 1)
        self.region.run(0.01)
        (part,) = self.holder.jobs["j1"].parts.values()
        self.assertEqual(part.pool, "b/r1")
        self.holder.resubmissions.try_spend = lambda: False
        refusal = job.Outcome(job.EndState.REFUSED, "full")
        ended = messages.JobEnded(
            "j1", part.number, part.pool, part.token, refusal, tuple(part.tasks)
        )
        self.region.runtime.call(self.holder.on_ended, ended)
        self.region.run(3.5)
        self.assertEqual(submission.outcome.end, job.EndState.LOST)

    def test_job_does_not_count_as_started_after_the_release_of_a_task_that_has_not_run(self):
        # Guards against status 504 for a job of which no task has started.
        self.start()
        owned = self.owned_job()
        first, second = owned.tasks.values()
        self.place(owned, second)
        self.pool.releaser._release_part(owned, [first], "b/r1", 1)
        owned.discard_run(second)
        self.assertFalse(owned.has_started)


class Burst(unittest.TestCase):
    def test_refused_jobs_have_not_run_and_no_task_runs_twice_when_messages_are_slow(self):
        # Guards against tasks that are submitted twice, once as released and once as withdrawn, and
        # against refusals of started jobs.
        for seed in range(1, 5):
            region = rerun_region.Region({"a": 2, "b": 2, "c": 2}, seed=seed)
            region.run(STARTUP_S)
            uniform = region.runtime.random
            region.network.delay_s = (
                lambda source, target, message, uniform=uniform: 0.03 * uniform()
            )
            submissions = {}
            for number in range(150):
                name = f"{'abc'[number % 3]}-{1 + number % 2}"
                submissions[f"j{number}"] = region.submit(
                    name, f"j{number}", 2 + number % 17, 0.1 + 0.3 * uniform(), timeout_s=1.5
                )
                region.run(0.012)
            region.run(8.0)
            ends = {name: submission.outcome.end for name, submission in submissions.items()}
            refused = {name for name, end in ends.items() if end is job.EndState.REFUSED}
            self.assertEqual((region.backend.violations, refused & started(region)), ([], set()))
            self.assertGreater(len(refused), 0)
