import unittest

from rosedyke.rerunnable_jobs import fleet_view, job, messages
from rosedyke.standins import rerun_region
from rosedyke.wire import codec

DONE = job.Outcome(job.EndState.SUCCEEDED)
OWNER = messages.Instance("a-1", "10.0.0.1:7000", "a")


def sent(region, kind, seconds):
    """Return the messages of a type that are sent within a time."""
    first = len(region.network.log)
    region.run(seconds)
    return [message for _, _, _, message in region.network.log[first:] if isinstance(message, kind)]


class Servers(unittest.TestCase):
    """Reports carry the servers only if the receiver does not know them."""

    def setUp(self):
        self.region = rerun_region.Region({"a": 3})
        self.region.run(2.0)
        self.owner = self.region.members[self.region.owner("a")].node
        self.other = self.region.members[self.region.non_owner("a")].node

    def servers_sent(self):
        """Return the number of servers in each report that contains them, within a second."""
        replies = sent(self.region, messages.RenewReply, 1.0)
        reports = [report for reply in replies for report in reply.pools]
        return [len(report.servers) for report in reports if report.servers is not None]

    def test_servers_are_sent_once_to_each_receiver_after_a_change(self):
        # Guards against replies that repeat the names of all servers, which filled owners' links,
        # and against a new version with each completed run.
        self.assertEqual(self.servers_sent(), [])
        for speed, expected in ((1.09, []), (1.1, [3, 3])):
            self.owner.speeds.by_server["s-a-0"] = speed
            self.assertEqual(self.servers_sent(), expected)
        self.region.add_server("a", 7)
        for member in self.region.members.values():
            member.listed.changed()
        self.assertEqual(self.servers_sent(), [4, 4])

    def test_outcomes_carry_a_report_without_servers_at_most_every_fifty_milliseconds(self):
        # Guards against a report with each outcome of a busy pool, and against none at all.
        holder = self.other.this_instance.name
        self.other.renewal.renew = lambda instance: False
        self.region.run(0.1)
        for number in range(10):
            self.region.submit(holder, f"j{number}", 1, 0.02 + 0.01 * number)
        ended = sent(self.region, messages.JobEnded, 0.3)
        reports = [message.report for message in ended if message.report is not None]
        self.assertEqual([report.servers for report in reports], [None, None])
        pool = self.owner.owned_pools["a/r1"]
        pool.reports.report_for_renewal(holder, None)
        self.assertIsNone(pool.reports.report_for_outcome(holder))

    def test_successor_knows_all_servers_although_later_reports_leave_them_out(self):
        # Guards against a successor that counts every server as unknown and delays its tasks.
        self.region.run(2.0)
        token = self.owner.owned_pools["a/r1"].token
        self.region.kill(self.owner.this_instance.name)
        while not self.region.owner("a"):
            self.region.run(0.0001)
        successor = self.region.members[self.region.owner("a")].node.owned_pools["a/r1"]
        self.assertEqual(successor.predecessors.unfenced, {token: {"s-a-0", "s-a-1", "s-a-2"}})
        self.region.run(1.0)
        self.assertEqual(successor.predecessors.unfenced, {token: set()})

    def test_servers_are_unknown_until_they_are_sent_again(self):
        # Guards against a set of another token, and against one that stays unknown because the
        # owner believes that it was received.
        pool = self.owner.owned_pools["a/r1"]
        pool.token += 1
        self.owner.on_token_raised(pool)
        self.region.run(0.001)
        self.assertEqual(self.other._known_owners("a/r1"), ())
        self.region.run(0.5)
        (known,) = self.other._known_owners("a/r1")
        self.assertEqual((known.token, len(known.unfenced)), (pool.token, 3))
        self.other.fleet.remove_owner("a/r1", self.owner.this_instance.name)
        self.region.run(0.5)
        (known,) = self.other._known_owners("a/r1")
        self.assertEqual((known.token, len(known.unfenced)), (pool.token, 3))

    def test_servers_are_complete_although_speeds_have_changed_since(self):
        # Guards against a successor that delays all tasks because the owner failed between a change
        # of a speed and the next renewal; every load changes speeds.
        holder, owner = self.other.this_instance.name, self.region.owner("a")
        self.other.renewal.renew = lambda instance: False
        self.region.run(0.1)
        self.owner.speeds.by_server["s-a-0"] = 1.2
        self.region.submit(holder, "j1", 1, 0.02)
        reports = [message.report for message in sent(self.region, messages.JobEnded, 0.1)]
        self.assertEqual([(each.servers, each.speeds_version) for each in reports], [(None, 1)])
        self.region.kill(owner)
        state = self.other.fleet.owners["a/r1"]
        self.assertEqual(state.speeds_version, 0)
        self.assertEqual(len(state.complete_servers(self.region.runtime.now() - 0.5)), 3)

    def test_servers_are_complete_only_if_no_later_version_is_known(self):
        # Guards against a takeover that counts an incomplete set of servers as complete.
        state = fleet_view.OwnerState(messages.Claim("a/r1", OWNER, 5), 0.0, 1)
        older, newer = {"s-1": 1.0}, {"s-1": 1.0, "s-2": 1.0}
        for now, version, servers, expected in (
            (1.0, 1, None, None),
            (1.1, 1, older, set(older)),
            (1.2, 1, None, set(older)),
            (1.3, 2, None, None),
            (1.4, 1, older, None),  # delayed
            (1.5, 2, newer, set(newer)),
            (1.6, 1, older, set(newer)),  # delayed
        ):
            report = messages.PoolReport("a/r1", 5, 0.0, {}, 0, {}, servers, version)
            state.record_report(report, now)
            self.assertEqual(state.complete_servers(1.0), expected, now)
        state.last_contact_at = 9.0  # set after a process pause
        self.assertIsNone(state.complete_servers(8.0))


class Rooms(unittest.TestCase):
    def test_grouping_keeps_each_server_and_its_speed_in_whole_percent(self):
        # Guards against servers with equal capacity that are counted once.
        grouped = messages.group_rooms([(4000, 1.0), (0, 0.856), (4000, 1.0), (0, 0.001)])
        report = messages.PoolReport("a/r1", 5, 0.0, grouped, 16_000, {}, None)
        message = messages.JobEnded("j", 1, "a/r1", 5, DONE, (), report)
        decoded = codec.decode("rerun.ended", codec.encode(message)).report
        self.assertEqual(sorted(decoded.rooms), [(0, 0.01), (0, 0.86), (4000, 1.0), (4000, 1.0)])
        self.assertEqual(decoded.free_slots(1500), 4)
