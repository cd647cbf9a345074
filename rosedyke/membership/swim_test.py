import unittest

from rosedyke.membership import member
from rosedyke.standins import instances

State = member.State
NAMES = ("a", "b", "c", "d", "e")


class Joining(unittest.TestCase):
    def test_all_see_all_after_the_start(self):
        running = instances.Instances()
        running.start_all(NAMES)
        self.assertTrue(running.agree(State.LIVE))

    def test_first_instance_goes_on_alone_when_no_seed_answers(self):
        running = instances.Instances(seeds=("10.9.9.9:7000",))
        alone = running.start("a")
        self.assertFalse(alone.is_confirmed())
        running.wait_for(alone.is_confirmed, 10)
        self.assertIs(alone.own.state, State.LIVE)


class Death(unittest.TestCase):
    def test_killed_instance_is_declared_dead_and_no_other(self):
        # An instance is killed; callers of the others wait for its work.  Its neighbours miss
        # its answers, ask others to try, suspect it and give it time; then all of them hold it
        # dead, because each prober's finding is sent to everyone.
        running = instances.Instances()
        running.start_all(NAMES)
        running.crash("c")
        took = running.wait_for(
            lambda: all(running.state(n, "c") is State.DEAD for n in running.memberships), 10
        )
        self.assertLess(took, 3.0)
        self.assertTrue(running.agree(State.LIVE))
