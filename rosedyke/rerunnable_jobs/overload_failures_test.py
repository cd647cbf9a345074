"""Overload of two pools, and failures in the middle of it, with all switches on.

``tools/overload_mutations.py`` shows which safeguards these tests notice the lack of.
"""

import collections
import unittest
from unittest import mock

import attrs

from rosedyke.overload import door, own_delay
from rosedyke.rerunnable_jobs import job, scheduler, settings
from rosedyke.standins import rerun_region

STARTUP_S = 1.5
LINK_BYTES_PER_S = 250_000.0
PAYLOAD = "x" * 1200
# Three times what the links of the two owners carry, 20 jobs a second each.
JOBS_PER_S = 120
TIMEOUT_S = 1.5
# Queue, priority, tasks, run time and objective of each kind.
KINDS = (("tags", 0, 8, 0.06, 0.3), ("scans", 1, 2, 0.2, 0.5), ("maps", 2, 4, 0.4, 0.9))
# Longer than all leases, so that only its end by the owner or by a lease frees a server.  The
# timeout allows for a second run: all runs on a server end with its lease, which a new owner does
# not renew before it knows who holds them.
LONG_RUN_S = 3.0
LONG_TIMEOUT_S = 9.0
MAX_BODY_BYTES = 1 << 24
# Twice the time after which the page says that an overload is over.
RECOVERY_S = 2.0


def kind_of(job_id):
    """Return the kind of a job."""
    return KINDS[int(job_id[1:]) % len(KINDS)]


@attrs.define
class Call:
    """The last submission of a job by its caller.

    Attributes
    ----------
    is_repeated : bool
        The job was submitted before, to an instance that failed.
    """

    holder: str
    submission: rerun_region.Submission
    timeout_s: float
    is_repeated: bool


class SlowLink(own_delay.OwnDelay):
    """A link that is slower than the instance's settings say.

    Parameters
    ----------
    account : OwnDelay
        The instance's own account, by the rate in its settings.
    """

    def __init__(self, runtime, bytes_per_s, account):
        super().__init__(runtime, bytes_per_s)
        self.account = account

    def record_sent(self, size):
        super().record_sent(size)
        self.account.record_sent(size)

    def record_received(self, size):
        super().record_received(size)
        self.account.record_received(size)


class OverloadedRegion:
    """Two data centres whose callers submit more jobs than the links of the owners carry.

    Attributes
    ----------
    calls : dict of str to Call
        The last call for each job.
    doors : dict of str to Door
        What decides at each instance whether it accepts a job.
    """

    def __init__(self, seed):
        timing = settings.RerunSettings(
            balances_pools=True, schedules_by_kind=True, predicts_completion=True
        )
        self.region = rerun_region.Region({"a": 4, "b": 3}, 6, seed, timing, LINK_BYTES_PER_S)
        self.doors = {}
        for name in self.region.members:
            self.add_door(name)
        self.region.run(STARTUP_S)
        self.calls = {}

    def add_door(self, name):
        """Let an instance that has just started limit the jobs that it holds."""
        holder = self.region.members[name].node.holder
        self.doors[name] = door.Door(holder.added_delay_s, MAX_BODY_BYTES)

    def submit(self, job_id, holder, timeout_s=TIMEOUT_S, **options):
        """Submit a job, or submit it again, to an instance as a caller does."""
        queue, priority, count, duration_s, objective_s = kind_of(job_id)
        values = {
            "count": count,
            "duration_s": duration_s,
            "timeout_s": timeout_s,
            "priority": priority,
            "objective_s": objective_s,
            "queue": queue,
            "payload": PAYLOAD,
        } | options
        member, now = self.region.members[holder], self.region.runtime.now()
        held = len(member.node.holder.jobs)
        if self.doors[holder].refusal_reason(values["priority"], held, 0, 0, now):
            retry_after_s = member.node.holder.retry_after_s(values["priority"])
            outcome = job.Outcome(job.EndState.REFUSED, "held", retry_after_s)
            submission = rerun_region.Submission(
                self.region.runtime.signal(), outcome, now, submitted_at=now
            )
        else:
            submission = self.region.submit(holder, job_id, **values)
        self.calls[job_id] = Call(holder, submission, timeout_s, job_id in self.calls)
        return submission

    def load(self, seconds, jobs_per_s=JOBS_PER_S, holders=None, **options):
        """Let all or some instances get jobs for a time, and return the ids."""
        job_ids = []
        for _ in range(int(seconds * jobs_per_s)):
            number = len(self.calls)
            names = holders or sorted(self.region.members)
            job_ids.append(f"j{number}")
            self.submit(job_ids[-1], names[number % len(names)], **options)
            self.region.run(1 / jobs_per_s)
        return job_ids

    def submit_long(self, holder, count):
        """Submit urgent jobs of one long task each, and return their ids."""
        first = len(self.calls)
        job_ids = [f"j{number}" for number in range(first, first + count)]
        for job_id in job_ids:
            self.submit(
                job_id,
                holder,
                LONG_TIMEOUT_S,
                count=1,
                duration_s=LONG_RUN_S,
                priority=0,
                objective_s=1.6 * LONG_RUN_S,
                payload="{}",
            )
        return job_ids

    def running(self, job_ids):
        """Return the servers on which runs of some jobs are, by job."""
        return {
            job.job_id(run.task): server.listed.id
            for server in self.region.backend.servers.values()
            for run in server.runs.values()
            if job.job_id(run.task) in job_ids
        }

    def kill(self, name):
        """Kill an instance, and return the ids of the jobs that it held."""
        held = [
            job_id
            for job_id, call in self.calls.items()
            if call.holder == name and call.submission.outcome is None
        ]
        self.region.kill(name)
        return held

    def restart(self, name):
        """Start a killed instance again, at its address."""
        data_centre, number = name.split("-")
        address = f"10.{'ab'.index(data_centre)}.0.{number}:7000"
        self.region.add(name, data_centre, address)
        self.add_door(name)

    def submit_again(self, job_ids):
        """Submit jobs again whose callers do not know whether they ran."""
        names = sorted(self.region.members)
        for job_id in job_ids:
            self.submit(job_id, names[int(job_id[1:]) % len(names)])

    def cut_off(self, data_centre):
        """Cut a data centre off from all others and from the store."""
        region = self.region
        sides = [], []
        for name, member in region.members.items():
            sides[member.own.data_centre == data_centre].append(name)
            member.listed.reachable &= member.own.data_centre != data_centre
        region.partition_instances(*sides)
        region.backend.partitioned = {
            (name, server.listed.id)
            for name, member in region.members.items()
            for server in region.backend.servers.values()
            if (member.own.data_centre == data_centre) != (server.listed.data_centre == data_centre)
        }

    def set_store_reachable(self, is_reachable):
        """Let the store be away, or be back, for all instances."""
        for member in self.region.members.values():
            member.listed.reachable = is_reachable

    def heal(self):
        """End the partition."""
        self.region.network.heal()
        self.region.backend.partitioned = set()
        self.set_store_reachable(True)

    def update_servers(self, server_ids, **changes):
        """Change the entries of some servers."""
        for server_id in server_ids:
            server = self.region.backend.servers[server_id]
            server.listed = attrs.evolve(server.listed, **changes)
        self.announce_servers()

    def hide_servers(self, server_ids):
        """Remove servers from the list of the platform."""
        for member in self.region.members.values():
            member.listed.hidden |= set(server_ids)
        self.announce_servers()

    def announce_servers(self):
        """Let all instances know of a change in the list of servers."""
        for member in self.region.members.values():
            member.listed.changed()

    def set_link_rate(self, name, bytes_per_s):
        """Change the rate of an instance's link, which does not know of it."""
        node = self.region.members[name].node
        link = SlowLink(self.region.runtime, bytes_per_s, node.delay)
        self.region.network.links[name] = node.gateway.delay = link

    def goodput(self, job_ids):
        """Return the share of some jobs that succeeded."""
        outcomes = [self.calls[job_id].submission.outcome for job_id in job_ids]
        succeeded = [each for each in outcomes if each and each.end is job.EndState.SUCCEEDED]
        return len(succeeded) / len(job_ids)


class OverloadCase(unittest.TestCase):
    def check_answers(self, overloaded):
        """Check that every answer is timely, complete and true, and that no task ran twice."""
        backend = overloaded.region.backend
        self.assertEqual(backend.violations, [])
        started = collections.defaultdict(set)
        for _, task, _ in backend.starts:
            started[job.job_id(task)].add(task)
        for job_id, call in overloaded.calls.items():
            outcome = call.submission.outcome
            self.assertIsNotNone(outcome, job_id)
            self.assertLess(call.submission.duration_s, call.timeout_s + 0.05, job_id)
            if outcome.end is job.EndState.REFUSED:
                self.assertGreaterEqual(outcome.retry_after_s, 0.75)
                if not call.is_repeated:
                    self.assertEqual(started[job_id], set(), f"{job_id} is refused but has started")
            elif outcome.end is job.EndState.SUCCEEDED:
                self.assertLessEqual(started[job_id], backend.completed, job_id)
                self.assertTrue(started[job_id], job_id)

    def check_recovery(self, overloaded):
        """Check that a short time after an overload all jobs are served, and all answers."""
        overloaded.region.run(RECOVERY_S)
        after = overloaded.load(0.5, 10)
        overloaded.region.run(TIMEOUT_S + 0.1)
        self.check_answers(overloaded)
        self.assertEqual(overloaded.goodput(after), 1.0)


class NothingFails(OverloadCase):
    def test_start_commands_are_sent_for_jobs_that_are_answered_in_useful_time(self):
        # Guards against jobs whose parts start at two owners at different times: a tenth of the
        # start commands belonged to jobs that were lost, and a third of the answers of priority 0
        # were useless.
        overloaded = OverloadedRegion(1)
        calls = overloaded.calls
        overloaded.load(4.0)
        overloaded.region.run(TIMEOUT_S + 0.1)
        backend, late_factor = overloaded.region.backend, overloaded.region.timing.late_factor
        starts = collections.Counter(job.job_id(task) for _, task, _ in backend.starts)
        useful = sum(
            count
            for job_id, count in starts.items()
            if calls[job_id].submission.outcome.end is job.EndState.SUCCEEDED
            and calls[job_id].submission.duration_s <= late_factor * kind_of(job_id)[-1]
        )
        self.assertGreater(useful, 0.9 * starts.total())
        self.check_answers(overloaded)

    def test_instance_that_was_overloaded_holds_more_jobs_again(self):
        # Guards against a limit on the jobs held that an overload has reduced for good.
        overloaded = OverloadedRegion(1)
        holder = overloaded.region.non_owner("a")
        # Twice what the link of this instance carries.
        overloaded.load(2.0, 40, [holder], payload=10 * PAYLOAD)
        self.assertLess(overloaded.doors[holder].limit.jobs, 30)
        overloaded.region.run(RECOVERY_S)
        long = []
        for _ in range(36):
            long += overloaded.submit_long(holder, 1)
            overloaded.region.run(0.02)
        overloaded.region.run(LONG_TIMEOUT_S)
        self.check_answers(overloaded)
        self.assertEqual(overloaded.goodput(long), 1.0)


class HolderIsKilled(OverloadCase):
    """An instance that holds jobs is killed, and something else fails with it."""

    def run_failure(self, seed, fail, heal):
        """Let a holder and something else fail under load, and check all answers."""
        overloaded = OverloadedRegion(seed)
        region = overloaded.region
        overloaded.load(1.5)
        held = overloaded.kill(region.non_owner("a"))
        self.assertGreater(len(held), 3)
        fail(overloaded)
        killed_at = region.runtime.now()
        during = overloaded.load(region.timing.resubmit_s)
        region.run(max(0.0, killed_at + region.timing.resubmit_s - region.runtime.now()))
        overloaded.submit_again(held)
        overloaded.load(0.7)
        heal(overloaded)
        overloaded.load(1.0)
        self.check_recovery(overloaded)
        self.assertGreater(overloaded.goodput(during), 0.1)

    def test_while_the_store_is_away(self):
        # Guards against parts that need the store under load, and against tasks of a killed
        # instance that still run when its callers submit them again.
        for seed in (1, 2):
            self.run_failure(
                seed,
                lambda overloaded: overloaded.set_store_reachable(False),
                lambda overloaded: overloaded.set_store_reachable(True),
            )

    def test_while_a_data_centre_is_cut_off(self):
        # Guards against tasks that run on both sides of a partition under load, and against a side
        # that waits for the other one.
        for seed in (1, 2):
            self.run_failure(
                seed, lambda overloaded: overloaded.cut_off("b"), OverloadedRegion.heal
            )

    def test_its_runs_are_stopped_before_its_callers_submit_again(self):
        # Guards against an owner that keeps a lost holder's jobs running: their capacity would be
        # free only after the leases, which would lapse for other runs on these servers too.
        overloaded = OverloadedRegion(1)
        region, timing = overloaded.region, overloaded.region.timing
        holder = region.non_owner("a")
        long = overloaded.submit_long(holder, 6)
        others = overloaded.submit_long(region.owner("a"), 6)
        overloaded.load(0.8)
        self.assertEqual(set(overloaded.running(long + others)), set(long + others))
        overloaded.kill(holder)
        overloaded.load(timing.holder_lost_s + timing.max_order_s + timing.stop_retry_s)
        self.assertEqual(overloaded.running(long), {})
        self.assertEqual(set(overloaded.running(others)), set(others))
        region.run(LONG_TIMEOUT_S)
        for job_id in long:
            del overloaded.calls[job_id]  # their caller has got no answer
        self.assertEqual(overloaded.goodput(others), 1.0)


class OwnerFails(OverloadCase):
    """The owner of a pool fails under load."""

    def test_successor_starts_no_task_that_may_still_run(self):
        # Guards against a successor that starts tasks before earlier leases are over: a run is on a
        # server that it neither reaches nor finds in its list.
        overloaded = OverloadedRegion(1)
        region = overloaded.region
        owner, holder = region.owner("a"), region.non_owner("a")
        long = overloaded.submit_long(holder, 8)
        overloaded.load(0.8)
        server_id = next(
            server_id for server_id in overloaded.running(long).values() if "-a-" in server_id
        )
        unseen = [each for each, server in overloaded.running(long).items() if server == server_id]
        overloaded.hide_servers([server_id])
        region.backend.partitioned = {(name, server_id) for name in region.members if name != owner}
        overloaded.load(0.2)
        held = overloaded.kill(owner)
        killed_at = region.runtime.now()
        during = overloaded.load(region.timing.resubmit_s)
        region.run(max(0.0, killed_at + region.timing.resubmit_s - region.runtime.now()))
        overloaded.submit_again(held)
        self.assertNotIn(region.owner("a"), ("", owner))
        overloaded.load(0.5)
        self.check_recovery_of(overloaded, during)
        self.assertEqual(overloaded.goodput(unseen), 1.0)

    def check_recovery_of(self, overloaded, during):
        """Check the answers once the long runs are over, and the goodput during a failure."""
        overloaded.region.run(LONG_TIMEOUT_S)
        self.check_recovery(overloaded)
        # The link of the other owner carries a sixth of the load, less what resubmissions lose.
        self.assertGreater(overloaded.goodput(during), 0.05)

    def restart_owner(self, pause_s):
        """Let an owner restart under load, and check all answers; return the owner after it."""
        overloaded = OverloadedRegion(2)
        region, owner = overloaded.region, overloaded.region.owner("a")
        long = overloaded.submit_long(region.non_owner("a"), 6)
        overloaded.load(1.0)
        held = overloaded.kill(owner)
        killed_at = region.runtime.now()
        during = overloaded.load(pause_s)
        owner_at_restart = region.owner("a")
        overloaded.restart(owner)
        during += overloaded.load(region.timing.resubmit_s - pause_s)
        region.run(max(0.0, killed_at + region.timing.resubmit_s - region.runtime.now()))
        overloaded.submit_again(held)
        overloaded.load(0.5)
        self.check_recovery_of(overloaded, during)
        self.assertEqual(overloaded.goodput(long), 1.0)
        return owner_at_restart

    def test_owner_restarts_before_its_pool_is_taken_over(self):
        # Guards against an incarnation that knows nothing of the runs that the earlier one started.
        self.assertEqual(self.restart_owner(0.1), "")

    def test_owner_restarts_after_its_pool_was_taken_over(self):
        # Guards against an instance that takes its pool back, or is taken for its owner.
        self.assertNotEqual(self.restart_owner(0.9), "")

    def test_link_of_an_owner_becomes_slow(self):
        # Guards against an owner that fills a link that is slower than its settings say, until its
        # leases and renewals are late and it is lost for good.
        overloaded = OverloadedRegion(1)
        owner = overloaded.region.owner("a")
        overloaded.load(1.0)
        overloaded.set_link_rate(owner, LINK_BYTES_PER_S / 4)
        during = overloaded.load(2.0)
        overloaded.set_link_rate(owner, LINK_BYTES_PER_S)
        self.check_recovery(overloaded)
        self.assertGreater(overloaded.goodput(during), 0.1)


class ServersLeave(OverloadCase):
    def test_server_group_leaves_with_notice(self):
        # Guards against start commands to servers that leave before the task can end, and against
        # runs there that are given up although they end in time.
        overloaded = OverloadedRegion(1)
        region = overloaded.region
        placed_at = {}
        place = scheduler.Scheduler._place

        def place_and_record(self, owned, task, state, now):
            place(self, owned, task, state, now)
            placed_at[task.name, state.server.id] = now

        with mock.patch.object(scheduler.Scheduler, "_place", place_and_record):
            overloaded.load(1.0)
            leaving = {f"s-a-{number}" for number in range(3)}
            overloaded.update_servers(leaving, is_draining=True)
            noticed_at = region.runtime.now()
            during = overloaded.load(1.0)
        late = [key for key, at in placed_at.items() if key[1] in leaving and at > noticed_at]
        self.assertEqual(late, [])
        # A command that was sent before the notice may wait for the owner's link.
        latest_at = noticed_at + 0.05 + own_delay.MAX_ADDED_DELAY_S
        late = [
            task
            for at, task, server_id in region.backend.starts
            if server_id in leaving and at > latest_at
        ]
        self.assertEqual(late, [])
        self.assertEqual([len(region.backend.servers[each].runs) for each in leaving], [0, 0, 0])
        overloaded.hide_servers(leaving)
        for server_id in leaving:
            region.backend.servers[server_id].crash()
        during += overloaded.load(1.0)
        self.check_recovery(overloaded)
        self.assertGreater(overloaded.goodput(during), 0.1)
