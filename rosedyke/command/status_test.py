import unittest

import attrs

from rosedyke.command import status
from rosedyke.daemon import operator_api


def instance_status(name, generation, *servers, members=()):
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


def server_status(name, in_use, state="ok"):
    return operator_api.ServerStatus(name, "sealing", "north", 8, in_use, state)


class Servers(unittest.TestCase):
    def test_slots_in_use_are_those_of_the_owner(self):
        summaries = status.summarise_servers(
            [
                instance_status("a", 1, server_status("press-1", None, "unknown")),
                instance_status("b", 1, server_status("press-1", 5)),
            ]
        )
        self.assertEqual([(server.in_use, server.state) for server in summaries], [(5, "ok")])

    def test_state_is_unknown_if_no_owner_was_reached(self):
        summaries = status.summarise_servers(
            [instance_status("a", 1, server_status("press-1", None, "unknown"))]
        )
        self.assertEqual(
            [(server.in_use, server.state) for server in summaries], [(None, "unknown")]
        )

    def test_worst_state_is_shown(self):
        summaries = status.summarise_servers(
            [
                instance_status("a", 1, server_status("press-1", None, "leaving")),
                instance_status("b", 1, server_status("press-1", 5)),
            ]
        )
        self.assertEqual(summaries[0].state, "leaving")

    def test_servers_are_those_of_the_newest_configuration(self):
        summaries = status.summarise_servers(
            [
                instance_status("a", 1, server_status("old", 0)),
                instance_status("b", 2, server_status("new", 0)),
            ]
        )
        self.assertEqual([server.name for server in summaries], ["new"])


class MemberSummary(unittest.TestCase):
    def test_members_that_are_not_live_are_listed(self):
        live = operator_api.MemberStatus("a", "north", "live", 1, "127.0.0.1:1")
        suspect = attrs.evolve(live, name="b", state="suspect")
        self.assertEqual(
            status.summarise_members(instance_status("a", 1, members=(live, suspect))),
            "1 live, b suspect",
        )


if __name__ == "__main__":
    unittest.main()
