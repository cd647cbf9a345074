import unittest

import attrs

from rosedyke.rerun import job
from rosedyke.standins import rerun_region

SETTLE_S = 1.5
DONE = job.Outcome(job.End.SUCCEEDED)


def settled(sizes=None, servers=3):
    region = rerun_region.Region(sizes or {"a": 2}, servers)
    region.run(SETTLE_S)
    return region


def lose_answers(region, kind, *late_s):
    """Leave the next orders of a kind unanswered; each is carried out after its seconds."""
    left = list(late_s)
    region.world.fate = lambda found, name, server: left.pop() if found == kind and left else None


class LateOrders(unittest.TestCase):
    def test_start_that_is_carried_out_seconds_later_runs_nowhere_else_meanwhile(self):
        # The task would run twice.  The server leaves a start without an answer and carries it
        # out 2 s later, when the task has long been placed on another server.
        region = settled()
        lose_answers(region, "start", 2.0)
        held = region.submit("a-1", "j1", count=2, duration_s=3.0)
        region.run(6.0)
        self.assertEqual(held.outcome, DONE)
        self.assertEqual(region.world.violations, [])
        self.assertEqual(len(region.world.starts), 2)

    def test_start_whose_answer_alone_is_lost_goes_on(self):
        # Work would be thrown away.  The server has started the task; only its answer is lost.
        region = settled()
        lose_answers(region, "start", 0.0)
        held = region.submit("a-1", "j1", count=1, duration_s=1.0)
        region.run(1.5)
        self.assertEqual((held.outcome, len(region.world.starts)), (DONE, 1))

    def test_end_is_seen_soon_though_the_long_poll_for_it_is_lost(self):
        # Short jobs miss their objective.  A server leaves a long poll without an answer; the task
        # ends meanwhile, and its end was read only when that poll was given up, 0.5 s later.
        region = settled()
        held = region.submit("a-1", "j1", count=1, duration_s=0.15)
        region.run(0.01)
        server = region.world.starts[0][2]
        lost = [9.0]
        region.world.fate = lambda kind, name, target: (
            lost.pop() if kind == "hold" and target == server and lost else None
        )
        region.world.servers[server].something_ended.set()
        began = region.runtime.now()
        region.run(1.5)
        self.assertEqual((held.outcome, lost), (DONE, []))
        self.assertLess(held.ended_at - began, 0.15 + 0.15)

    def test_stop_without_answer_is_sent_again(self):
        region = settled()
        lose_answers(region, "stop", 5.0, 5.0)
        held = region.submit("a-1", "j1", count=1, duration_s=9.0)
        region.run(0.3)
        held.gone.set()
        region.run(0.8)
        self.assertEqual(sum(len(each.runs) for each in region.world.servers.values()), 0)

    def test_many_lost_orders_break_no_rule(self):
        # Servers leave one order in six unanswered and carry it out 0 to 4 s later, holds too.
        region = settled({"a": 2}, servers=4)
        chance = region.runtime.generator

        def fate(kind, name, server):
            return chance.uniform(0.0, 4.0) if chance.random() < 0.16 else None

        region.world.fate = fate
        held = []
        for number in range(60):
            held.append(region.submit("a-1", f"j{number}", count=3, duration_s=0.15, timeout_s=3.0))
            region.run(0.1)
        region.run(6.0)
        self.assertEqual(region.world.violations, [])
        done = sum(one.outcome == DONE for one in held)
        self.assertGreater(done, 50)


class BadServers(unittest.TestCase):
    def test_tasks_of_a_silent_server_run_elsewhere_once_its_lease_is_over(self):
        # The caller waits for a task on a server that is cut off and runs on.
        region = settled()
        held = region.submit("a-1", "j1", count=3, duration_s=0.6)
        region.run(0.1)
        lost = region.world.starts[0][2]
        region.world.cut = {(name, lost) for name in region.members}
        region.run(3.0)
        self.assertEqual((held.outcome, region.world.violations), (DONE, []))
        region.world.cut = set()
        after = region.submit("a-1", "j2", count=10, duration_s=0.3)
        region.run(2.0)
        self.assertEqual((after.outcome, region.world.violations), (DONE, []))

    def test_server_that_comes_back_under_its_name_has_lost_its_runs(self):
        region = settled()
        held = region.submit("a-1", "j1", count=3, duration_s=0.6)
        region.run(0.1)
        server = region.world.servers[region.world.starts[0][2]]
        server.crash()
        server.restart()
        region.run(2.0)
        self.assertEqual((held.outcome, region.world.violations), (DONE, []))

    def test_order_on_its_way_to_a_server_that_restarts_is_settled_first(self):
        # A task runs twice at once.  A server restarts under its name while a start is on its way
        # to it; its first listing doesn't have that run yet, so the task was placed elsewhere,
        # and then the order is carried out by the new incarnation.
        region = settled()
        lose_answers(region, "start", 0.06)
        held = region.submit("a-1", "j1", count=1, duration_s=1.0)
        region.run(0.01)
        servers = [each for each in region.world.servers.values()]
        started = {server for _, _, server in region.world.starts}
        self.assertEqual(started, set())
        for server in servers:
            server.crash()
            server.restart()
            server.something_ended.set()
        region.run(3.0)
        self.assertEqual((held.outcome, region.world.violations), (DONE, []))

    def test_restarted_server_gets_no_tasks_before_its_new_size_is_known(self):
        # A server is over its capacity.  It comes back under its name with fewer cores; the
        # platform's list still has the old entry when its first listing comes.
        region = settled({"a": 2}, servers=1)
        server = region.world.servers["s-a-0"]
        old = server.listed
        server.crash()
        server.restart()
        small = attrs.evolve(old, capacity=job.Demand(2000, 4096), born_ms=server.born_ms)
        region.run(0.5)
        held = region.submit("a-1", "j1", count=4, duration_s=0.1)
        region.run(0.1)
        self.assertEqual(region.world.starts, [])
        server.listed = small
        for member in region.members.values():
            member.listed.changed()
        region.run(1.5)
        self.assertEqual((held.outcome, region.world.violations), (DONE, []))

    def test_hanging_server_loses_its_tasks_to_others(self):
        # Callers wait until their time is over.  A server answers everything, but what runs there
        # makes no progress.
        region = settled()
        server = next(iter(region.world.servers.values()))
        server.is_hanging = True
        held = [region.submit("a-1", f"j{n}", count=2, duration_s=0.1) for n in range(3)]
        region.run(3.0)
        self.assertEqual([one.outcome for one in held], [DONE] * 3)
        self.assertEqual(region.world.violations, [])

    def test_server_that_fails_everything_does_not_use_up_the_attempts(self):
        # Jobs are answered as failed.  A server fails each task at once, so it always has room
        # and would get every next attempt.
        region = settled()
        next(iter(region.world.servers.values())).fails_all = True
        held = []
        for number in range(12):
            held.append(region.submit("a-1", f"j{number}", count=3, duration_s=0.1))
            region.run(0.1)
        region.run(2.0)
        self.assertEqual({one.outcome for one in held}, {DONE})

    def test_draining_server_gets_nothing_new_and_keeps_what_it_has(self):
        region = settled(servers=2)
        held = region.submit("a-1", "j1", count=6, duration_s=1.0)
        region.run(0.1)
        leaving = region.world.servers["s-a-0"]
        leaving.listed = attrs.evolve(leaving.listed, is_draining=True)
        for member in region.members.values():
            member.listed.changed()
        began = len(region.world.starts)
        after = region.submit("a-1", "j2", count=4, duration_s=0.1)
        region.run(1.5)
        self.assertEqual((held.outcome, after.outcome), (DONE, DONE))
        new = {server for _, task, server in region.world.starts[began:] if task[:2] == "j2"}
        self.assertEqual(new, {"s-a-1"})


class Poison(unittest.TestCase):
    def test_job_that_always_fails_is_answered_as_failed(self):
        region = settled()
        for server in region.world.servers.values():
            server.fails_all = True
        held = region.submit("a-1", "j1", count=1)
        region.run(8.0)
        self.assertEqual(held.outcome.end, job.End.FAILED)
        self.assertEqual(len(region.world.starts), 3)
