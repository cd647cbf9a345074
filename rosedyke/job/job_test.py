import unittest

from rosedyke.job import answer, code, job, submission


def make_job(tasks=2, fence=None):
    call = submission.TaskCall("tag")
    request = submission.Submission("scale", "job-1", 1, 0.0, 5.0, (call,) * tasks)
    return job.Job(request, 5.0) if fence is None else job.Job(request, 5.0, fence=fence)


class Sending(unittest.TestCase):
    def test_task_is_sent_once(self):
        # Two grants for one task, say of an owner and of the one that took over from it.
        running = make_job()
        running.mark_sent(0)
        with self.assertRaises(job.TaskNotWaiting):
            running.mark_sent(0)

    def test_finished_task_is_not_sent_again(self):
        running = make_job()
        running.mark_sent(0)
        running.mark_finished(0, b"1")
        with self.assertRaises(job.TaskNotWaiting):
            running.mark_sent(0)

    def test_task_that_did_not_start_may_be_sent_again(self):
        running = make_job()
        running.mark_sent(0)
        running.mark_not_started(0)
        self.assertIs(running.ran(), answer.Ran.NO)
        running.mark_sent(0)

    def test_closed_job_sends_nothing(self):
        # A grant arrives just after the caller cancelled the job.
        running = make_job()
        running.fail(code.Code.CANCELLED)
        with self.assertRaises(job.JobClosed):
            running.mark_sent(0)

    def test_fenced_instance_sends_nothing(self):
        # The instance stood still; its peers may have told the caller that it is gone.
        def fence():
            raise job.Fenced("stood still")

        with self.assertRaises(job.Fenced):
            make_job(fence=fence).mark_sent(0)


class Answering(unittest.TestCase):
    def test_complete_only_with_every_result_in_order(self):
        running = make_job(3)
        for index in (2, 0, 1):
            self.assertFalse(running.is_closed)
            running.mark_sent(index)
            running.mark_finished(index, b"%d" % index)
        self.assertEqual(running.answer.results, (b"0", b"1", b"2"))
        self.assertIs(running.answer.code, code.Code.COMPLETE)

    def test_answer_never_changes(self):
        # The last result arrives after the deadline has closed the job.
        running = make_job(1)
        running.mark_sent(0)
        running.fail(code.Code.DEADLINE)
        first = running.answer
        running.mark_finished(0, b"1")
        running.fail(code.Code.CANCELLED)
        self.assertIs(running.answer, first)
        self.assertEqual(first.results, ())

    def test_what_is_said_to_have_run(self):
        for sent, finished, expected in (
            ((), (), answer.Ran.NO),
            ((0,), (), answer.Ran.UNKNOWN),
            ((0, 1), (0,), answer.Ran.YES),
        ):
            with self.subTest(expected):
                running = make_job(3)
                for index in sent:
                    running.mark_sent(index)
                for index in finished:
                    running.mark_finished(index, b"1")
                running.fail(code.Code.DEADLINE)
                self.assertIs(running.answer.ran, expected)
