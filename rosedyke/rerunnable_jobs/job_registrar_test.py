import unittest

from rosedyke.rerunnable_jobs import job_registrar, messages, settings
from rosedyke.standins import virtual

GRANTED = messages.ClaimReply(None, False)
CANCELLED = messages.ClaimReply(None, True)
TIMING = settings.RerunSettings()
DURATION_S = job_registrar.CLAIM_S


def claimant(name, incarnation):
    return messages.Claimant(messages.Instance(name, f"{name}:7000", "a"), incarnation)


def claimed_by(other):
    return messages.ClaimReply(other, False, other.incarnation)


FIRST, SECOND = claimant("a-1", 11), claimant("a-2", 22)


class RegistrarTest(unittest.TestCase):
    def setUp(self):
        self.runtime = virtual.VirtualRuntime()
        self.registrar = job_registrar.JobRegistrar(TIMING, self.runtime)

    def claim(self, of, replaces=0, job_id="j1", number=None):
        """Claim a job; the incarnation is also the number of the claim unless one is given."""
        number = of.incarnation if number is None else number
        message = messages.ClaimJob(job_id, of.incarnation, number, replaces)
        return self.registrar.claim(of.instance, message)


class Claims(RegistrarTest):
    def test_second_claim_is_answered_with_the_first(self):
        # Guards against two holders of a job, each of which has its claim.
        self.assertEqual(self.claim(FIRST), GRANTED)
        self.assertEqual(self.claim(SECOND), claimed_by(FIRST))
        self.assertEqual(self.claim(FIRST), GRANTED)

    def test_other_job_is_not_affected(self):
        # Guards against claims that are stored under anything but the job's id.
        self.claim(FIRST)
        self.assertEqual(self.claim(SECOND, job_id="j2"), GRANTED)

    def test_next_incarnation_is_another_claimant(self):
        # Guards against a restarted instance that takes the claim of its former process, whose
        # runs go on, for its own.
        self.claim(FIRST)
        self.assertEqual(self.claim(claimant("a-1", 12)), claimed_by(FIRST))

    def test_claim_replaces_that_of_a_former_holder(self):
        # Guards against a job that no instance can take over.
        self.claim(FIRST)
        self.assertEqual(self.claim(SECOND, FIRST.incarnation), GRANTED)
        self.assertEqual(self.claim(FIRST), claimed_by(SECOND))

    def test_only_one_of_two_successors_replaces_a_former_holder(self):
        # Guards against two instances that both take a job over from a third one.
        self.claim(FIRST)
        self.claim(SECOND, FIRST.incarnation)
        third = claimant("a-3", 33)
        self.assertEqual(self.claim(third, FIRST.incarnation), claimed_by(SECOND))

    def test_claim_of_a_later_request_is_not_replaced_in_place_of_the_earlier_one(self):
        # Guards against two holders after the first one has ended the job, and its caller has sent
        # it there again while a second one was about to take it over.
        self.claim(FIRST)
        self.claim(FIRST, number=12)
        reply = self.claim(SECOND, FIRST.incarnation)
        self.assertEqual(reply, messages.ClaimReply(FIRST, False, 12))

    def test_delayed_claim_of_an_earlier_request_changes_nothing(self):
        # Guards against the same by a message that arrives late.
        self.claim(FIRST, number=12)
        self.claim(FIRST)
        reply = self.claim(SECOND, FIRST.incarnation)
        self.assertEqual(reply, messages.ClaimReply(FIRST, False, 12))

    def test_claim_ends_by_itself(self):
        # Guards against records of claims that are kept for ever.
        self.claim(FIRST)
        self.runtime.run(DURATION_S - 0.1)
        self.assertEqual(self.claim(SECOND), claimed_by(FIRST))
        self.runtime.run(DURATION_S + 0.1)
        self.assertEqual(self.claim(SECOND), GRANTED)

    def test_claim_that_is_renewed_lasts_for_longer(self):
        # Guards against a claim that ends although its holder has confirmed it.
        self.claim(FIRST)
        self.runtime.run(DURATION_S - 0.1)
        self.claim(FIRST)
        self.runtime.run(DURATION_S + 0.1)
        self.assertEqual(self.claim(SECOND), claimed_by(FIRST))


class Cancellations(RegistrarTest):
    def test_request_that_follows_its_cancellation_is_not_run(self):
        # Guards against a run of a job whose cancellation has overtaken its request.
        self.registrar.cancel("j1")
        self.assertEqual(self.claim(FIRST), CANCELLED)
        self.runtime.run(TIMING.cancellations_kept_s - 0.1)
        self.assertEqual(self.claim(FIRST), CANCELLED)

    def test_holder_that_confirms_its_claim_learns_of_the_cancellation(self):
        # Guards against a holder that the cancellation did not reach, and that goes on.
        self.claim(FIRST)
        self.registrar.cancel("j1")
        self.assertEqual(self.claim(FIRST), CANCELLED)


class Expiry(RegistrarTest):
    def test_ended_records_are_removed(self):
        # Guards against memory that grows with each job.
        self.runtime.spawn(self.registrar.run)
        self.claim(FIRST)
        self.registrar.cancel("j2")
        self.runtime.run(DURATION_S - job_registrar.EXPIRY_INTERVAL_S)
        self.assertEqual(
            (list(self.registrar.claims), list(self.registrar.cancelled)), (["j1"], ["j2"])
        )
        self.runtime.run(DURATION_S + 2 * job_registrar.EXPIRY_INTERVAL_S)
        self.assertEqual(self.registrar.claims, {})
        self.runtime.run(TIMING.cancellations_kept_s + 2 * job_registrar.EXPIRY_INTERVAL_S)
        self.assertEqual(self.registrar.cancelled, {})


if __name__ == "__main__":
    unittest.main()
