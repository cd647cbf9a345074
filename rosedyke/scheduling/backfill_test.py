import unittest

from rosedyke.scheduling import backfill

SERVERS = (
    backfill.ServerCapacity("late", 30_000, ((9.0, 34_000),)),
    backfill.ServerCapacity("soon", 4_000, ((2.0, 20_000), (1.0, 30_000))),
    backfill.ServerCapacity("small", 0, ((0.5, 16_000),)),
    backfill.ServerCapacity("other", 30_000, ((5.0, 34_000),)),
)


class ServersToKeep(unittest.TestCase):
    def test_large_task_keeps_the_server_on_which_it_fits_first(self):
        # Guards against smaller tasks that take each piece before the large one fits.
        self.assertEqual(SERVERS[1].available_at(36_000), 2.0)
        kept = backfill.servers_to_keep(SERVERS, (36_000,), frozenset(), 4)
        self.assertEqual(kept, {"soon"})

    def test_each_task_keeps_a_server_of_its_own_up_to_half_of_the_pool(self):
        # Guards against a pool that runs nothing but urgent tasks.
        kept = backfill.servers_to_keep(SERVERS, (36_000,) * 4, frozenset(), 4)
        self.assertEqual(kept, {"soon", "other"})
        self.assertEqual(backfill.servers_to_keep(SERVERS, (36_000,), kept, 4), kept)

    def test_no_server_is_kept_for_a_task_that_fits_on_none(self):
        # Guards against servers that stay idle for a task that can never run.
        self.assertEqual(backfill.servers_to_keep(SERVERS, (90_000,), frozenset(), 4), frozenset())
