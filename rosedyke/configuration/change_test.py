import unittest

from rosedyke.configuration import change, changelog, file_parser, plan, ports, storage
from rosedyke.standins import keyvalue, virtual, virtual_store

KEYS = storage.Keys()
TIME = "2026-01-01T00:00:00Z"


def file_text(team, service=None, quota=0):
    return f"""
team = "{team}"
quota = {quota}
[[services]]
name = "{service or team}"
[[services.tasks]]
name = "task"
run_time_s = 0.1
[[services.servers]]
name = "{team}-1"
address = "127.1.{len(team)}.1:8100"
data_centre = "dc1"
"""


class InterceptingStore(virtual_store.VirtualStore):
    """Store client that calls a function of the test before each write."""

    def __init__(self, runtime, state):
        super().__init__(runtime, state, virtual_store.Faults())
        self.before_write = []
        self.delayed_writes = []

    def write(self, compares, operations):
        if self.before_write:
            action = self.before_write.pop(0)
            if action is not None:
                action()
        return super().write(compares, operations)


class StoreTestCase(unittest.TestCase):
    def setUp(self):
        self.runtime = virtual.VirtualRuntime()
        self.state = keyvalue.KeyValue()
        self.store = InterceptingStore(self.runtime, self.state)
        self.other_client = InterceptingStore(self.runtime, self.state)

    def proposal(self, *texts, operator="ana", **changes):
        files = tuple(
            file_parser.parse(f"{number}.toml", content.encode())
            for number, content in enumerate(texts)
        )
        removals = changes.pop("removals", ())
        return plan.Proposal(files, removals, operator, TIME, **changes)

    def apply(self, *texts, store=None, **changes):
        proposal = self.proposal(*texts, **changes)
        return self.runtime.call(
            change.apply, store or self.store, KEYS, self.runtime, proposal, limit_s=600
        )

    def concurrent_change(self, *texts, **changes):
        """Return a function that applies a change with the other client, in the calling task."""
        return lambda: change.apply(
            self.other_client, KEYS, self.runtime, self.proposal(*texts, operator="bo", **changes)
        )

    def stored_intent(self):
        return self.runtime.call(storage.read_intent, self.other_client, KEYS)

    def resolve(self, unknown):
        return self.runtime.call(
            changelog.resolve_change,
            self.other_client,
            KEYS,
            unknown.change_id,
            unknown.base_generation,
        )


class Outcomes(StoreTestCase):
    def test_accepted_files_are_stored_with_operator_and_time(self):
        outcome = self.apply(file_text("a"), file_text("bb"))
        self.assertEqual(outcome.generation, 1)
        self.assertEqual(
            [(team_change.team, team_change.action) for team_change in outcome.changes],
            [("a", "added"), ("bb", "added")],
        )
        stored_intent = self.stored_intent()
        self.assertEqual(stored_intent.head.generation, 1)
        self.assertEqual([entry.team for entry in stored_intent.head.entries], ["a", "bb"])
        self.assertEqual(
            (stored_intent.files["a"].operator, stored_intent.files["a"].time), ("ana", TIME)
        )

    def test_applying_the_same_file_again_has_no_effect(self):
        self.apply(file_text("a"))
        outcome = self.apply(file_text("a"))
        self.assertEqual((outcome.generation, outcome.changes), (1, ()))
        self.assertEqual(self.stored_intent().head.generation, 1)

    def test_one_invalid_file_rejects_the_whole_change(self):
        outcome = self.apply(file_text("a"), file_text("bb") + "bogus = 1\n")
        self.assertIsInstance(outcome, change.Rejected)
        self.assertEqual([found.code for found in outcome.diagnostics], ["unknown_key"])
        self.assertEqual(self.stored_intent().files, {})

    def test_name_defined_by_another_team_is_rejected(self):
        self.apply(file_text("a", service="s"))
        outcome = self.apply(file_text("bb", service="s"))
        self.assertEqual([found.code for found in outcome.diagnostics], ["duplicate_service"])
        self.assertIn("store:a", outcome.diagnostics[0].text)

    def test_removal(self):
        self.apply(file_text("a"), file_text("bb"))
        outcome = self.apply(removals=("a",))
        self.assertEqual(outcome.generation, 2)
        self.assertEqual(sorted(self.stored_intent().files), ["bb"])
        self.assertEqual(self.apply(removals=("a",)).changes, ())

    def test_service_may_move_between_teams_in_one_change(self):
        self.apply(file_text("a", service="s"))
        outcome = self.apply(file_text("a", service="t"), file_text("bb", service="s"))
        self.assertEqual(outcome.generation, 2)

    def test_store_outage_is_unreachable(self):
        self.store.faults.is_down = True
        self.assertIsInstance(self.apply(file_text("a")), change.Unreachable)

    def test_change_above_the_size_limit_is_rejected(self):
        filler = "".join(f"# {'x' * 100}\n" for _ in range(8000))
        outcome = self.apply(file_text("a") + filler, file_text("bb") + filler)
        self.assertEqual([found.code for found in outcome.diagnostics], ["change_too_large"])


class ConcurrentChanges(StoreTestCase):
    def test_concurrent_change_of_the_same_file_is_a_conflict(self):
        """A change accepted between another change's read and write must not be overwritten."""
        self.apply(file_text("a"))
        self.store.before_write = [self.concurrent_change(file_text("a", quota=7))]
        outcome = self.apply(file_text("a", quota=9))
        self.assertIsInstance(outcome, change.Conflict)
        self.assertEqual((outcome.winner.operator, outcome.winner.generation), ("bo", 2))
        self.assertIn("-quota = 7", outcome.difference)
        self.assertIn("+quota = 9", outcome.difference)
        self.assertIn("quota = 7", self.stored_intent().files["a"].text)

    def test_concurrent_change_of_another_file_is_no_conflict(self):
        self.apply(file_text("a"))
        self.store.before_write = [self.concurrent_change(file_text("bb"))]
        outcome = self.apply(file_text("a", quota=9))
        self.assertEqual(outcome.generation, 3)
        self.assertEqual(sorted(self.stored_intent().files), ["a", "bb"])

    def test_concurrent_change_that_defines_the_same_name_rejects(self):
        self.store.before_write = [self.concurrent_change(file_text("bb", service="s"))]
        outcome = self.apply(file_text("a", service="s"))
        self.assertIsInstance(outcome, change.Rejected)

    def test_concurrent_change_with_the_same_content_is_accepted(self):
        self.store.before_write = [self.concurrent_change(file_text("a"))]
        outcome = self.apply(file_text("a"))
        self.assertEqual((outcome.generation, outcome.changes), (1, ()))

    def test_change_after_the_expected_generation_is_a_conflict(self):
        self.apply(file_text("a"))
        self.apply(file_text("a", quota=1), operator="bo")
        outcome = self.apply(file_text("a", quota=2), expected_generation=1)
        self.assertEqual(outcome.winner.operator, "bo")
        self.assertEqual(self.apply(file_text("a", quota=2), expected_generation=2).generation, 3)

    def test_removal_after_the_expected_generation_is_a_conflict(self):
        self.apply(file_text("a"))
        self.apply(removals=("a",), operator="bo")
        outcome = self.apply(file_text("a", quota=2), expected_generation=1)
        self.assertEqual(outcome.winner.operator, "bo")

    def test_concurrent_operators_over_200_rounds(self):
        """Two commands change the same team at random interleavings, with half the replies lost.

        An accepted change must have exactly one record, and one in conflict none.
        """
        generations = []
        outcomes = {change.Accepted: 0, change.Conflict: 0, change.Unknown: 0}
        for number in range(200):
            runtime = self.runtime = virtual.VirtualRuntime(seed=number, shuffle=True)
            stores = [InterceptingStore(runtime, self.state) for _ in range(2)]
            results = [None, None]

            def command(index, stores=stores, results=results, number=number):
                stores[index].faults.lost_answers = self.runtime.random() < 0.5
                self.runtime.sleep(self.runtime.random() * 0.003)
                proposal = self.proposal(
                    file_text("a", quota=2 * number + index), operator=str(index)
                )
                results[index] = (
                    proposal.change_id,
                    change.apply(stores[index], KEYS, self.runtime, proposal),
                )

            for index in range(2):
                runtime.spawn(command, index)
            runtime.run(60)
            self.other_client = InterceptingStore(runtime, self.state)
            history = runtime.call(changelog.read, self.other_client, KEYS, 1)
            change_ids = [record.change_id for record in history]
            for change_id, outcome in results:
                outcomes[type(outcome)] += 1
                if isinstance(outcome, change.Accepted):
                    self.assertEqual(change_ids.count(change_id), 1)
                    self.assertEqual(history[outcome.generation - 1].change_id, change_id)
                    generations.append(outcome.generation)
                else:
                    self.assertNotIn(change_id, change_ids)
                    self.assertIn(outcome.winner, history)
        self.assertEqual(sorted(generations), list(range(1, len(history) + 1)))
        self.assertGreater(outcomes[change.Conflict], 20)
        self.assertEqual(outcomes[change.Unknown], 0)


class LostReplies(StoreTestCase):
    def test_lost_reply_is_resolved_by_the_change_id(self):
        """The write takes effect but its reply is lost, so that the condition of a retry fails."""
        self.store.faults.lost_answers = 1
        outcome = self.apply(file_text("a"))
        self.assertEqual(outcome.generation, 1)
        self.assertEqual(self.stored_intent().head.change_id, outcome.change_id)
        self.assertEqual(self.stored_intent().head.generation, 1)

    def test_lost_reply_followed_by_another_change(self):
        self.store.faults.lost_answers = 1
        self.store.before_write = [None, self.concurrent_change(file_text("bb"))]
        outcome = self.apply(file_text("a"))
        self.assertEqual(outcome.generation, 1)
        self.assertEqual(self.stored_intent().head.generation, 2)

    def test_lost_reply_followed_by_a_store_outage_is_unknown(self):
        """The outcome can't be determined during the outage and must not be reported as known."""
        self.store.faults.lost_answers = 1
        self.store.before_write = [
            None,
            lambda: setattr(self.store.faults, "is_down", True),
        ]
        outcome = self.apply(file_text("a"))
        self.assertIsInstance(outcome, change.Unknown)
        resolution = self.resolve(outcome)
        self.assertEqual((resolution.state, resolution.generation), (changelog.State.ACCEPTED, 1))

    def test_write_that_was_not_received_is_pending_until_another_change(self):
        self.store.write = self._lose_request
        outcome = self.apply(file_text("a"))
        self.assertIsInstance(outcome, change.Unknown)
        self.assertEqual(self.resolve(outcome).state, changelog.State.PENDING)
        self.apply(file_text("bb"), store=self.other_client)
        self.assertEqual(self.resolve(outcome).state, changelog.State.SUPERSEDED)

    def _lose_request(self, compares, operations):
        raise ports.StoreOutcomeUnknown("request lost")

    def test_delayed_copy_of_a_write_has_no_effect(self):
        """A delayed copy of an accepted write must not undo a later change."""
        delayed = []
        write = self.store.write

        def delay_first(compares, operations):
            if not delayed:
                delayed.append((compares, operations))
                raise ports.StoreOutcomeUnknown("delayed")
            return write(compares, operations)

        self.store.write = delay_first
        self.assertEqual(self.apply(file_text("a")).generation, 1)
        self.apply(file_text("a", quota=5), store=self.other_client)
        self.assertFalse(self.runtime.call(self.other_client.write, *delayed[0]))
        self.assertIn("quota = 5", self.stored_intent().files["a"].text)

    def test_stale_read_does_not_resolve_a_lost_reply(self):
        """A lagging replica lacks the record of a change that took effect.

        The change must not be reported as not accepted.
        """
        self.apply(file_text("bb"))
        old_revision = self.state.revision
        self.store.faults.lost_answers = 1
        self.store.before_write = [
            None,
            lambda: setattr(self.store.faults, "stale_revision", old_revision),
        ]
        outcome = self.apply(file_text("a"))
        self.assertIsInstance(outcome, change.Unknown)
        self.assertEqual(self.resolve(outcome).state, changelog.State.ACCEPTED)


class StoreLimits(StoreTestCase):
    def test_history_is_bounded(self):
        original_limit, storage.HISTORY_LIMIT = storage.HISTORY_LIMIT, 5
        self.addCleanup(setattr, storage, "HISTORY_LIMIT", original_limit)
        for number in range(12):
            self.apply(file_text("a", quota=number))
        history = self.runtime.call(changelog.read, self.other_client, KEYS, 1)
        self.assertEqual([record.generation for record in history], [8, 9, 10, 11, 12])

    def test_largest_change_fits_one_transaction(self):
        operations = []
        write = self.store.write
        self.store.write = lambda compares, added: operations.extend(added) or write(
            compares, added
        )
        texts = [
            file_text(f"team-{number}").replace("127.1.", f"127.{number + 2}.")
            for number in range(plan.MAX_FILES)
        ]
        self.assertEqual(self.apply(*texts).generation, 1)
        self.assertLessEqual(len(operations), 128)
        rejected = self.apply(*texts, file_text("b" * 20))
        self.assertEqual([found.code for found in rejected.diagnostics], ["too_many_files"])
