import unittest

from rosedyke.job import code
from rosedyke.standins import fault_scenario

STEP_S = 0.005
SUBMITTED_FOR_S = 0.6
# Longer than an instance may be alone before its silence counts as isolation.
ALONE_S = 2.0
# The newcomer is slow to answer, as a process that has just started.
DELAY_S = 0.1
MESSAGES = 1000


class FirstPeer(unittest.TestCase):
    """Jobs at an instance that was alone in its data centre while another one joins there."""

    def test_no_job_is_refused_while_the_first_peer_joins(self):
        # A caller gets 503 `not_ready`, "This instance may be cut off", from an instance that has
        # lost nobody: a second one starts in its data centre, and until it has answered the first
        # request, the instance can't tell it from a peer that has declared it dead.
        for seed in range(1, 4):
            with self.subTest(seed=seed):
                scenario = fault_scenario.Scenario(seed)
                clock, region = scenario.clock, scenario.region
                scenario.apply(queue=1000)
                clock.run(clock.now() + 1.0)
                for name, data_centre in (("a", "dc1"), ("d", "dc2")):
                    region.add(name, data_centre).start()
                region.wait_for(
                    lambda r=region: all(i.is_ready() for i in r.instances.values()), 30
                )
                clock.run(clock.now() + ALONE_S)
                region.network.messages_to_delay["b"] = (MESSAGES, DELAY_S)
                region.add("b", "dc1").start()
                for number in range(int(SUBMITTED_FOR_S / STEP_S)):
                    scenario.submit("a", f"job-{number}", 1, tasks=1)
                    clock.run(clock.now() + STEP_S)
                clock.run(clock.now() + fault_scenario.TIMEOUT_S)
                self.assertEqual(
                    {call.answer.code for call in scenario.calls}, {code.Code.COMPLETE}
                )
                self.assertEqual(set(region.servers.starts.values()), {1})


if __name__ == "__main__":
    unittest.main()
