import unittest

from rosedyke.rerun import (
    admission,
    job,
    job_ordering,
    messages,
    owned_job,
    placement,
    ports,
    server_speed,
    server_state,
    settings,
    spillover,
)
from rosedyke.standins import rerun_region

HOLDER = messages.Instance("a-1", "10.0.0.1:7000", "a")
SETTLE_S = 1.5
DONE = job.Outcome(job.End.SUCCEEDED)


def waiting_job(job_id, arrived_at, estimate_s, objective_s, count=1, priority=0, cores=14):
    step = job.Step(count, job.Demand(cores * 1000), estimate_s)
    work = job.Job(job_id, "q", "s", "", (step,), priority, 2, objective_s, 3.0)
    names = tuple(name for name, _ in work.task_names())
    message = messages.Submit("a/r1", 0, 0.0, work, HOLDER, 0.0, names, False, False)
    return owned_job.OwnedJob.from_message(message, arrived_at)


def server(server_id, cores=32):
    listed = ports.Server(server_id, "10.0.0.9:80", "s", "a", "r1", job.Demand(cores * 1000))
    return server_state.ServerState(listed)


def rooms(*cores):
    return tuple((each * 1000, 1.0) for each in cores)


class Order(unittest.TestCase):
    def test_short_jobs_go_before_long_ones_that_have_time(self):
        long = waiting_job("long", 0.0, 0.9, 1.5)
        short = waiting_job("short", 0.1, 0.06, 0.16)
        self.assertEqual(job_ordering.order_jobs([long, short], 0.1, 1.0), [short, long])

    def test_what_is_late_anyway_waits_behind_what_can_make_it(self):
        late = waiting_job("late", 0.0, 0.06, 0.16)
        fresh = waiting_job("fresh", 0.9, 0.2, 0.4)
        self.assertEqual(job_ordering.order_jobs([late, fresh], 1.0, 1.0), [fresh, late])

    def test_of_late_jobs_the_more_important_queue_goes_first(self):
        first = waiting_job("first", 0.0, 0.06, 0.16, priority=2)
        second = waiting_job("second", 0.1, 0.06, 0.16, priority=0)
        self.assertEqual(job_ordering.order_jobs([first, second], 5.0, 1.0), [second, first])

    def test_job_that_a_fast_server_can_still_save_is_not_late(self):
        # With 0.2 s left for 0.3 s of work it would go behind everything that came later, and
        # so be late although a server twice as fast becomes free.
        tight = waiting_job("tight", 0.0, 0.3, 0.4)
        fresh = waiting_job("fresh", 0.2, 0.2, 0.5)
        self.assertEqual(job_ordering.order_jobs([fresh, tight], 0.2, 2.0), [tight, fresh])
        self.assertEqual(job_ordering.order_jobs([fresh, tight], 0.2, 1.0), [fresh, tight])


class Placement(unittest.TestCase):
    def setUp(self):
        self.speeds = server_speed.ServerSpeeds({"slow": 0.6, "fast": 1.6})
        self.slow, self.fast = server("slow"), server("fast", 48)
        self.task = waiting_job("j", 0.0, 0.1, 0.2).waiting_tasks()[0]

    def choose_server(self, **used):
        return placement.choose_server(self.task, "s", [self.slow, self.fast], self.speeds, used)

    def test_fastest_with_room(self):
        empty, full = job.Demand(), job.Demand(40_000)
        self.assertIs(self.choose_server(slow=empty, fast=empty), self.fast)
        self.assertIs(self.choose_server(slow=empty, fast=full), self.slow)
        self.assertIsNone(self.choose_server(slow=full, fast=full))
        self.assertIsNone(self.choose_server())

    def test_server_that_failed_the_task_is_the_last_choice(self):
        self.task.failed_on.add("fast")
        self.assertIs(self.choose_server(slow=job.Demand(), fast=job.Demand()), self.slow)
        self.assertIs(self.choose_server(fast=job.Demand()), self.fast)

    def test_long_task_waits_for_a_fast_server_that_is_free_in_time(self):
        # One in seven of the longest jobs is late: a slow server takes longer than the objective
        # allows, even for a task that starts at once, and a fast one would be free soon.
        task = waiting_job("j", 0.0, 0.9, 1.5).waiting_tasks()[0]
        run = server_state.Run("x", 1, job.Demand(14_000), server_state.RunState.STARTED, 0.0, 0.5)
        self.fast.runs = {("x", 1): run, ("y", 1): run, ("z", 1): run}
        used = {"slow": job.Demand(), "fast": job.Demand(42_000)}

        def should_wait(end_at):
            return placement.should_wait(
                task,
                self.slow,
                1.46,
                [self.slow, self.fast],
                self.speeds,
                used,
                lambda state, run: end_at,
                0.0,
            )

        self.assertTrue(should_wait(0.5))
        self.assertFalse(should_wait(1.2))

    def test_speed_is_learned_within_a_dozen_runs_and_bounded_in_one(self):
        learned = server_speed.ServerSpeeds()
        learned.record_run("s", 0.1, 10.0)
        self.assertGreater(learned.speed_of("s"), 0.9)
        for _ in range(30):
            learned.record_run("s", 0.1, 0.2)
        self.assertAlmostEqual(learned.speed_of("s"), 0.5, delta=0.05)


class Admission(unittest.TestCase):
    def test_hopeless_only_when_even_the_fastest_server_is_too_late(self):
        timing = settings.RerunSettings()
        item = waiting_job("j", 0.0, 0.3, 0.5)
        self.assertFalse(admission.is_hopeless(item, 1.1, 1.0, timing))
        self.assertTrue(admission.is_hopeless(item, 1.3, 1.0, timing))
        self.assertFalse(admission.is_hopeless(item, 1.3, 1.6, timing))

    def test_job_that_has_begun_is_not_held_until_its_caller_leaves(self):
        # Some tasks ran at once; the burst that followed puts the others behind all that can still
        # make it.  The caller would wait for three seconds and get no answer.
        timing = settings.RerunSettings()
        item = waiting_job("j", 0.0, 0.3, 0.5, count=2)
        item.has_started = True
        self.assertFalse(admission.is_hopeless(item, 1.7, 1.0, timing))
        self.assertTrue(admission.is_hopeless(item, 1.9, 1.0, timing))
        for task in item.tasks.values():
            task.state = owned_job.TaskState.PLACED
        self.assertFalse(admission.is_hopeless(item, 1.9, 1.0, timing))


class ExpectedEnd(unittest.TestCase):
    """Estimates are off by up to 40%; a pool full of overdue runs doesn't get room at once."""

    def setUp(self):
        started = server_state.RunState.STARTED
        self.run_ = server_state.Run("x", 1, job.Demand(), started, 1.0, 0.1, confirmed_at=1.0)

    def test_by_the_estimate_before_there_is_progress(self):
        self.assertAlmostEqual(self.run_.expected_end(0.2), 1.2)
        self.assertAlmostEqual(self.run_.remaining_s(0.2, 1.05), 0.15)

    def test_by_progress_as_soon_as_there_is_some(self):
        self.run_.percent, self.run_.progress_at = 25, 1.1
        self.assertAlmostEqual(self.run_.expected_end(0.2), 1.4)

    def test_overdue_run_is_not_about_to_end(self):
        self.assertAlmostEqual(self.run_.remaining_s(0.2, 2.0), 0.15)

    def test_progress_from_before_it_was_found_does_not_count(self):
        self.run_.initial_percent, self.run_.percent, self.run_.progress_at = 50, 75, 1.1
        self.assertAlmostEqual(self.run_.expected_end(0.2), 1.2)


class Spill(unittest.TestCase):
    def test_room_opens_with_each_end(self):
        self.assertEqual(spillover.expected_waits([0.2, 0.1], 3), [0.1, 0.2, 0.2])
        self.assertEqual(spillover.expected_waits([], 2), [1.0, 1.0])

    def test_task_that_has_waited_moves_though_a_run_is_about_to_end(self):
        # Some run of a pool always ends soon.  A task that needs more cores than that leaves free,
        # or a faster server, would wait in its pool for ever while another one has room.
        item = waiting_job("j", 1.0, 0.1, 0.2)
        tasks = [(item, task) for task in item.waiting_tasks()]
        self.assertEqual(spillover.movable_tasks(tasks, [0.005], 1.005), [])
        self.assertEqual(spillover.movable_tasks(tasks, [0.005], 1.02), tasks)
        self.assertEqual(spillover.movable_tasks(tasks, [0.1], 1.005), tasks)
        item.moves = spillover.MAX_MOVES
        self.assertEqual(spillover.movable_tasks(tasks, [0.1], 1.02), [])

    def test_no_more_tasks_move_than_the_room_holds(self):
        item = waiting_job("j", 0.0, 0.1, 0.2, count=4)
        tasks = [(item, task) for task in item.waiting_tasks()]
        found = spillover.assign_tasks(tasks, rooms(14, 32, 10), 1.6, 0.0)
        self.assertEqual({one.work.id: len(each) for one, each in found.items()}, {"j": 3})

    def test_most_urgent_task_gets_the_fastest_server(self):
        urgent, other = waiting_job("urgent", 0.0, 0.1, 0.2), waiting_job("other", 0.0, 0.1, 0.9)
        tasks = [(item, task) for item in (urgent, other) for task in item.waiting_tasks()]
        found = spillover.assign_tasks(tasks, ((14_000, 0.3), (14_000, 1.7)), 1.6, 0.0)
        self.assertEqual(set(found), {urgent, other})
        self.assertEqual(set(spillover.assign_tasks(tasks, ((14_000, 1.7),), 1.6, 0.0)), {urgent})

    def test_long_task_goes_only_where_it_is_in_time(self):
        item = waiting_job("j", 0.0, 0.9, 1.4)
        tasks = [(item, task) for task in item.waiting_tasks()]
        slow = ((32_000, 0.6),)
        self.assertEqual(spillover.assign_tasks(tasks, slow, 1.6, 0.0), {})
        self.assertEqual(len(spillover.assign_tasks(tasks, slow, 1.6, 2.0)), 1)

    def test_task_waits_for_a_server_that_is_as_fast_as_those_observed(self):
        # Guards against a fixed idea of the fastest server: the long task would go to a slow one
        # although a server of speed 4 ends it in time.
        item = waiting_job("j", 0.0, 0.9, 0.3)
        tasks = [(item, task) for task in item.waiting_tasks()]
        self.assertEqual(spillover.assign_tasks(tasks, rooms(32), 4.0, 0.0), {})
        self.assertEqual(len(spillover.assign_tasks(tasks, rooms(32), 1.0, 0.0)), 1)

    def test_task_moves_to_a_slow_server_when_all_observed_are_slow(self):
        # Guards against a fixed idea of the fastest server: the task would wait for one of speed
        # 1.6 while all are of speed 0.3.
        item = waiting_job("j", 0.0, 0.1, 0.2)
        tasks = [(item, task) for task in item.waiting_tasks()]
        self.assertEqual(len(spillover.assign_tasks(tasks, ((32_000, 0.3),), 0.3, 0.0)), 1)

    def test_job_wider_than_its_pool_uses_those_beside_it(self):
        # A single wide job is late on an idle fleet: its pool has room for 12 of its 24 tasks.
        region = rerun_region.Region({"a": 2, "b": 2})
        region.run(SETTLE_S)
        began = region.runtime.now()
        held = region.submit(region.other("a"), "j1", count=24, duration_s=0.5)
        region.run(2.0)
        self.assertEqual((held.outcome, region.world.violations), (DONE, []))
        self.assertLess(held.ended_at - began, 0.55)
        self.assertEqual(len(region.world.starts), 24)

    def test_parts_that_meet_again_in_a_pool_are_not_mixed_up(self):
        # Tasks run twice at once, or again.  Full pools pass tasks of one job on, and some come
        # to a pool that has others of it; the end of those crosses the new ones on their way.
        region = rerun_region.Region({"a": 2, "b": 2, "c": 2}, servers=2)
        region.run(SETTLE_S)
        region.network.delay_s = lambda source, target, message: (
            0.02 if isinstance(message, messages.JobEnded) else 0.0005
        )
        names = sorted(region.members)
        draw = region.runtime.generator
        held = []
        for number in range(150):
            held.append(
                region.submit(
                    draw.choice(names),
                    f"j{number}",
                    count=draw.randint(1, 14),
                    duration_s=draw.choice((0.02, 0.05, 0.2)),
                    timeout_s=8.0,
                )
            )
            region.run(0.025)
        region.run(8.0)
        tasks = [task for _, task, _ in region.world.starts]
        self.assertEqual(region.world.violations, [])
        self.assertEqual(len(tasks), len(set(tasks)))
        ends = {one.outcome.end for one in held}
        self.assertLessEqual(ends, {job.End.SUCCEEDED, job.End.REFUSED})

    def test_released_tasks_whose_message_is_lost_run_all_the_same(self):
        # The caller is told that its job succeeded although a part of it never ran.  A full pool
        # gives tasks back to the holder, and that message is lost.
        region = rerun_region.Region({"a": 2, "b": 2})
        region.run(SETTLE_S)
        delay = region.network.delay_s
        region.network.delay_s = lambda source, target, message: (
            None if isinstance(message, messages.TasksReleased) else delay(source, target, message)
        )
        held = region.submit(region.other("a"), "j1", count=24, duration_s=0.3)
        region.run(3.0)
        self.assertEqual((held.outcome, region.world.violations), (DONE, []))
        done = {task for _, task, _ in region.world.starts}
        self.assertEqual(len(done), 24)

    def test_tasks_between_two_pools_are_not_taken_for_done(self):
        # The caller is told that its job succeeded although a part of it never ran.  Tasks were
        # released while the holder knows of no owner for a moment, as after a start; meanwhile
        # all other tasks end.
        region = rerun_region.Region({"a": 2, "b": 2})
        region.run(SETTLE_S)
        holder = region.other("a")
        node = region.members[holder].node
        released = node.holder.on_released

        def forget_and_release(message):
            node.fleet.owners.clear()
            released(message)

        node.holder.on_released = forget_and_release
        held = region.submit(holder, "j1", count=24, duration_s=0.06)
        region.run(2.0)
        self.assertEqual(held.outcome, DONE)
        self.assertEqual(len({task for _, task, _ in region.world.starts}), 24)

    def test_pool_lost_with_a_part_of_a_job(self):
        region = rerun_region.Region({"a": 2, "b": 2})
        region.run(SETTLE_S)
        held = region.submit(region.other("a"), "j1", count=24, duration_s=1.2)
        region.run(0.4)
        region.kill(region.owner("b"))
        region.run(4.0)
        self.assertEqual((held.outcome, region.world.violations), (DONE, []))


class TwoParts(unittest.TestCase):
    def test_task_that_two_parts_hold_starts_once(self):
        # A task runs twice at once.  Its holder handed it over again after a message was lost, and
        # both parts reach the owner before it places anything.
        region = rerun_region.Region({"a": 2})
        region.run(SETTLE_S)
        name = region.other("a")
        owner = region.members[region.owner("a")].node.owned["a/r1"]
        holder = region.members[name].own
        work = job.Job(
            "j1", "q", rerun_region.SERVICE, "", (job.Step(1, job.Demand(3000), 0.1),), 0, 2, 1, 3
        )
        region.world.durations["j1"] = 0.1
        tasks = tuple(task for task, _ in work.task_names())
        for part in (1, 2):
            sent_at = region.runtime.now()
            owner.requests.submit(
                messages.Submit("a/r1", part, sent_at, work, holder, 0.0, tasks, False, False)
            )
        region.run(0.05)
        self.assertEqual((len(region.world.starts), region.world.violations), (1, []))


class Offers(unittest.TestCase):
    """Room that comes up in one pool while tasks wait in others."""

    def setUp(self):
        self.region = rerun_region.Region({"a": 2, "b": 2, "c": 2})
        self.region.run(SETTLE_S)
        self.offers = []
        for member in self.region.members.values():
            node = member.node
            node.offer_capacity = lambda target, offer, send=node.offer_capacity: (
                self.offers.append((self.region.runtime.now(), offer)),
                send(target, offer),
            )

    def fill(self, data_centre, duration_s):
        """Run four tasks of one core on each of a pool's three servers."""
        owner = self.region.members[self.region.owner(data_centre)]
        owner.node.fleet.has_recent_report = lambda pool: pool.startswith(data_centre)
        held = self.region.submit(owner.own.name, f"{data_centre}-full", 12, duration_s)
        self.region.run(0.02)
        return held

    def test_task_moves_at_the_moment_when_room_comes_up(self):
        # Two pools are full for long and one for a moment.  A job waits in a full one; nobody had
        # room when its owner asked, so it would wait for 0.9 s although servers are free.
        for data_centre, duration_s in (("a", 1.0), ("b", 0.2), ("c", 1.0)):
            self.fill(data_centre, duration_s)
        began = self.region.runtime.now()
        held = self.region.submit(self.region.owner("a"), "j1", 4, 0.1)
        self.region.run(1.5)
        self.assertEqual((held.outcome, self.region.world.violations), (DONE, []))
        # What is left of 0.2 s, then the job itself, and a few messages of half a millisecond.
        self.assertLess(held.ended_at - began, 0.2 + 0.1 + 0.01)

    def test_full_pool_asks_the_one_that_has_room(self):
        # Guards against questions to full pools: seven of eight are full, and the one with room
        # was asked by chance only, among four.
        region = self.region = rerun_region.Region({name: 1 for name in "abcdefgh"})
        region.run(SETTLE_S)
        for data_centre in "abcdefg":
            self.fill(data_centre, 1.0)
        region.run(0.4)
        asked = []
        node = region.members["a-1"].node
        node.holder.send = lambda target, message: asked.append((target.name, type(message)))
        region.submit("a-1", "j1", 4, 0.1)
        region.run(0.01)
        self.assertEqual(asked, [("h-1", messages.CapacityRequest)])

    def test_full_pool_offers_nothing(self):
        for data_centre in "abc":
            self.fill(data_centre, 0.5)
        self.region.submit(self.region.owner("a"), "j1", 4, 0.1)
        self.region.run(0.3)
        self.assertEqual(self.offers, [])

    def test_room_is_offered_to_one_pool_at_a_time(self):
        # Two full pools that send their tasks to the same room move half of them in vain.
        self.fill("a", 1.0)
        self.fill("b", 1.0)
        for data_centre in "ab":
            self.region.submit(self.region.owner(data_centre), f"{data_centre}-1", 12, 0.4)
        self.region.run(0.01)
        self.assertEqual({offer.pool for _, offer in self.offers}, {"c/r1"})
        offered = sum(free for _, offer in self.offers for free, _ in offer.rooms)
        self.assertLessEqual(offered, 12_000)


class Burst(unittest.TestCase):
    def test_every_job_of_a_burst_gets_a_timely_answer(self):
        # Twice what the servers can do for two seconds: what can't be answered in time is refused
        # while its caller still waits, nothing of it has started, and nobody waits in vain.
        region = rerun_region.Region({"a": 2})
        region.run(SETTLE_S)
        held = []
        for number in range(200):
            held.append(region.submit("a-1", f"j{number}", count=3, duration_s=0.4, timeout_s=6.0))
            region.run(0.01)
        region.run(8.0)
        ends = {one.outcome.end for one in held}
        self.assertEqual(ends, {job.End.SUCCEEDED, job.End.REFUSED})
        started = {job.job_id(task) for _, task, _ in region.world.starts}
        refused = {f"j{n}" for n, one in enumerate(held) if one.outcome.end is job.End.REFUSED}
        self.assertEqual(started & refused, set())
        self.assertEqual(region.world.violations, [])
        # 12 tasks at once for 0.4 s each are 10 jobs a second, for 2 s and the 4.9 s after that
        # in which an answer is still of use.
        self.assertGreater(len(held) - len(refused), 60)
