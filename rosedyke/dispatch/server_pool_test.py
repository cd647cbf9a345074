import unittest

import attrs

from rosedyke.configuration import intent
from rosedyke.dispatch import messages, server_pool, settings, slot_lease, speed
from rosedyke.wire import peer

HOLDER = peer.Peer("a", 1, "dc1", "x")
OTHER = peer.Peer("b", 1, "dc1", "x")
OPTIONS = settings.DispatchSettings()


def make_pool(slots, limit=None, size=intent.Size()):  # noqa: B008 (frozen)
    made = server_pool.Pool("scale/0", speed.SpeedTable(), OPTIONS)
    servers = tuple(
        intent.BackendServer(name, "x", "dc1", count, size=size) for name, count in slots.items()
    )
    made.declare(servers, limit, 0.0)
    for server in made.servers.values():
        server.settle(0, set(), 0.0)
    made.make_ready(made.unready())
    return made


def asked(number, count, run_time_s=0.1, size=intent.Size(), deadline_s=30.0):  # noqa: B008
    group = messages.TaskGroup("tag", run_time_s, size, tuple(range(count)))
    return messages.SlotRequest(number, (group,), deadline_s)


def assign(made, now):
    return made.assign(now, lambda name: False)


def release(made, held, now, outcome=slot_lease.Outcome.DONE, run_s=0.1):
    told = messages.Release(held.request, held.index, outcome.value, run_s)
    made.release(held.holder, told, now)


class Slots(unittest.TestCase):
    def test_no_more_grants_than_slots(self):
        made = make_pool({"s1": 2, "s2": 3})
        made.add(HOLDER, asked(1, 20), 0.0)
        first = assign(made, 0.0)
        self.assertEqual(len(first), 5)
        self.assertEqual(assign(made, 0.0), [])
        release(made, first[0], 0.1)
        self.assertEqual(len(assign(made, 0.1)), 1)

    def test_released_twice_frees_one_slot(self):
        made = make_pool({"s1": 1})
        made.add(HOLDER, asked(1, 3), 0.0)
        held = assign(made, 0.0)[0]
        release(made, held, 0.1)
        release(made, held, 0.1)
        self.assertEqual(len(assign(made, 0.1)), 1)
        self.assertEqual(assign(made, 0.1), [])

    def test_request_told_twice_is_granted_once(self):
        # The reply with the grants was lost, so the holder asks again under the same number.
        made = make_pool({"s1": 4})
        made.add(HOLDER, asked(1, 2), 0.0)
        granted = assign(made, 0.0)
        self.assertEqual(made.add(HOLDER, asked(1, 2), 0.5), granted)
        self.assertEqual(assign(made, 0.5), [])

    def test_concurrency_limit_is_held_below_the_slots(self):
        made = make_pool({"s1": 4, "s2": 4}, limit=3)
        made.add(HOLDER, asked(1, 20), 0.0)
        self.assertEqual(len(assign(made, 0.0)), 3)
        self.assertEqual(made.report(0.0, lambda name: False).slots, 3)

    def test_new_server_gets_nothing_before_it_said_what_runs(self):
        made = make_pool({"s1": 1})
        grown = tuple(intent.BackendServer(name, "x", "dc1", 2) for name in ("s1", "s2"))
        made.declare(grown, None, 1.0)
        made.add(HOLDER, asked(1, 9), 1.0)
        self.assertEqual({held.server for held in assign(made, 1.0)}, {"s1"})
        made.make_ready({"s2"})
        self.assertEqual(assign(made, 1.0), [])
        made.servers["s2"].settle(1, set(), 1.0)
        self.assertEqual([held.server for held in assign(made, 1.0)], ["s2"])

    def test_removed_server_keeps_its_leases_and_gets_no_more(self):
        made = make_pool({"s1": 1, "s2": 1})
        made.add(HOLDER, asked(1, 9), 0.0)
        held = {one.server: one for one in assign(made, 0.0)}
        made.declare((made.servers["s1"].declared,), None, 0.1)
        release(made, held["s2"], 0.2)
        self.assertEqual(assign(made, 0.2), [])
        made.declare((made.servers["s1"].declared,), None, 0.3)
        self.assertEqual(list(made.servers), ["s1"])


class TakenOver(unittest.TestCase):
    def test_slot_released_before_it_was_told_stays_free(self):
        # The release overtakes the answer that lists the slot; the slot must not be leased to
        # nobody until the job's deadline.
        made = server_pool.Pool("scale/0", speed.SpeedTable(), OPTIONS)
        made.declare((intent.BackendServer("s1", "x", "dc1", 2),), None, 0.0)
        made.release(HOLDER, messages.Release(7, 0, "done", 0.1), 0.0)
        slots = tuple(
            messages.HeldSlot(7, i, "s1", "tag", intent.Size(), 0.1, 0.05, 20.0) for i in (0, 1)
        )
        made.restore(HOLDER, slots, 0.0)
        made.make_ready(made.unready())
        self.assertEqual([key.index for key in made.leases], [1])

    def test_server_that_runs_more_than_is_known_keeps_slots_free_for_it(self):
        made = server_pool.Pool("scale/0", speed.SpeedTable(), OPTIONS)
        made.declare((intent.BackendServer("s1", "x", "dc1", 4),), None, 0.0)
        made.restore(
            HOLDER, (messages.HeldSlot(7, 0, "s1", "tag", intent.Size(), 0.1, 0.05, 20.0),), 0.0
        )
        made.make_ready(made.unready())
        server = made.servers["s1"]
        server.settle(3, set(made.leases), 0.0)
        self.assertEqual((server.orphans, server.free()), (2, 1))
        server.settle(4, set(made.leases), 0.1)  # never more again without a new loss
        self.assertEqual(server.orphans, 2)


class Stalled(unittest.TestCase):
    def test_vanished_task_hidden_by_a_new_one_is_found_later(self):
        # The server counts one running task.  It is the new one, but might be the old one.
        made = make_pool({"s1": 2})
        made.add(HOLDER, asked(1, 1), 0.0)
        old = assign(made, 0.0)[0]
        made.add(HOLDER, asked(2, 1), 2.4)
        server = made.servers["s1"]
        new = assign(made, 2.4)[0]
        overdue = server.overdue(2.5, 2.0)
        self.assertEqual(overdue, [old])
        server.stall(1, {old.key}, overdue, 2.5)
        self.assertEqual((server.stalled, server.overdue(2.6, 2.0)), (set(), []))
        release(made, new, 2.6)
        server.stall(0, {old.key}, server.overdue(5.1, 2.0), 5.1)
        self.assertEqual((server.stalled, server.free()), ({old.key}, 2))
        release(made, old, 60.0, slot_lease.Outcome.LATE)
        self.assertEqual((server.stalled, server.checked), (set(), {}))


class Order(unittest.TestCase):
    def test_job_with_the_least_left_goes_first(self):
        made = make_pool({"s1": 1})
        made.add(HOLDER, asked(1, 50), 0.0)
        first = assign(made, 0.0)[0]
        made.add(OTHER, asked(1, 2), 0.01)
        release(made, first, 0.1)
        self.assertEqual(assign(made, 0.1)[0].holder, OTHER)

    def test_large_job_is_not_starved_by_a_stream_of_small_ones(self):
        # Small jobs alone would fill the server for ever.  Aging brings the large one its turn.
        made = make_pool({"s1": 1})
        made.add(HOLDER, asked(1, 50, deadline_s=1e6), 0.0)
        now, got = 0.0, 0
        for number in range(2, 2000):
            made.add(OTHER, asked(number, 1, deadline_s=1e6), now)
            for held in assign(made, now):
                got += held.holder == HOLDER
                release(made, held, now + 0.1)
            now += 0.1
        self.assertGreater(got, 20)

    def test_longest_task_of_a_job_goes_first(self):
        made = make_pool({"s1": 1})
        groups = tuple(
            messages.TaskGroup("tag", run_s, intent.Size(), (index,))
            for index, run_s in enumerate((0.1, 0.9, 0.3))
        )
        made.add(HOLDER, messages.SlotRequest(1, groups, 30.0), 0.0)
        self.assertEqual(assign(made, 0.0)[0].index, 1)


class Placement(unittest.TestCase):
    def learned(self, **speeds):
        made = make_pool({name: 1 for name in speeds})
        for _ in range(40):
            for name, pace in speeds.items():
                made.speeds.learn("tag", name, 1.0, 1.0 / pace)
        return made

    def test_last_task_waits_for_a_fast_server_rather_than_take_a_slow_one(self):
        made = self.learned(fast=8.0, slow=1.0)
        made.add(HOLDER, asked(1, 2, run_time_s=1.0), 0.0)
        granted = assign(made, 0.0)
        self.assertEqual([held.server for held in granted], ["fast"])
        release(made, granted[0], 0.125, run_s=0.125)
        self.assertEqual([held.server for held in assign(made, 0.125)], ["fast"])

    def test_slow_server_is_used_when_the_fast_one_has_enough_to_do(self):
        made = self.learned(fast=8.0, slow=1.0)
        made.add(HOLDER, asked(1, 20, run_time_s=1.0), 0.0)
        self.assertEqual({held.server for held in assign(made, 0.0)}, {"fast", "slow"})

    def test_task_goes_only_where_it_fits(self):
        made = make_pool({"s1": 2}, size=intent.Size(cores=2, memory_mb=100))
        made.add(HOLDER, asked(1, 1, size=intent.Size(memory_mb=200)), 0.0)
        made.add(HOLDER, asked(2, 1, size=intent.Size(memory_mb=50)), 0.0)
        self.assertEqual([held.request for held in assign(made, 0.0)], [2])

    def test_task_does_not_wait_for_a_fast_server_that_is_too_small(self):
        made = self.learned(fast=8.0, slow=1.0)
        small = attrs.evolve(made.servers["fast"].declared, size=intent.Size(memory_mb=10))
        large = attrs.evolve(made.servers["slow"].declared, size=intent.Size(memory_mb=99))
        made.declare((small, large), None, 0.0)
        made.add(HOLDER, asked(1, 1, run_time_s=1.0, size=intent.Size(memory_mb=50)), 0.0)
        self.assertEqual([held.server for held in assign(made, 0.0)], ["slow"])

    def test_tasks_together_stay_within_a_servers_size(self):
        made = make_pool({"s1": 8}, size=intent.Size(cores=32, memory_mb=1000))
        made.add(HOLDER, asked(1, 8, size=intent.Size(cores=1, memory_mb=300)), 0.0)
        granted = assign(made, 0.0)
        self.assertEqual(len(granted), 3)
        made.add(HOLDER, asked(2, 1, size=intent.Size(memory_mb=90)), 0.0)
        self.assertEqual([held.request for held in assign(made, 0.0)], [2])
        release(made, granted[0], 0.1)
        self.assertEqual([held.request for held in assign(made, 0.1)], [1])


class Ejection(unittest.TestCase):
    def fail(self, made, name, now, count):
        for number in range(count):
            made.add(HOLDER, asked(1000 + int(now * 1000) + number, 20), now)
            for held in assign(made, now):
                bad = held.server == name
                outcome = slot_lease.Outcome.FAILED if bad else slot_lease.Outcome.DONE
                release(made, held, now, outcome)

    def test_server_that_fails_everything_is_ejected_and_returns_slowly(self):
        made = make_pool({"s1": 4, "s2": 4, "s3": 4})
        self.fail(made, "s1", 1.0, 1)
        health = made.servers["s1"].health
        self.assertTrue(health.is_ejected(1.5))
        made.add(HOLDER, asked(5000, 20), 1.5)
        self.assertNotIn("s1", {held.server for held in assign(made, 1.5)})
        for held in list(made.leases.values()):
            release(made, held, 1.6)
        counts = []
        for _ in range(3):
            granted = [one for one in assign(made, 3.0) if one.server == "s1"]
            counts.append(len(granted))
            made.add(HOLDER, asked(6000 + len(counts), 40), 3.0)
            for held in list(made.leases.values()):
                release(made, held, 3.0)
        self.assertEqual(counts[0], 1)
        self.assertLessEqual(counts, [1, 2, 4])

    def test_each_further_failure_ejects_for_longer(self):
        made = make_pool({"s1": 4, "s2": 4, "s3": 4})
        self.fail(made, "s1", 1.0, 1)
        first = made.servers["s1"].health.held_until
        self.fail(made, "s1", first + 0.01, 1)
        self.assertGreater(made.servers["s1"].health.held_until - first, 1.9)

    def test_tasks_sent_too_late_do_not_eject_a_server_and_silent_ones_do(self):
        made = make_pool({"s1": 3, "s2": 3, "s3": 3})
        for elapsed_s, is_ejected in ((0.15, False), (0.5, True)):
            made.add(HOLDER, asked(int(elapsed_s * 100), 9), 1.0)
            for held in assign(made, 1.0):
                late = held.server == "s1"
                outcome = slot_lease.Outcome.LATE if late else slot_lease.Outcome.DONE
                release(made, held, 1.0 + elapsed_s, outcome)
            made.servers["s1"].settle(0, set(), 9.0)
            health = made.servers["s1"].health
            self.assertEqual(health.is_ejected(1.0 + elapsed_s), is_ejected)

    def test_a_fault_of_the_tasks_ejects_only_a_share_of_the_servers(self):
        made = make_pool({f"s{number}": 2 for number in range(6)})
        for number in range(30):
            made.add(HOLDER, asked(number + 1, 20), 1.0)
            for held in assign(made, 1.0):
                release(made, held, 1.0, slot_lease.Outcome.FAILED)
        ejected = [one for one in made.servers.values() if one.health.is_ejected(1.0)]
        self.assertEqual(len(ejected), 2)
