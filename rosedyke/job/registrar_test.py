import unittest

from rosedyke.job import claim, messages, registrar
from rosedyke.wire import peer

A = peer.Peer("dc1a", 1, "dc1", "127.0.0.1:1")
B = peer.Peer("dc1b", 1, "dc1", "127.0.0.1:2")


def claim_request(job_id="job", attempt=1, round_number=1, closes=0):
    return messages.ClaimRequest(job_id, attempt, b"body", 0.0, round_number, (), closes)


class Claims(unittest.TestCase):
    def setUp(self):
        self.registrar = registrar.Registrar(claim_life_s=100.0, max_claims=3)

    def decide(self, sender, request, now=0.0):
        decision = self.registrar.conflict(sender, request, now)
        return (decision or self.registrar.grant(sender, request, now)).outcome

    def test_refusal_names_the_present_holder(self):
        self.assertIs(self.decide(A, claim_request()), claim.Outcome.GRANTED)
        decision = self.registrar.conflict(B, claim_request(), 0.0)
        self.assertEqual((decision.outcome, decision.holder), (claim.Outcome.HELD, A))

    def test_repeated_request_of_the_holder_is_granted_again(self):
        self.decide(A, claim_request())
        self.assertIs(self.decide(A, claim_request()), claim.Outcome.GRANTED)

    def test_delayed_release_of_an_earlier_round_is_ignored(self):
        # The holder withdrew its claim of round 1 and runs the job under round 2. The delayed
        # release of round 1 must not admit another claimant.
        self.decide(A, claim_request(round_number=1))
        self.decide(A, claim_request(round_number=2))
        self.registrar.release(A, messages.ReleaseRequest("job", 1), 0.0)
        self.assertIs(self.decide(B, claim_request()), claim.Outcome.HELD)

    def test_delayed_duplicate_of_an_earlier_request_does_not_lower_the_round(self):
        self.decide(A, claim_request(round_number=2))
        self.decide(A, claim_request(round_number=1))
        self.registrar.release(A, messages.ReleaseRequest("job", 1), 0.0)
        self.assertIs(self.decide(B, claim_request()), claim.Outcome.HELD)

    def test_release_by_another_instance_is_ignored(self):
        self.decide(A, claim_request())
        self.registrar.release(B, messages.ReleaseRequest("job", 1), 0.0)
        self.assertIs(self.decide(B, claim_request()), claim.Outcome.HELD)

    def test_closed_attempts_stay_closed_and_higher_ones_are_granted(self):
        self.decide(A, claim_request(attempt=2))
        self.registrar.release(A, messages.ReleaseRequest("job", 1, closed_through=2), 0.0)
        for attempt in (1, 2, None):
            self.assertIs(self.decide(B, claim_request(attempt=attempt)), claim.Outcome.CLOSED)
        self.assertIs(self.decide(B, claim_request(attempt=3)), claim.Outcome.GRANTED)

    def test_full_table_refuses_new_claims_and_evicts_none(self):
        for number in range(3):
            self.decide(A, claim_request(f"job-{number}"))
        self.assertIs(self.decide(A, claim_request("one-more")), claim.Outcome.FULL)
        self.assertIs(self.decide(B, claim_request("job-0")), claim.Outcome.HELD)

    def test_expired_claims_make_room(self):
        for number in range(3):
            self.decide(A, claim_request(f"job-{number}"))
        self.assertIs(self.decide(A, claim_request("one-more"), now=100.0), claim.Outcome.GRANTED)

    def test_transferred_claim_does_not_replace_a_holder(self):
        self.decide(A, claim_request())
        transfer = messages.TransferredClaim("job", B, 1, 1, 0, b"body", 50.0)
        with self.assertLogs("rosedyke", "ERROR"):
            self.registrar.accept_transfer(transfer, 0.0)
        self.assertEqual(self.registrar.find("job").holder, A)

    def test_latest_move_of_an_answer_wins_in_any_order_of_arrival(self):
        first_transfer = messages.TransferredClaim("job", A, 1, 1, 0, b"body", 50.0, moves=0)
        second_transfer = messages.TransferredClaim("job", B, 1, 1, 0, b"body", 50.0, moves=1)
        for order in ((first_transfer, second_transfer), (second_transfer, first_transfer)):
            table = registrar.Registrar(100.0, 3)
            for transfer in order:
                table.accept_transfer(transfer, 0.0)
            self.assertEqual(table.find("job").holder, B)
