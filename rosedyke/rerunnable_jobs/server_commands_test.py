import unittest

import attrs

from rosedyke.rerunnable_jobs import job, ports, server_commands
from rosedyke.standins import rerun_region

STARTUP_S = 1.5
DONE = job.Outcome(job.EndState.SUCCEEDED)


def started_region(sizes=None, servers=3):
    region = rerun_region.Region(sizes or {"a": 2}, servers)
    region.run(STARTUP_S)
    return region


def lose_replies(region, kind, *delays_s):
    """Lose the replies to the next commands of a kind, which execute after the given delays."""
    remaining = list(delays_s)
    region.backend.fault_injector = lambda command, name, server: (
        remaining.pop() if command == kind and remaining else None
    )


def set_draining(region, is_draining):
    """Make all servers drain, or accept tasks again."""
    for server in region.backend.servers.values():
        server.listed = attrs.evolve(server.listed, is_draining=is_draining)
    for member in region.members.values():
        member.listed.changed()


class DelayedCommands(unittest.TestCase):
    def test_task_of_a_delayed_start_does_not_run_twice(self):
        # Guards against a start that executes seconds later, after its task was placed elsewhere.
        region = started_region()
        lose_replies(region, "start", 2.0)
        submission = region.submit("a-1", "j1", count=2, duration_s=3.0)
        region.run(6.0)
        self.assertEqual(submission.outcome, DONE)
        self.assertEqual(region.backend.violations, [])
        self.assertEqual(len(region.backend.starts), 2)

    def test_run_continues_after_the_reply_to_its_start_is_lost(self):
        # Guards against stopping a run that the server has started.
        region = started_region()
        lose_replies(region, "start", 0.0)
        submission = region.submit("a-1", "j1", count=1, duration_s=1.0)
        region.run(1.5)
        self.assertEqual((submission.outcome, len(region.backend.starts)), (DONE, 1))

    def test_end_of_a_run_is_read_soon_after_a_lost_long_poll(self):
        # Guards against waiting for the timeout of the long poll, by which short jobs are late.
        region = started_region()
        submission = region.submit("a-1", "j1", count=1, duration_s=0.15)
        region.run(0.01)
        server = region.backend.starts[0][2]
        lost_replies_s = [9.0]
        region.backend.fault_injector = lambda kind, name, target: (
            lost_replies_s.pop() if kind == "hold" and target == server and lost_replies_s else None
        )
        region.backend.servers[server].run_ended.set()
        started_at = region.runtime.now()
        region.run(1.5)
        self.assertEqual((submission.outcome, lost_replies_s), (DONE, []))
        self.assertLess(submission.ended_at - started_at, 0.15 + 0.15)

    def test_unanswered_stop_is_repeated(self):
        region = started_region()
        lose_replies(region, "stop", 5.0, 5.0)
        submission = region.submit("a-1", "j1", count=1, duration_s=9.0)
        region.run(0.3)
        submission.disconnected.set()
        region.run(0.8)
        self.assertEqual(sum(len(server.runs) for server in region.backend.servers.values()), 0)

    def test_many_lost_replies_cause_no_violation(self):
        # One reply in six is lost, and the command executes 0 to 4 s later.
        region = started_region({"a": 2}, servers=4)
        rng = region.runtime.generator

        def fate(kind, name, server):
            return rng.uniform(0.0, 4.0) if rng.random() < 0.16 else None

        region.backend.fault_injector = fate
        submissions = []
        for number in range(60):
            submissions.append(
                region.submit("a-1", f"j{number}", count=3, duration_s=0.15, timeout_s=3.0)
            )
            region.run(0.1)
        region.run(6.0)
        self.assertEqual(region.backend.violations, [])
        done = sum(submission.outcome == DONE for submission in submissions)
        self.assertGreater(done, 50)

    def test_server_whose_lease_must_not_be_renewed_gets_no_tasks(self):
        # Guards against starts that a server rejects as late, again and again.
        region = started_region({"a": 3})
        holder = region.non_owner("a")
        remaining, started_on = [9.0], []

        def lose_first_start_and_its_stops(kind, name, server):
            if kind == "start":
                started_on.append(server)
                return remaining.pop() if remaining else None
            return 9.0 if kind == "stop" else None

        region.backend.fault_injector = lose_first_start_and_its_stops
        region.submit(holder, "j1", duration_s=3.0)
        region.run(0.05)
        region.kill(holder)
        region.run(region.timing.resubmit_s)
        lapsed_server = started_on.pop()
        submissions = [region.submit(region.owner("a"), f"k{n}", 2, 0.1) for n in range(4)]
        region.run(0.6)
        self.assertEqual([submission.outcome for submission in submissions], [DONE] * 4)
        self.assertEqual((len(started_on), started_on.count(lapsed_server)), (8, 0))


class LapsedLeases(unittest.TestCase):
    def region_with_unresolved_start(self, duration_s=0.1, count=1):
        """Return a region in which a start was sent to s-a-0 right after it became unreachable."""
        region = started_region({"a": 1}, servers=2)
        region.submit("a-1", "j0", count=8, duration_s=0.1)
        region.run(0.3)  # leaves idle connections
        region.backend.partitioned = {("a-1", "s-a-0")}
        region.submit("a-1", "j1", count, duration_s)
        return region

    def test_start_is_not_sent_after_its_task_was_requeued(self):
        # Guards against a task that runs twice in a busy process: the server is usable again, but a
        # poll from the partition fails between the placement of a task and the start command.
        servers = []
        for delay_ms in range(20, 60, 2):
            with self.subTest(delay_ms=delay_ms):
                region = self.region_with_unresolved_start()
                region.run(1.4)
                region.backend.partitioned = set()
                region.runtime.spawn_delay_s = 0.005
                region.run(delay_ms / 1000)
                submission = region.submit("a-1", "j2", count=2, duration_s=0.3)
                region.run(2.0)
                self.assertEqual((submission.outcome, region.backend.violations), (DONE, []))
                servers.append(
                    {server for _, task, server in region.backend.starts if "j2" in task}
                )
                states = region.members["a-1"].node.owned_pools["a/r1"].server_states
                self.assertEqual(states["s-a-0"].runs, {})
        # The server is listed before the first delay, but its lease has not been renewed yet.
        self.assertEqual(servers, [{"s-a-1"}] * len(servers))

    def test_start_of_a_run_that_is_requeued_after_its_placement_is_not_sent(self):
        # Guards against sending the start of a run whose task may be placed elsewhere by then.
        region = started_region({"a": 1}, servers=2)
        owner = region.members["a-1"].node.owned_pools["a/r1"]
        region.runtime.spawn_delay_s = 0.05
        submission = region.submit("a-1", "j1", count=1, duration_s=0.3)
        while not (placed := [state for state in owner.server_states.values() if state.runs]):
            region.run(0.01)
        self.assertEqual(region.backend.starts, [])
        for run in placed[0].runs.values():
            owner.requeue_task(run)
        region.run(2.0)
        self.assertEqual((submission.outcome, region.backend.violations), (DONE, []))
        self.assertEqual(len(region.backend.starts), 1)

    def test_start_of_a_job_that_is_cancelled_after_its_placement_is_not_sent(self):
        # Guards against work for a caller that has left.
        region = started_region({"a": 1}, servers=2)
        owner = region.members["a-1"].node.owned_pools["a/r1"]
        region.runtime.spawn_delay_s = 0.05
        region.submit("a-1", "j1", count=1, duration_s=0.3)
        while not any(state.runs for state in owner.server_states.values()):
            region.run(0.01)
        owner.requests.cancel("j1", "a-1")
        region.run(0.1)
        self.assertEqual(region.backend.starts, [])
        self.assertFalse(any(state.runs for state in owner.server_states.values()))

    def test_task_of_a_run_that_a_listing_shows_is_not_placed_again(self):
        # Guards against a second run of a task whose first one was taken for over by mistake.
        region = started_region({"a": 1}, servers=2)
        owner = region.members["a-1"].node.owned_pools["a/r1"]
        submission = region.submit("a-1", "j1", count=1, duration_s=1.0)
        region.run(0.1)
        state = next(state for state in owner.server_states.values() if state.runs)
        set_draining(region, True)
        for run in state.runs.values():
            owner.requeue_task(run)
        region.run(0.4)
        set_draining(region, False)
        region.run(1.0)
        self.assertEqual((submission.outcome, region.backend.violations), (DONE, []))

    def test_start_from_before_a_lapse_is_not_executed_under_a_lease_renewed_after_it(self):
        # Guards against a lapse that is noticed only by a failed poll: after a partition a start to
        # the server renewed its lease while earlier starts were unresolved.
        for healed_after_s in (1.2, 1.25, 1.3, 1.35):
            with self.subTest(healed_after_s=healed_after_s):
                region = self.region_with_unresolved_start(count=6, duration_s=1.0)
                region.run(healed_after_s)
                region.backend.partitioned = set()
                healed_at = region.runtime.now()
                lose_replies(region, "stop", *[9.0] * 7, None)  # only the first stop is answered
                region.submit("a-1", "j2", count=8, duration_s=0.3)
                region.run(0.23)
                late_starts = [
                    task
                    for at, task, server in region.backend.starts
                    if at > healed_at and server == "s-a-0" and "j1" in task
                ]
                self.assertEqual(late_starts, [])

    def region_with_unlisted_server(self):
        """Return a region from whose list s-a-0 was removed with an unresolved start."""
        region = self.region_with_unresolved_start(duration_s=3.0)
        region.run(1.5)
        self.set_hidden(region, {"s-a-0"})
        region.run(0.4)
        self.assertEqual(region.backend.starts[-1][1:], ("j1.0.0.0", "s-a-1"))
        return region

    @staticmethod
    def set_hidden(region, servers):
        listed = region.members["a-1"].listed
        listed.hidden = servers
        listed.changed()

    def check_delayed_start(self, region):
        """Check that the start, which arrives now unless it is stopped, does not run its task."""
        lose_replies(region, "stop", 9.0, 9.0)
        region.run(0.4)
        self.assertEqual(region.backend.violations, [])
        region.run(0.3)
        submission = region.submit("a-1", "j2", count=6, duration_s=0.2)
        region.run(1.0)
        self.assertEqual((submission.outcome, region.backend.violations), (DONE, []))
        servers = {server for _, task, server in region.backend.starts if "j2" in task}
        self.assertEqual(servers, {"s-a-0", "s-a-1"})

    def test_lease_of_a_server_that_is_listed_again_is_not_renewed_before_starts_are_resolved(self):
        # Guards against a task that runs twice: the server was removed and its tasks placed
        # elsewhere, and when it is back its lease is renewed before a delayed start arrives.
        region = self.region_with_unlisted_server()
        region.run(0.1)
        self.set_hidden(region, set())
        region.run(0.7)
        region.backend.partitioned = set()
        self.check_delayed_start(region)

    def test_lease_of_a_server_that_is_listed_again_once_reachable_is_not_renewed_at_once(self):
        # Guards against a renewal by the first poll, which no failed one precedes.
        region = self.region_with_unlisted_server()
        region.run(0.8)
        region.backend.partitioned = set()
        self.set_hidden(region, set())
        self.check_delayed_start(region)

    def test_no_stops_are_sent_to_a_server_that_is_not_listed(self):
        # Guards against stops without end to a server that never returns.
        region = self.region_with_unlisted_server()
        stops = []
        region.backend.fault_injector = lambda kind, name, server: (
            stops.append(server) if kind == "stop" else None
        )
        region.run(1.0)
        self.assertEqual(stops, [])

    def test_lease_of_a_restarted_server_is_not_renewed_before_starts_are_resolved(self):
        # Guards against a task that runs twice: its lease lapsed and it was placed elsewhere, and a
        # restart of the server made its owner forget that a delayed start was still unresolved.
        region = rerun_region.Region({"a": 1}, 2)
        server = region.backend.servers["s-a-0"]
        server.clock_zero_s = 0.0  # just started, so the clock of the next incarnation passes it
        region.run(STARTUP_S)
        lose_replies(region, "start", 2.8)
        submission = region.submit("a-1", "j1", count=1, duration_s=3.0)
        region.run(0.001)
        region.backend.partitioned = {("a-1", "s-a-0")}
        region.run(0.3)
        server.crash()
        server.restart()
        region.run(2.2)
        self.assertEqual(region.backend.starts[-1][1:], ("j1.0.0.0", "s-a-1"))
        region.backend.partitioned = set()
        lose_replies(region, "stop", 9.0, 9.0)
        region.run(0.4)
        self.assertEqual(region.backend.violations, [])
        region.run(3.0)
        self.assertEqual((submission.outcome, len(region.backend.starts)), (DONE, 1))


class OvertakenListings(unittest.TestCase):
    def test_finished_task_is_not_adopted(self):
        # Guards against a task that runs again after its end: listings from before the end arrive
        # late, and another task of the job waits when its former run is found in one of them.
        region = started_region({"a": 1}, servers=2)
        owner = region.members["a-1"].node.owned_pools["a/r1"]
        fast, failing = (region.backend.servers[name] for name in ("s-a-0", "s-a-1"))
        failing.speed = 0.5
        submission = region.submit("a-1", "j1", count=8, duration_s=0.1)
        region.run(0.05)
        failing.fails_all = True
        requested_at = region.runtime.now()
        listings = {
            server.listed.id: region.runtime.call(
                server.renew_lease, owner.token, 0, None, 0.0, "a-1"
            )
            for server in (fast, failing)
        }
        region.run(0.1)
        self.assertEqual([len(fast.runs), len(failing.runs)], [0, 4])
        for server, seconds in ((fast, 0.1), (failing, 0.0)):
            state = owner.server_states[server.listed.id]
            region.runtime.call(
                owner.apply_listing, state, listings[server.listed.id], requested_at
            )
            region.run(seconds)
        failing.fails_all = False
        region.run(4.0)
        self.assertEqual(submission.outcome, DONE)
        starts = [task for _, task, _ in region.backend.starts]
        self.assertEqual([starts.count(f"j1.0.0.{index}") for index in range(4)], [1] * 4)


class FaultyServers(unittest.TestCase):
    def test_tasks_of_an_unreachable_server_run_elsewhere_after_its_lease(self):
        # Guards against waiting for a server that continues to run but is unreachable.
        region = started_region()
        submission = region.submit("a-1", "j1", count=3, duration_s=0.6)
        region.run(0.1)
        unreachable = region.backend.starts[0][2]
        region.backend.partitioned = {(name, unreachable) for name in region.members}
        region.run(3.0)
        self.assertEqual((submission.outcome, region.backend.violations), (DONE, []))
        region.backend.partitioned = set()
        later_submission = region.submit("a-1", "j2", count=10, duration_s=0.3)
        region.run(2.0)
        self.assertEqual((later_submission.outcome, region.backend.violations), (DONE, []))

    def test_runs_are_lost_when_a_server_restarts_under_its_name(self):
        region = started_region()
        submission = region.submit("a-1", "j1", count=3, duration_s=0.6)
        region.run(0.1)
        server = region.backend.servers[region.backend.starts[0][2]]
        server.crash()
        server.restart()
        region.run(2.0)
        self.assertEqual((submission.outcome, region.backend.violations), (DONE, []))

    def test_start_in_transit_to_a_restarting_server_is_resolved_first(self):
        # Guards against a task that runs twice: the new incarnation executes the start after the
        # task was placed elsewhere because its first listing lacked the run.
        region = started_region()
        lose_replies(region, "start", 0.06)
        submission = region.submit("a-1", "j1", count=1, duration_s=1.0)
        region.run(0.01)
        servers = [entry for entry in region.backend.servers.values()]
        started = {server_id for _, _, server_id in region.backend.starts}
        self.assertEqual(started, set())
        for server in servers:
            server.crash()
            server.restart()
            server.run_ended.set()
        region.run(3.0)
        self.assertEqual((submission.outcome, region.backend.violations), (DONE, []))

    def test_restarted_server_gets_no_tasks_before_its_new_capacity_is_known(self):
        # Guards against exceeding the capacity of a server that restarted with fewer cores while
        # the platform still lists the old entry.
        region = started_region({"a": 2}, servers=1)
        server = region.backend.servers["s-a-0"]
        old_entry = server.listed
        server.crash()
        server.restart()
        new_entry = attrs.evolve(old_entry, capacity=job.Demand(2000, 4096), born_ms=server.born_ms)
        region.run(0.5)
        submission = region.submit("a-1", "j1", count=4, duration_s=0.1)
        region.run(0.1)
        self.assertEqual(region.backend.starts, [])
        server.listed = new_entry
        for member in region.members.values():
            member.listed.changed()
        region.run(1.5)
        self.assertEqual((submission.outcome, region.backend.violations), (DONE, []))

    def test_tasks_of_a_hanging_server_run_elsewhere(self):
        # Guards against waiting for a server that answers all commands while its runs stall.
        region = started_region()
        server = next(iter(region.backend.servers.values()))
        server.is_hanging = True
        submissions = [region.submit("a-1", f"j{n}", count=2, duration_s=0.1) for n in range(3)]
        region.run(3.0)
        self.assertEqual([submission.outcome for submission in submissions], [DONE] * 3)
        self.assertEqual(region.backend.violations, [])

    def test_server_that_fails_everything_does_not_use_up_the_attempts(self):
        # Guards against retrying on the faulty server, which always has free capacity.
        region = started_region()
        next(iter(region.backend.servers.values())).fails_all = True
        submissions = []
        for number in range(12):
            submissions.append(region.submit("a-1", f"j{number}", count=3, duration_s=0.1))
            region.run(0.1)
        region.run(2.0)
        self.assertEqual({submission.outcome for submission in submissions}, {DONE})

    def test_draining_server_gets_no_new_tasks_and_keeps_its_runs(self):
        region = started_region(servers=2)
        submission = region.submit("a-1", "j1", count=6, duration_s=1.0)
        region.run(0.1)
        draining = region.backend.servers["s-a-0"]
        draining.listed = attrs.evolve(draining.listed, is_draining=True)
        for member in region.members.values():
            member.listed.changed()
        earlier_starts = len(region.backend.starts)
        later_submission = region.submit("a-1", "j2", count=4, duration_s=0.1)
        region.run(1.5)
        self.assertEqual((submission.outcome, later_submission.outcome), (DONE, DONE))
        later_servers = {
            server for _, task, server in region.backend.starts[earlier_starts:] if task[:2] == "j2"
        }
        self.assertEqual(later_servers, {"s-a-1"})


class PollsWithoutListing(unittest.TestCase):
    """Entries without a server of their own, such as those of a former holder of an address."""

    def setUp(self):
        self.region = started_region()
        self.polls = {}
        self.region.backend.fault_injector = self.count
        self.server = next(iter(self.region.backend.servers.values()))

    def count(self, kind, name, server):
        if kind == "hold":
            self.polls[server] = self.polls.get(server, 0) + 1

    def polls_in(self, seconds):
        self.polls.clear()
        self.region.run(seconds)
        return self.polls[self.server.listed.id]

    def refuse_polls(self):
        def refuse(*arguments):
            raise ports.CommandRefused(ports.RefusalReason.OTHER_INCARNATION)

        self.server.renew_lease = refuse

    def test_few_polls_reach_an_entry_without_a_server(self):
        # Guards against an owner that is too busy with such entries to serve the others.
        for disturb in (self.refuse_polls, lambda: self.server.crash()):
            self.setUp()
            disturb()
            self.region.run(3.0)
            self.assertLessEqual(self.polls_in(10.0), 21)

    def test_server_whose_entry_changes_is_polled_at_once(self):
        self.refuse_polls()
        self.region.run(3.0)
        del self.server.renew_lease
        self.server.listed = attrs.evolve(self.server.listed, address="10.0.0.77:1")
        for member in self.region.members.values():
            member.listed.changed()
        self.region.run(0.6)
        (owner,) = (
            member.node.owned_pools["a/r1"]
            for member in self.region.members.values()
            if "a/r1" in member.node.owned_pools
        )
        state = owner.server_states[self.server.listed.id]
        self.assertEqual((state.is_synced, state.failed_polls), (True, 0))

    def test_server_that_answers_again_is_used_within_the_longest_delay(self):
        self.server.is_up = False
        self.region.run(60.0)
        self.server.is_up = True
        self.region.run(server_commands.MAX_POLL_DELAY_S + 0.7)
        starts = len(self.region.backend.starts)
        self.region.submit("a-1", "j1", count=12, duration_s=0.2)
        self.region.run(0.1)
        used = {server for _, _, server in self.region.backend.starts[starts:]}
        self.assertIn(self.server.listed.id, used)


class FailingJob(unittest.TestCase):
    def test_job_fails_after_its_attempts_are_used_up(self):
        region = started_region()
        for server in region.backend.servers.values():
            server.fails_all = True
        submission = region.submit("a-1", "j1", count=1)
        region.run(8.0)
        self.assertEqual(submission.outcome.end, job.EndState.FAILED)
        self.assertEqual(len(region.backend.starts), 3)
