import unittest

from rosedyke.configuration import intent
from rosedyke.daemon import recorder
from rosedyke.job import answer, code
from rosedyke.observe import burn_rate
from rosedyke.standins import daemon_fake, virtual


def configuration(*names, generation=1):
    services = tuple(
        intent.Service(name, "estate", (), (), objective=intent.Objective(0.9, 1.0))
        for name in names
    )
    return intent.Configuration(generation, (intent.Team("estate", services=services),))


def failed(reason, ran):
    return answer.Answer("a", reason, ran)


COMPLETE = answer.Answer("a", code.Code.COMPLETE, answer.Ran.YES, (b"1",))


class Outcome(unittest.TestCase):
    def test_what_each_answer_means(self):
        for final, seconds, expected in [
            (COMPLETE, 1.0, burn_rate.Outcome.GOOD),
            (COMPLETE, 1.1, burn_rate.Outcome.LATE),
            (failed(code.Code.OVERLOADED, answer.Ran.NO), 0.1, burn_rate.Outcome.REFUSED),
            (failed(code.Code.HOLDER_LOST, answer.Ran.UNKNOWN), 0.1, burn_rate.Outcome.UNKNOWN),
            (failed(code.Code.TASK_FAILED, answer.Ran.YES), 0.1, burn_rate.Outcome.FAILED),
            (failed(code.Code.OTHER_BODY, answer.Ran.UNKNOWN), 0.1, None),
            (failed(code.Code.CANCELLED, answer.Ran.NO), 0.1, None),
        ]:
            with self.subTest(final.code, seconds=seconds):
                self.assertEqual(recorder.outcome_of(final, seconds, 1.0), expected)


class Recorder(unittest.TestCase):
    def setUp(self):
        self.current = daemon_fake.FakeCurrent(configuration("weighing"))
        self.recorder = recorder.Recorder(virtual.VirtualRuntime(), self.current)

    def test_counts_of_a_service(self):
        self.recorder.record("weighing", COMPLETE, 0.5)
        self.recorder.record("weighing", COMPLETE, 2.0)
        counts = self.recorder.counts("one", "north")
        self.assertEqual(counts.services[0].windows["5m"], [1, 1, 0, 0, 0])
        self.assertEqual(counts.services[0].share, 0.9)

    def test_names_that_are_not_configured_take_no_memory(self):
        self.recorder.record("made-up", COMPLETE, 0.5)
        self.assertEqual(self.recorder.counts("one", "north").services, ())

    def test_removed_service_is_forgotten(self):
        self.recorder.record("weighing", COMPLETE, 0.5)
        self.current.step(configuration("sealing", generation=2))
        self.assertEqual(self.recorder.counts("one", "north").services, ())

    def test_without_a_configuration_nothing_is_counted(self):
        empty = recorder.Recorder(virtual.VirtualRuntime(), daemon_fake.FakeCurrent())
        empty.record("weighing", COMPLETE, 0.5)
        self.assertEqual(empty.counts("one", "north").services, ())


if __name__ == "__main__":
    unittest.main()
