import unittest

import attrs

from rosedyke.configuration import intent
from rosedyke.dispatch import messages, server_pool, settings, slot_lease, speed
from rosedyke.wire import peer

HOLDER = peer.Peer("a", 1, "dc1", "x")
OTHER_HOLDER = peer.Peer("b", 1, "dc1", "x")
OPTIONS = settings.DispatchSettings()


def make_pool(slots, limit=None, size=intent.Size()):  # noqa: B008 (frozen)
    pool = server_pool.ServerPool("scale/0", speed.SpeedTable(), OPTIONS)
    servers = tuple(
        intent.BackendServer(name, "x", "dc1", count, size=size) for name, count in slots.items()
    )
    pool.update_servers(servers, limit, 0.0)
    for server in pool.servers.values():
        server.reconcile_orphans(0, set(), 0.0)
    pool.mark_recovered(pool.unrecovered_servers())
    return pool


def slot_request(number, count, run_time_s=0.1, size=intent.Size(), deadline_s=30.0):  # noqa: B008
    group = messages.TaskGroup("tag", run_time_s, size, tuple(range(count)))
    return messages.SlotRequest(number, (group,), deadline_s)


def grant_slots(pool, now):
    return pool.grant_slots(now, lambda name: False)


def release(pool, lease, now, outcome=slot_lease.Outcome.DONE, run_s=0.1):
    release_message = messages.Release(lease.request, lease.index, outcome.value, run_s)
    pool.release(lease.holder, release_message, now)


class Slots(unittest.TestCase):
    def test_no_more_grants_than_slots(self):
        pool = make_pool({"s1": 2, "s2": 3})
        pool.add(HOLDER, slot_request(1, 20), 0.0)
        first = grant_slots(pool, 0.0)
        self.assertEqual(len(first), 5)
        self.assertEqual(grant_slots(pool, 0.0), [])
        release(pool, first[0], 0.1)
        self.assertEqual(len(grant_slots(pool, 0.1)), 1)

    def test_duplicate_release_frees_one_slot(self):
        pool = make_pool({"s1": 1})
        pool.add(HOLDER, slot_request(1, 3), 0.0)
        lease = grant_slots(pool, 0.0)[0]
        release(pool, lease, 0.1)
        release(pool, lease, 0.1)
        self.assertEqual(len(grant_slots(pool, 0.1)), 1)
        self.assertEqual(grant_slots(pool, 0.1), [])

    def test_duplicate_request_is_granted_once(self):
        # The holder repeats a request under the same number if the reply was lost.
        pool = make_pool({"s1": 4})
        pool.add(HOLDER, slot_request(1, 2), 0.0)
        granted = grant_slots(pool, 0.0)
        self.assertEqual(pool.add(HOLDER, slot_request(1, 2), 0.5), granted)
        self.assertEqual(grant_slots(pool, 0.5), [])

    def test_concurrency_limit_is_held_below_the_slots(self):
        pool = make_pool({"s1": 4, "s2": 4}, limit=3)
        pool.add(HOLDER, slot_request(1, 20), 0.0)
        self.assertEqual(len(grant_slots(pool, 0.0)), 3)
        self.assertEqual(pool.report(0.0, lambda name: False).slots, 3)

    def test_new_server_gets_no_tasks_before_it_was_probed(self):
        pool = make_pool({"s1": 1})
        enlarged = tuple(intent.BackendServer(name, "x", "dc1", 2) for name in ("s1", "s2"))
        pool.update_servers(enlarged, None, 1.0)
        pool.add(HOLDER, slot_request(1, 9), 1.0)
        self.assertEqual({lease.server for lease in grant_slots(pool, 1.0)}, {"s1"})
        pool.mark_recovered({"s2"})
        self.assertEqual(grant_slots(pool, 1.0), [])
        pool.servers["s2"].reconcile_orphans(1, set(), 1.0)
        self.assertEqual([lease.server for lease in grant_slots(pool, 1.0)], ["s2"])

    def test_removed_server_keeps_its_leases_and_gets_no_new_ones(self):
        pool = make_pool({"s1": 1, "s2": 1})
        pool.add(HOLDER, slot_request(1, 9), 0.0)
        leases_by_server = {lease.server: lease for lease in grant_slots(pool, 0.0)}
        pool.update_servers((pool.servers["s1"].declared,), None, 0.1)
        release(pool, leases_by_server["s2"], 0.2)
        self.assertEqual(grant_slots(pool, 0.2), [])
        pool.update_servers((pool.servers["s1"].declared,), None, 0.3)
        self.assertEqual(list(pool.servers), ["s1"])


class Takeover(unittest.TestCase):
    def test_slot_released_before_it_was_reported_stays_free(self):
        # A release that overtakes the holder's report must prevent the lease from being restored.
        pool = server_pool.ServerPool("scale/0", speed.SpeedTable(), OPTIONS)
        pool.update_servers((intent.BackendServer("s1", "x", "dc1", 2),), None, 0.0)
        pool.release(HOLDER, messages.Release(7, 0, "done", 0.1), 0.0)
        slots = tuple(
            messages.HeldSlot(7, i, "s1", "tag", intent.Size(), 0.1, 0.05, 20.0) for i in (0, 1)
        )
        pool.restore_leases(HOLDER, slots, 0.0)
        pool.mark_recovered(pool.unrecovered_servers())
        self.assertEqual([key.index for key in pool.leases], [1])

    def test_running_tasks_without_a_lease_keep_their_slots_orphaned(self):
        pool = server_pool.ServerPool("scale/0", speed.SpeedTable(), OPTIONS)
        pool.update_servers((intent.BackendServer("s1", "x", "dc1", 4),), None, 0.0)
        pool.restore_leases(
            HOLDER, (messages.HeldSlot(7, 0, "s1", "tag", intent.Size(), 0.1, 0.05, 20.0),), 0.0
        )
        pool.mark_recovered(pool.unrecovered_servers())
        server = pool.servers["s1"]
        server.reconcile_orphans(3, set(pool.leases), 0.0)
        self.assertEqual((server.orphans, server.free_slots()), (2, 1))
        server.reconcile_orphans(4, set(pool.leases), 0.1)  # does not increase without a new loss
        self.assertEqual(server.orphans, 2)


class StalledLeases(unittest.TestCase):
    def test_stalled_lease_masked_by_a_new_task_is_detected_later(self):
        # The server's count of one cannot tell the new task from the old one.
        pool = make_pool({"s1": 2})
        pool.add(HOLDER, slot_request(1, 1), 0.0)
        old_lease = grant_slots(pool, 0.0)[0]
        pool.add(HOLDER, slot_request(2, 1), 2.4)
        server = pool.servers["s1"]
        new_lease = grant_slots(pool, 2.4)[0]
        overdue = server.overdue_leases(2.5, 2.0)
        self.assertEqual(overdue, [old_lease])
        server.mark_stalled(1, {old_lease.key}, overdue, 2.5)
        self.assertEqual((server.stalled, server.overdue_leases(2.6, 2.0)), (set(), []))
        release(pool, new_lease, 2.6)
        server.mark_stalled(0, {old_lease.key}, server.overdue_leases(5.1, 2.0), 5.1)
        self.assertEqual((server.stalled, server.free_slots()), ({old_lease.key}, 2))
        release(pool, old_lease, 60.0, slot_lease.Outcome.LATE)
        self.assertEqual((server.stalled, server.checked_ages_s), (set(), {}))


class QueueOrder(unittest.TestCase):
    def test_shortest_remaining_job_goes_first(self):
        pool = make_pool({"s1": 1})
        pool.add(HOLDER, slot_request(1, 50), 0.0)
        first = grant_slots(pool, 0.0)[0]
        pool.add(OTHER_HOLDER, slot_request(1, 2), 0.01)
        release(pool, first, 0.1)
        self.assertEqual(grant_slots(pool, 0.1)[0].holder, OTHER_HOLDER)

    def test_large_job_is_not_starved_by_small_ones(self):
        # Without aging the small jobs would always go first.
        pool = make_pool({"s1": 1})
        pool.add(HOLDER, slot_request(1, 50, deadline_s=1e6), 0.0)
        now, granted_to_large = 0.0, 0
        for number in range(2, 2000):
            pool.add(OTHER_HOLDER, slot_request(number, 1, deadline_s=1e6), now)
            for lease in grant_slots(pool, now):
                granted_to_large += lease.holder == HOLDER
                release(pool, lease, now + 0.1)
            now += 0.1
        self.assertGreater(granted_to_large, 20)

    def test_longest_task_of_a_job_goes_first(self):
        pool = make_pool({"s1": 1})
        groups = tuple(
            messages.TaskGroup("tag", run_s, intent.Size(), (index,))
            for index, run_s in enumerate((0.1, 0.9, 0.3))
        )
        pool.add(HOLDER, messages.SlotRequest(1, groups, 30.0), 0.0)
        self.assertEqual(grant_slots(pool, 0.0)[0].index, 1)


class Placement(unittest.TestCase):
    def pool_with_learned_speeds(self, **speeds):
        pool = make_pool({name: 1 for name in speeds})
        for _ in range(40):
            for name, speed_factor in speeds.items():
                pool.speeds.learn("tag", name, 1.0, 1.0 / speed_factor)
        return pool

    def test_last_task_waits_for_a_fast_server(self):
        pool = self.pool_with_learned_speeds(fast=8.0, slow=1.0)
        pool.add(HOLDER, slot_request(1, 2, run_time_s=1.0), 0.0)
        granted = grant_slots(pool, 0.0)
        self.assertEqual([lease.server for lease in granted], ["fast"])
        release(pool, granted[0], 0.125, run_s=0.125)
        self.assertEqual([lease.server for lease in grant_slots(pool, 0.125)], ["fast"])

    def test_slow_server_is_used_when_the_fast_one_is_busy(self):
        pool = self.pool_with_learned_speeds(fast=8.0, slow=1.0)
        pool.add(HOLDER, slot_request(1, 20, run_time_s=1.0), 0.0)
        self.assertEqual({lease.server for lease in grant_slots(pool, 0.0)}, {"fast", "slow"})

    def test_task_is_placed_only_where_it_fits(self):
        pool = make_pool({"s1": 2}, size=intent.Size(cores=2, memory_mb=100))
        pool.add(HOLDER, slot_request(1, 1, size=intent.Size(memory_mb=200)), 0.0)
        pool.add(HOLDER, slot_request(2, 1, size=intent.Size(memory_mb=50)), 0.0)
        self.assertEqual([lease.request for lease in grant_slots(pool, 0.0)], [2])

    def test_task_does_not_wait_for_a_fast_server_that_is_too_small(self):
        pool = self.pool_with_learned_speeds(fast=8.0, slow=1.0)
        small = attrs.evolve(pool.servers["fast"].declared, size=intent.Size(memory_mb=10))
        large = attrs.evolve(pool.servers["slow"].declared, size=intent.Size(memory_mb=99))
        pool.update_servers((small, large), None, 0.0)
        pool.add(HOLDER, slot_request(1, 1, run_time_s=1.0, size=intent.Size(memory_mb=50)), 0.0)
        self.assertEqual([lease.server for lease in grant_slots(pool, 0.0)], ["slow"])

    def test_total_size_of_tasks_stays_within_the_server(self):
        pool = make_pool({"s1": 8}, size=intent.Size(cores=32, memory_mb=1000))
        pool.add(HOLDER, slot_request(1, 8, size=intent.Size(cores=1, memory_mb=300)), 0.0)
        granted = grant_slots(pool, 0.0)
        self.assertEqual(len(granted), 3)
        pool.add(HOLDER, slot_request(2, 1, size=intent.Size(memory_mb=90)), 0.0)
        self.assertEqual([lease.request for lease in grant_slots(pool, 0.0)], [2])
        release(pool, granted[0], 0.1)
        self.assertEqual([lease.request for lease in grant_slots(pool, 0.1)], [1])


class Ejection(unittest.TestCase):
    def finish_tasks(self, pool, name, now, count):
        for number in range(count):
            pool.add(HOLDER, slot_request(1000 + int(now * 1000) + number, 20), now)
            for lease in grant_slots(pool, now):
                fails = lease.server == name
                outcome = slot_lease.Outcome.FAILED if fails else slot_lease.Outcome.DONE
                release(pool, lease, now, outcome)

    def test_failing_server_is_ejected_and_ramped_up(self):
        pool = make_pool({"s1": 4, "s2": 4, "s3": 4})
        self.finish_tasks(pool, "s1", 1.0, 1)
        health = pool.servers["s1"].health
        self.assertTrue(health.is_ejected(1.5))
        pool.add(HOLDER, slot_request(5000, 20), 1.5)
        self.assertNotIn("s1", {lease.server for lease in grant_slots(pool, 1.5)})
        for lease in list(pool.leases.values()):
            release(pool, lease, 1.6)
        counts = []
        for _ in range(3):
            granted = [
                granted_lease
                for granted_lease in grant_slots(pool, 3.0)
                if granted_lease.server == "s1"
            ]
            counts.append(len(granted))
            pool.add(HOLDER, slot_request(6000 + len(counts), 40), 3.0)
            for lease in list(pool.leases.values()):
                release(pool, lease, 3.0)
        self.assertEqual(counts[0], 1)
        self.assertLessEqual(counts, [1, 2, 4])

    def test_repeated_ejections_last_longer(self):
        pool = make_pool({"s1": 4, "s2": 4, "s3": 4})
        self.finish_tasks(pool, "s1", 1.0, 1)
        first_suspended_until = pool.servers["s1"].health.suspended_until
        self.finish_tasks(pool, "s1", first_suspended_until + 0.01, 1)
        self.assertGreater(pool.servers["s1"].health.suspended_until - first_suspended_until, 1.9)

    def test_only_long_timeouts_eject_a_server(self):
        pool = make_pool({"s1": 3, "s2": 3, "s3": 3})
        for elapsed_s, is_ejected in ((0.15, False), (0.5, True)):
            pool.add(HOLDER, slot_request(int(elapsed_s * 100), 9), 1.0)
            for lease in grant_slots(pool, 1.0):
                is_late = lease.server == "s1"
                outcome = slot_lease.Outcome.LATE if is_late else slot_lease.Outcome.DONE
                release(pool, lease, 1.0 + elapsed_s, outcome)
            pool.servers["s1"].reconcile_orphans(0, set(), 9.0)
            health = pool.servers["s1"].health
            self.assertEqual(health.is_ejected(1.0 + elapsed_s), is_ejected)

    def test_failing_tasks_eject_only_a_share_of_the_servers(self):
        pool = make_pool({f"s{number}": 2 for number in range(6)})
        for number in range(30):
            pool.add(HOLDER, slot_request(number + 1, 20), 1.0)
            for lease in grant_slots(pool, 1.0):
                release(pool, lease, 1.0, slot_lease.Outcome.FAILED)
        ejected_servers = [
            server for server in pool.servers.values() if server.health.is_ejected(1.0)
        ]
        self.assertEqual(len(ejected_servers), 2)
