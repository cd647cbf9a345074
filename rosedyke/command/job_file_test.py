import unittest

from rosedyke.command import job_file

JOB = b'{"service": "weighing", "tasks": [{"name": "tag", "payload": {"kg": 1}}]}'


class Parse(unittest.TestCase):
    def test_one_job_a_list_and_lines(self):
        for content, count in [
            (JOB, 1),
            (b"[" + JOB + b"," + JOB + b"]", 2),
            (JOB + b"\n\n" + JOB, 2),
        ]:
            with self.subTest(content[:20]):
                jobs = job_file.parse(content)
                self.assertEqual(len(jobs), count)
                self.assertEqual(jobs[0].tasks[0].payload, {"kg": 1})

    def test_every_fault_has_its_position(self):
        cases = [
            (b'[{"service": 1}, {"tasks": []}]', ["job 1", "job 2"]),
            (b'{"service": "weighing", "tasks": [], "timeout": 5}', ["job 1"]),
            (JOB + b"\n{\n" + JOB + b"\n[", ["line 2", "line 4"]),
            (b"", ["the file has no jobs"]),
        ]
        for content, positions in cases:
            with self.subTest(content[:20]), self.assertRaises(job_file.JobFileError) as raised:
                job_file.parse(content)
            found_positions = [fault.split(":")[0] for fault in raised.exception.faults]
            self.assertEqual(found_positions, positions)


if __name__ == "__main__":
    unittest.main()
