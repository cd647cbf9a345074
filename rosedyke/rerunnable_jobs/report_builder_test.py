import unittest

from rosedyke.rerunnable_jobs import fleet_view, job, messages
from rosedyke.standins import rerun_region
from rosedyke.wire import codec

DONE = job.Outcome(job.EndState.SUCCEEDED)
OWNER = messages.Instance("a-1", "10.0.0.1:7000", "a")
SERVERS = {"s-1": 1.0, "s-2": 1.0}


def sent(region, kind, seconds):
    """Return the messages of a type that are sent within a time."""
    first = len(region.network.log)
    region.run(seconds)
    return [message for _, _, _, message in region.network.log[first:] if isinstance(message, kind)]


def with_servers(replies):
    """Return the names of the servers in each report that contains them."""
    reports = [report for reply in replies for report in reply.pools]
    return [set(report.servers) for report in reports if report.servers is not None]


class Servers(unittest.TestCase):
    """Reports carry the servers only if the receiver does not know them."""

    def setUp(self):
        self.region = rerun_region.Region({"a": 3})
        self.region.run(2.0)
        self.owner = self.region.members[self.region.owner("a")].node
        self.others = [
            member.node for member in self.region.members.values() if member.node is not self.owner
        ]

    def test_servers_are_sent_once_to_each_receiver_after_a_change(self):
        # Guards against replies that repeat the names of all servers, which filled owners' links.
        self.assertEqual(with_servers(sent(self.region, messages.RenewReply, 1.0)), [])
        self.region.add_server("a", 7)
        for member in self.region.members.values():
            member.listed.changed()
        replies = sent(self.region, messages.RenewReply, 1.0)
        self.assertEqual([len(servers) for servers in with_servers(replies)], [4, 4])

    def test_speeds_are_sent_from_a_change_of_ten_percent(self):
        # Guards against a new version with each completed run.
        for speed, expected in ((1.09, 0), (1.1, 2)):
            self.owner.speeds.by_server["s-a-0"] = speed
            replies = sent(self.region, messages.RenewReply, 1.0)
            self.assertEqual(len(with_servers(replies)), expected)

    def test_outcome_of_a_job_carries_no_servers(self):
        self.region.submit(self.region.non_owner("a"), "j1", 2, 0.05)
        (message,) = sent(self.region, messages.JobEnded, 0.3)
        self.assertIsNone(message.report.servers)

    def test_outcomes_carry_a_report_at_most_every_fifty_milliseconds(self):
        # Guards against a report with each outcome of a busy pool, and against none at all.
        holder = self.region.non_owner("a")
        self.region.members[holder].node.renewal.renew = lambda instance: None
        self.region.run(0.1)
        for number in range(10):
            self.region.submit(holder, f"j{number}", 1, 0.02 + 0.01 * number)
        ended = sent(self.region, messages.JobEnded, 0.3)
        self.assertEqual([message.report is not None for message in ended].count(True), 2)

    def test_outcome_carries_no_report_right_after_a_renewal(self):
        holder = self.others[0].this_instance
        pool = self.owner.owned_pools["a/r1"]
        pool.reports.report_for_renewal(holder.name, None)
        self.assertIsNone(pool.reports.report_for_outcome(holder.name))
        self.assertIsNotNone(pool.reports.report_for_outcome("another"))

    def test_successor_knows_all_servers_although_later_reports_leave_them_out(self):
        # Guards against a successor that counts every server as unknown and delays its tasks.
        self.region.run(2.0)
        self.region.kill(self.owner.this_instance.name)
        self.region.run(1.0)
        successor = self.region.members[self.region.owner("a")].node.owned_pools["a/r1"]
        self.assertEqual(successor.predecessor_servers, {"s-a-0", "s-a-1", "s-a-2"})

    def test_owner_learned_again_sends_its_servers_again(self):
        # Guards against a set that stays unknown because the owner believes it was received.
        node = self.others[0]
        node.fleet.remove_owner("a/r1", self.owner.this_instance.name)
        self.assertIsNone(node._predecessor_servers("a/r1"))
        self.region.run(0.5)
        self.assertEqual(len(node._predecessor_servers("a/r1")), 3)

    def test_raised_token_makes_the_servers_unknown_until_they_are_sent(self):
        pool = self.owner.owned_pools["a/r1"]
        pool.token += 1
        self.owner.on_token_raised(pool)
        self.region.run(0.001)
        for node in self.others:
            self.assertIsNone(node._predecessor_servers("a/r1"))
        self.region.run(0.5)
        for node in self.others:
            self.assertEqual(len(node._predecessor_servers("a/r1")), 3)


class Rooms(unittest.TestCase):
    def test_grouping_keeps_each_server_and_its_speed_in_whole_percent(self):
        # Guards against servers with equal capacity that are counted once.
        rooms = [(4000, 1.0), (0, 0.856), (4000, 1.0), (0, 0.001)]
        grouped = messages.group_rooms(rooms)
        report = messages.PoolReport("a/r1", 5, 0.0, grouped, 16_000, {}, None)
        decoded = codec.decode(
            "rerun.ended",
            codec.encode(messages.JobEnded("j", 1, "a/r1", 5, DONE, (), report)),
        ).report
        self.assertEqual(sorted(decoded.rooms), [(0, 0.01), (0, 0.86), (4000, 1.0), (4000, 1.0)])
        self.assertEqual(decoded.free_slots(1500), 4)


class CompleteServers(unittest.TestCase):
    """Guards against a takeover that counts an incomplete set of servers as complete."""

    def setUp(self):
        self.state = fleet_view.OwnerState(messages.Claim("a/r1", OWNER, 5), 0.0, 1)

    def report(self, version, servers, now):
        report = messages.PoolReport("a/r1", 5, 0.0, {}, 0, {}, servers, version)
        self.state.record_report(report, now)

    def test_unknown_before_a_report_with_servers(self):
        self.report(1, None, 1.0)
        self.assertIsNone(self.state.complete_servers(0.0))

    def test_report_of_the_same_version_confirms_the_servers(self):
        self.report(1, SERVERS, 1.0)
        self.report(1, None, 2.0)
        self.assertEqual(self.state.complete_servers(2.0), set(SERVERS))

    def test_unknown_after_a_later_version_was_mentioned(self):
        self.report(1, SERVERS, 1.0)
        self.report(2, None, 2.0)
        self.report(1, None, 2.1)  # delayed
        self.assertIsNone(self.state.complete_servers(0.0))
        self.report(2, {**SERVERS, "s-3": 1.0}, 2.2)
        self.report(1, SERVERS, 2.3)  # delayed
        self.assertEqual(self.state.complete_servers(2.2), {"s-1", "s-2", "s-3"})

    def test_unknown_if_it_was_not_confirmed_in_time(self):
        self.report(1, SERVERS, 1.0)
        self.state.last_contact_at = 9.0  # set after a process pause
        self.assertIsNone(self.state.complete_servers(8.0))
