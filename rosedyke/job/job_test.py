import unittest

from rosedyke.job import answer, code, job, submission


def make_job(tasks=2, fence=None):
    call = submission.TaskCall("tag")
    request = submission.Submission("scale", "job-1", 1, 0.0, 5.0, (call,) * tasks)
    return job.Job(request, 5.0) if fence is None else job.Job(request, 5.0, fence=fence)


class Sending(unittest.TestCase):
    def test_task_is_sent_once(self):
        # A task may get two slot grants, such as from a pool's owner and from its successor.
        active_job = make_job()
        active_job.mark_sent(0)
        with self.assertRaises(job.TaskNotWaiting):
            active_job.mark_sent(0)

    def test_finished_task_is_not_sent_again(self):
        active_job = make_job()
        active_job.mark_sent(0)
        active_job.mark_finished(0, b"1")
        with self.assertRaises(job.TaskNotWaiting):
            active_job.mark_sent(0)

    def test_task_that_did_not_start_may_be_sent_again(self):
        active_job = make_job()
        active_job.mark_sent(0)
        active_job.mark_not_started(0)
        self.assertIs(active_job.ran(), answer.Ran.NO)
        active_job.mark_sent(0)

    def test_closed_job_sends_nothing(self):
        # A slot grant arrives after the caller cancelled the job.
        active_job = make_job()
        active_job.fail(code.Code.CANCELLED)
        with self.assertRaises(job.JobClosed):
            active_job.mark_sent(0)

    def test_fenced_instance_sends_nothing(self):
        # Peers may have answered callers that the paused instance is lost.
        def fence():
            raise job.Fenced("paused")

        with self.assertRaises(job.Fenced):
            make_job(fence=fence).mark_sent(0)


class FinalAnswer(unittest.TestCase):
    def test_complete_only_with_every_result_in_order(self):
        active_job = make_job(3)
        for index in (2, 0, 1):
            self.assertFalse(active_job.is_closed)
            active_job.mark_sent(index)
            active_job.mark_finished(index, b"%d" % index)
        self.assertEqual(active_job.answer.results, (b"0", b"1", b"2"))
        self.assertIs(active_job.answer.code, code.Code.COMPLETE)

    def test_answer_never_changes(self):
        # The last result arrives after the deadline has closed the job.
        active_job = make_job(1)
        active_job.mark_sent(0)
        active_job.fail(code.Code.DEADLINE)
        first = active_job.answer
        active_job.mark_finished(0, b"1")
        active_job.fail(code.Code.CANCELLED)
        self.assertIs(active_job.answer, first)
        self.assertEqual(first.results, ())

    def test_ran_follows_the_task_states(self):
        for sent, finished, expected in (
            ((), (), answer.Ran.NO),
            ((0,), (), answer.Ran.UNKNOWN),
            ((0, 1), (0,), answer.Ran.YES),
        ):
            with self.subTest(expected):
                active_job = make_job(3)
                for index in sent:
                    active_job.mark_sent(index)
                for index in finished:
                    active_job.mark_finished(index, b"1")
                active_job.fail(code.Code.DEADLINE)
                self.assertIs(active_job.answer.ran, expected)
