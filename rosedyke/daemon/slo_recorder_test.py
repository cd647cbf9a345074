import unittest

from rosedyke.configuration import intent
from rosedyke.daemon import slo_recorder
from rosedyke.job import answer, code
from rosedyke.observe import burn_rate
from rosedyke.standins import daemon_fake, virtual


def configuration(*names, generation=1):
    services = tuple(
        intent.Service(name, "estate", (), (), objective=intent.Objective(0.9, 1.0))
        for name in names
    )
    return intent.Configuration(generation, (intent.Team("estate", services=services),))


def failed_answer(answer_code, ran):
    return answer.Answer("a", answer_code, ran)


COMPLETE = answer.Answer("a", code.Code.COMPLETE, answer.Ran.YES, (b"1",))


class Outcome(unittest.TestCase):
    def test_outcome_of_each_answer(self):
        for final_answer, elapsed_s, expected in [
            (COMPLETE, 1.0, burn_rate.Outcome.GOOD),
            (COMPLETE, 1.1, burn_rate.Outcome.LATE),
            (failed_answer(code.Code.OVERLOADED, answer.Ran.NO), 0.1, burn_rate.Outcome.REFUSED),
            (
                failed_answer(code.Code.HOLDER_LOST, answer.Ran.UNKNOWN),
                0.1,
                burn_rate.Outcome.UNKNOWN,
            ),
            (failed_answer(code.Code.TASK_FAILED, answer.Ran.YES), 0.1, burn_rate.Outcome.FAILED),
            (failed_answer(code.Code.OTHER_BODY, answer.Ran.UNKNOWN), 0.1, None),
            (failed_answer(code.Code.CANCELLED, answer.Ran.NO), 0.1, None),
        ]:
            with self.subTest(final_answer.code, seconds=elapsed_s):
                self.assertEqual(slo_recorder.outcome_of(final_answer, elapsed_s, 1.0), expected)


class Recording(unittest.TestCase):
    def setUp(self):
        self.current = daemon_fake.FakeCurrent(configuration("weighing"))
        self.recorder = slo_recorder.SloRecorder(virtual.VirtualRuntime(), self.current)

    def test_counts_of_a_service(self):
        self.recorder.record("weighing", COMPLETE, 0.5)
        self.recorder.record("weighing", COMPLETE, 2.0)
        counts = self.recorder.counts("one", "north")
        self.assertEqual(counts.services[0].windows["5m"], [1, 1, 0, 0, 0])
        self.assertEqual(counts.services[0].share, 0.9)

    def test_unknown_services_are_not_recorded(self):
        self.recorder.record("made-up", COMPLETE, 0.5)
        self.assertEqual(self.recorder.counts("one", "north").services, ())

    def test_removed_service_is_dropped(self):
        self.recorder.record("weighing", COMPLETE, 0.5)
        self.current.step(configuration("sealing", generation=2))
        self.assertEqual(self.recorder.counts("one", "north").services, ())

    def test_without_a_configuration_nothing_is_counted(self):
        unconfigured = slo_recorder.SloRecorder(virtual.VirtualRuntime(), daemon_fake.FakeCurrent())
        unconfigured.record("weighing", COMPLETE, 0.5)
        self.assertEqual(unconfigured.counts("one", "north").services, ())


if __name__ == "__main__":
    unittest.main()
