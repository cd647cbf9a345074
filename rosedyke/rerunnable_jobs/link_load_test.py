"""Load on an owner's link, with a virtual clock."""

import collections
import itertools
import logging
import unittest

from rosedyke.rerunnable_jobs import events, job, messages
from rosedyke.standins import rerun_region

STARTUP_S = 1.5
LINK_BYTES_PER_S = 250_000.0
TASKS_PER_JOB = 8
# A start command of it takes 6 ms on the link, so the owner's link carries 20 jobs a second.
PAYLOAD = "x" * 1200
LINK_JOBS_PER_S = 20
LOAD_S = 4.0


class EventCounter(logging.Handler):
    """Counts the logged events by number."""

    def __init__(self, test):
        super().__init__()
        self.counts = collections.Counter()
        logger = logging.getLogger("rosedyke")
        logger.addHandler(self)
        test.addCleanup(logger.removeHandler, self)
        test.addCleanup(logger.setLevel, logger.level)
        logger.setLevel(logging.INFO)

    def emit(self, record):
        self.counts[record.event] += 1


def limited_region():
    """Return a region with one pool, whose instances have slow links."""
    region = rerun_region.Region({"a": 5}, servers=8, link_bytes_per_s=LINK_BYTES_PER_S)
    region.run(STARTUP_S)
    return region


def submit(region, holder, number):
    """Submit a job to an instance."""
    return region.submit(holder, f"j{number}", TASKS_PER_JOB, 0.05, 1.5, PAYLOAD)


def load_region(jobs_per_s):
    """Return a region after ``LOAD_S`` of load by all instances but the owner, and the jobs."""
    region = limited_region()
    holders = [name for name in region.members if name != region.owner("a")]
    submissions = []
    for number in range(int(jobs_per_s * LOAD_S)):
        submissions.append(submit(region, holders[number % len(holders)], number))
        region.run(1 / jobs_per_s)
    return region, submissions


def goodput(submissions):
    """Return the number of jobs that succeeded."""
    return sum(
        submission.outcome is not None and submission.outcome.end is job.EndState.SUCCEEDED
        for submission in submissions
    )


def completed_share(region, submissions):
    """Return the share of the start commands whose job succeeded."""
    return goodput(submissions) * TASKS_PER_JOB / len(region.backend.starts)


def sent_messages(region, sender, message_type):
    """Return when an instance sent messages of a type, since the start of the load."""
    return [
        sent_at
        for sent_at, source, _, message in region.network.log
        if sent_at > STARTUP_S and source == sender and isinstance(message, message_type)
    ]


class OfferedThreeTimesTheLink(unittest.TestCase):
    def test_owner_keeps_its_leases_and_its_goodput(self):
        # Guards against the collapse of small instances: start commands filled the link, commands
        # and renewals behind them timed out, and the repetitions kept the link full.
        best_region, best = load_region(0.7 * LINK_JOBS_PER_S)
        counter = EventCounter(self)
        region, submissions = load_region(3 * LINK_JOBS_PER_S)
        for trouble in (
            events.COMMAND_UNANSWERED,
            events.SERVER_UNRESPONSIVE,
            events.OWNER_SUSPECTED,
            events.HOLDER_LOST,
        ):
            self.assertEqual(counter.counts[trouble.number], 0, trouble.name)
        owner = region.owner("a")
        replies = len(sent_messages(region, owner, messages.RenewReply))
        best_replies = len(sent_messages(best_region, best_region.owner("a"), messages.RenewReply))
        self.assertGreater(replies, 0.95 * best_replies)
        now = region.runtime.now()
        for state in region.members[owner].node.owned_pools["a/r1"].server_states.values():
            self.assertGreater(state.lease_until - now, region.timing.lease_s / 2)
        self.assertGreater(
            completed_share(region, submissions), 0.8 * completed_share(best_region, best)
        )
        self.assertEqual(region.backend.violations, [])

    def test_successor_of_an_owner_that_is_lost_continues_the_jobs(self):
        # Guards against tasks that waited for the link of the lost owner and are never placed.
        region = limited_region()
        owner = region.owner("a")
        holder = region.non_owner("a")
        submissions = [submit(region, holder, number) for number in range(20)]
        region.run(0.3)
        self.assertLess(len(region.backend.starts), 20 * TASKS_PER_JOB)
        region.kill(owner)
        region.run(3.0)
        self.assertGreater(goodput(submissions), 10)
        self.assertEqual(region.backend.violations, [])


class BurstAtOneHolder(unittest.TestCase):
    def test_submissions_wait_in_order_and_renewals_do_not(self):
        # Guards against renewals that wait behind the payloads of a burst, so that the owner takes
        # the holder for lost.
        region = limited_region()
        holder = region.non_owner("a")
        submissions = [submit(region, holder, number) for number in range(50)]
        cancelled = submissions[-1]
        region.run(0.1)
        cancelled.disconnected.set()
        region.run(0.9)
        self.assertEqual(cancelled.outcome.end, job.EndState.CANCELLED)
        sent = [
            message.work.id
            for _, _, _, message in region.network.log
            if isinstance(message, messages.Submit)
        ]
        self.assertEqual(sent, [f"j{number}" for number in range(49)])
        submitted_at = sent_messages(region, holder, messages.Submit)
        # 1,700 bytes of each job take 7 ms on the link, so the last one was sent after 0.3 s.
        self.assertGreater(submitted_at[-1] - submitted_at[0], 0.3)
        renewals = sent_messages(region, holder, messages.Renew)
        gaps = [later - earlier for earlier, later in itertools.pairwise(renewals)]
        # A reply may take longer than one interval, but not two.
        self.assertLess(max(gaps), 2.5 * region.timing.renew_s)
