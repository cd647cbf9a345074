import unittest

import attrs

from rosedyke.command import status
from rosedyke.daemon import operator_api


def instance(name, generation, *servers, members=()):
    return operator_api.InstanceStatus(
        name=name,
        incarnation=1,
        region="valley",
        data_centre="north",
        generation=generation,
        ready=True,
        reason="",
        uptime_s=1.0,
        requests=0,
        members=members,
        servers=servers,
        counters={},
        gauges={},
    )


def server(name, in_use, state="ok"):
    return operator_api.ServerStatus(name, "sealing", "north", 8, in_use, state)


class Servers(unittest.TestCase):
    def test_use_is_what_the_owner_says(self):
        found = status.summarise_servers(
            [
                instance("a", 1, server("press-1", None, "unknown")),
                instance("b", 1, server("press-1", 5)),
            ]
        )
        self.assertEqual([(one.in_use, one.state) for one in found], [(5, "ok")])

    def test_nobody_who_was_reached_owns_it(self):
        found = status.summarise_servers([instance("a", 1, server("press-1", None, "unknown"))])
        self.assertEqual([(one.in_use, one.state) for one in found], [(None, "unknown")])

    def test_state_is_the_worst_that_is_said(self):
        found = status.summarise_servers(
            [
                instance("a", 1, server("press-1", None, "leaving")),
                instance("b", 1, server("press-1", 5)),
            ]
        )
        self.assertEqual(found[0].state, "leaving")

    def test_newest_configuration_says_which_servers_there_are(self):
        found = status.summarise_servers(
            [instance("a", 1, server("old", 0)), instance("b", 2, server("new", 0))]
        )
        self.assertEqual([one.name for one in found], ["new"])


class Sees(unittest.TestCase):
    def test_members_that_are_not_live_are_named(self):
        live = operator_api.MemberStatus("a", "north", "live", 1, "127.0.0.1:1")
        suspect = attrs.evolve(live, name="b", state="suspect")
        self.assertEqual(
            status.sees(instance("a", 1, members=(live, suspect))), "1 live, b suspect"
        )


if __name__ == "__main__":
    unittest.main()
