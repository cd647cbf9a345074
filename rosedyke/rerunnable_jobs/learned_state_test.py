import unittest

import attrs
import msgspec

from rosedyke.rerunnable_jobs import (
    completions,
    events,
    fleet_view,
    learned_state,
    messages,
    settings,
)
from rosedyke.scheduling import run_times
from rosedyke.standins import rerun_region

POOL = "a/r1"
TIMING = settings.RerunSettings(predicts_completion=True)


def learn(node, failing=("s-a-0",), ratio=3.0):
    """Let an owner learn a ratio of a queue, and that all runs on some servers fail."""
    pool = node.owned_pools[POOL]
    node.run_times.queues.clear()
    for _ in range(run_times.MIN_RUNS):
        node.run_times.record("tags", 0.1, 0.1 * ratio)
    for server_id in failing:
        for _ in range(completions.MAX_CONSECUTIVE_FAILURES):
            pool.completion_handler.record_failure(pool.server_states[server_id])


class LearnedStateCase(unittest.TestCase):
    """The owner of a pool of six servers learns, and another instance may get the pool."""

    def start(self, timing=TIMING):
        self.region = rerun_region.Region({"a": 3}, 6, timing=timing)
        self.region.run(2.5)
        self.owner = self.region.members[self.region.owner("a")].node
        self.until = self.region.runtime.now() + completions.SUSPENSION_S

    def lose_owner(self):
        """Crash the owner and return its successor once it has taken the pool."""
        self.region.kill(self.owner.this_instance.name)
        while not self.region.owner("a"):
            self.region.run(0.01)
        return self.region.members[self.region.owner("a")].node

    def hand_over(self):
        """Let the owner hand the pool over, and return its successor."""
        self.region.runtime.call(self.owner.handover.hand_pools_over, True)
        return self.region.members[self.region.owner("a")].node


class Successor(LearnedStateCase):
    def check_learned(self, successor):
        """Check the ratio, and that a server gets tasks only from the end of its suspension."""
        self.assertAlmostEqual(successor.run_times.ratio("tags", 0.5), 3.0)
        self.region.run(0.2)
        first = len(self.region.backend.starts)
        for number in range(40):
            self.region.submit(successor.this_instance.name, f"j{number}", 6, 0.1)
            self.region.run(0.07)
        times = [at for at, _, server in self.region.backend.starts[first:] if server == "s-a-0"]
        self.assertAlmostEqual(min(times), self.until, delta=0.15)
        self.assertEqual(self.region.backend.violations, [])

    def test_keeps_ratios_and_suspensions_after_the_loss_of_two_owners(self):
        # Guards against a successor that refuses by wrong estimates and lets all runs on a broken
        # server fail again, and against suspensions that each takeover extends.
        self.start()
        learn(self.owner)
        for _ in range(2):
            self.region.run(0.25)
            self.owner = self.lose_owner()
        self.check_learned(self.owner)

    def test_keeps_ratios_and_suspensions_after_a_handover(self):
        # Guards against a `Resign` without the state: no report carried it before.
        self.start()
        learn(self.owner)
        with self.assertLogs("rosedyke", "INFO") as logged:
            successor = self.hand_over()
        number = events.LEARNED_STATE_TAKEN_OVER.number
        taken = [record.fields for record in logged.records if record.event == number]
        self.assertEqual(taken, [{"pool": POOL, "queues": 1, "suspended": ["s-a-0"]}])
        self.check_learned(successor)

    def test_lost_report_is_sent_again_and_without_any_the_successor_learns_itself(self):
        # Guards against an owner that counts a state as known because it was sent.
        for limit, seconds, expected in ((2, 1.0, 3.0), (9, 0.2, 1.0)):
            self.start()
            lost, usual_delay = [], self.region.network.delay_s

            def lose(source, target, message, limit=limit, lost=lost, usual_delay=usual_delay):
                reports = getattr(message, "pools", ())
                has_learned = any(report.learned is not msgspec.UNSET for report in reports)
                if len(lost) == limit or not has_learned:
                    return usual_delay(source, target, message)
                lost.append(message)
                return None

            self.region.network.delay_s = lose
            learn(self.owner)
            self.region.run(seconds)
            self.assertGreaterEqual(len(lost), 2)
            ratio = self.lose_owner().run_times.ratio("tags", 0.5)
            self.assertAlmostEqual(ratio, expected, msg=limit)

    def test_at_most_half_of_the_servers_stay_suspended(self):
        # Guards against a pool that an odd state, also of unknown servers, makes unusable.
        self.start()
        learn(self.owner, [f"s-a-{number}" for number in range(6)])
        pool, now = self.hand_over().owned_pools[POOL], self.region.runtime.now()
        suspended = [now < state.suspended_until for state in pool.server_states.values()]
        self.assertEqual(sum(suspended), 3)
        unknown = {f"x-{number}": now + 1.0 for number in range(3)}
        pool = self.region.members[self.region.owner("a")].node.owned_pools[POOL]
        learned_state.take_over(pool, learned_state.ReceivedState({}, unknown))
        self.assertEqual(len(pool.server_states), 6)

    def test_servers_that_were_suspended_last_stay_suspended(self):
        # Guards against a successor that uses the servers whose failures are the most recent.
        self.start()
        now = self.region.runtime.now()
        pool = self.owner.owned_pools[POOL]
        until = {f"s-a-{number}": now + 0.2 * (1 + number) for number in range(6)}
        self.region.runtime.call(
            learned_state.take_over, pool, learned_state.ReceivedState({}, until)
        )
        suspended = {
            server_id for server_id, state in pool.server_states.items() if state.failing_until
        }
        self.assertEqual(suspended, {"s-a-3", "s-a-4", "s-a-5"})

    def test_without_prediction_nothing_is_sent_or_taken_over(self):
        # Guards against another placement where no setting asks for it.
        self.start(settings.RerunSettings())
        learn(self.owner)
        reports = self.owner.owned_pools[POOL].reports
        self.assertIs(reports.report().learned, msgspec.UNSET)
        resignation = reports.resignation(self.region.runtime.now())
        self.assertIsNone(resignation.learned)
        learned = messages.LearnedState(1, {}, {"s-a-1": 1500})
        successor = self.region.members[self.region.non_owner("a")].node
        successor.handover.on_resign(None, attrs.evolve(resignation, learned=learned))
        states = successor.owned_pools[POOL].server_states.values()
        self.assertEqual({state.suspended_until for state in states}, {0.0})


class Reports(LearnedStateCase):
    def versions_sent(self, seconds):
        """Return the versions that are sent within a time; none with the names of servers."""
        first = len(self.region.network.log)
        self.region.run(seconds)
        sent = [
            (report.learned.version, report.servers)
            for _, _, _, message in self.region.network.log[first:]
            for report in getattr(message, "pools", ())
            if report.learned is not msgspec.UNSET
        ]
        self.assertEqual({servers for _, servers in sent} - {None}, set())
        return [version for version, _ in sent]

    def test_changes_are_sent_once_to_each_receiver_at_most_every_two_seconds(self):
        # Guards against replies to renewals that grow while runs end or servers fail.
        self.start()
        learn(self.owner)
        self.assertEqual(self.versions_sent(1.0), [1, 1])
        learn(self.owner, ["s-a-1"], 4.0)
        self.assertEqual(self.versions_sent(0.9), [])
        self.assertEqual(self.versions_sent(1.0), [2, 2])
        for ratio, expected in ((4.3, []), (4.4, [3, 3])):
            learn(self.owner, (), ratio)
            self.assertEqual(self.versions_sent(4.5), expected, ratio)

    def test_each_part_is_left_out_only_if_the_receiver_knows_it(self):
        # Guards against a state that is withheld because of the version of an earlier token, and
        # against one in the messages that must be small.
        self.start()
        learn(self.owner)
        self.region.run(0.5)
        reports = self.owner.owned_pools[POOL].reports
        token, version = reports.owner.token, reports.servers_version
        for known, has_servers, has_learned in (
            (None, True, True),
            ((token, version, 0), False, True),
            ((token, version, 0, 1), False, False),
            ((token, version - 1, 0, 1), True, False),
            ((token - 1, version, 0, 1), True, True),
        ):
            sent = reports.report_for_renewal("a-9", known)
            self.assertEqual(sent.servers is not None, has_servers, known)
            self.assertEqual(sent.learned is not msgspec.UNSET, has_learned, known)
        self.assertIs(reports.report_for_outcome("a-8").learned, msgspec.UNSET)


class Received(LearnedStateCase):
    def test_state_of_an_older_token_or_version_is_ignored(self):
        # Guards against an earlier owner's state, and against suspensions that a delayed message
        # extends.
        state = fleet_view.OwnerState(
            messages.Claim(POOL, messages.Instance("a-1", "10.0.0.1:7000", "a"), 5), 0.0, 1
        )
        self.start()
        view = self.owner.fleet
        view.owners[POOL], view.highest_tokens[POOL] = state, 5
        now = self.region.runtime.now()
        for token, version, expected in ((5, 2, 2), (5, 1, 2), (4, 9, 2), (5, 3, 3), (6, 1, 1)):
            learned = messages.LearnedState(version, {}, {f"s-{version}": 1000})
            report = messages.PoolReport(POOL, token, 0.0, {}, 0, {}, None, learned=learned)
            view.record_report(state.claim.owner, report, 0.0)
            self.assertEqual(
                view.owners[POOL].learned.suspended_until, {f"s-{expected}": now + 1.0}
            )
        state.record_report(attrs.evolve(report, learned=attrs.evolve(learned, version=3)), now + 9)
        self.assertEqual(state.learned.suspended_until, {"s-3": now + 1.0})

    def test_odd_values_are_bounded(self):
        # Guards against refusals of a whole queue, and against servers that stay suspended, because
        # of one faulty peer.
        huge, ratios = 2**63, run_times.RatioQuantiles
        odd = {
            "zero": ratios(0, 0, 200),
            "huge": ratios(huge, huge, huge),
            "down": ratios(9, 2, 20),
        }
        suspended = {"s-a-0": huge, "s-a-1": -1, "s-a-2": 0, "s-a-3": 1500}
        received = learned_state.receive(messages.LearnedState(1, odd, suspended), 10.0)
        self.assertEqual(received.suspended_until, {"s-a-0": 12.0, "s-a-3": 11.5})
        expected = {"zero": (10, 10, 200), "huge": (1000, 1000, 200), "down": (10, 10, 20)}
        values = {queue: attrs.astuple(each) for queue, each in received.run_time_ratios.items()}
        self.assertEqual(values, expected)


class Suspension(LearnedStateCase):
    def test_failed_command_does_not_shorten_it(self):
        # Guards against a broken server that gets tasks again 0.2 s after a start that was under
        # way has failed.
        self.start()
        learn(self.owner)
        pool = self.owner.owned_pools[POOL]
        pool.commands._suspend(pool.server_states["s-a-0"])
        self.assertEqual(pool.server_states["s-a-0"].suspended_until, self.until)
