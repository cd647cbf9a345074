import unittest

from rosedyke.configuration import change, changelog, file, plan, ports, stored
from rosedyke.standins import keyvalue, virtual, virtual_store

KEYS = stored.Keys()
TIME = "2026-01-01T00:00:00Z"


def text(team, service=None, quota=0):
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


class StepStore(virtual_store.VirtualStore):
    """Runs a test's function before each write, and can lose a write on its way."""

    def __init__(self, runtime, state):
        super().__init__(runtime, state, virtual_store.Faults())
        self.before_write = []
        self.held_back = []

    def write(self, compares, operations):
        if self.before_write:
            action = self.before_write.pop(0)
            if action is not None:
                action()
        return super().write(compares, operations)


class WithStore(unittest.TestCase):
    def setUp(self):
        self.runtime = virtual.VirtualRuntime()
        self.state = keyvalue.KeyValue()
        self.store = StepStore(self.runtime, self.state)
        self.other = StepStore(self.runtime, self.state)

    def proposal(self, *texts, operator="ana", **changes):
        files = tuple(
            file.parse(f"{number}.toml", each.encode()) for number, each in enumerate(texts)
        )
        removals = changes.pop("removals", ())
        return plan.Proposal(files, removals, operator, TIME, **changes)

    def apply(self, *texts, store=None, **changes):
        proposal = self.proposal(*texts, **changes)
        return self.runtime.call(
            change.apply, store or self.store, KEYS, self.runtime, proposal, limit_s=600
        )

    def direct(self, *texts, **changes):
        """Return a function that applies at once through the other store, in the same task."""
        return lambda: change.apply(
            self.other, KEYS, self.runtime, self.proposal(*texts, operator="bo", **changes)
        )

    def seen(self):
        return self.runtime.call(stored.read_intent, self.other, KEYS)

    def settle(self, unknown):
        return self.runtime.call(
            changelog.settle, self.other, KEYS, unknown.change_id, unknown.base_generation
        )


class Outcomes(WithStore):
    def test_accepted_files_are_stored_with_who_and_when(self):
        outcome = self.apply(text("a"), text("bb"))
        self.assertEqual(outcome.generation, 1)
        self.assertEqual(
            [(c.team, c.action) for c in outcome.changes], [("a", "added"), ("bb", "added")]
        )
        seen = self.seen()
        self.assertEqual(seen.head.generation, 1)
        self.assertEqual([entry.team for entry in seen.head.entries], ["a", "bb"])
        self.assertEqual((seen.files["a"].operator, seen.files["a"].time), ("ana", TIME))

    def test_applying_the_same_again_changes_nothing(self):
        self.apply(text("a"))
        outcome = self.apply(text("a"))
        self.assertEqual((outcome.generation, outcome.changes), (1, ()))
        self.assertEqual(self.seen().head.generation, 1)

    def test_one_faulty_file_of_two_rejects_both(self):
        outcome = self.apply(text("a"), text("bb") + "bogus = 1\n")
        self.assertIsInstance(outcome, change.Rejected)
        self.assertEqual([each.code for each in outcome.diagnostics], ["unknown_key"])
        self.assertEqual(self.seen().files, {})

    def test_name_that_another_teams_file_has_is_rejected(self):
        self.apply(text("a", service="s"))
        outcome = self.apply(text("bb", service="s"))
        self.assertEqual([each.code for each in outcome.diagnostics], ["duplicate_service"])
        self.assertIn("store:a", outcome.diagnostics[0].text)

    def test_removal(self):
        self.apply(text("a"), text("bb"))
        outcome = self.apply(removals=("a",))
        self.assertEqual(outcome.generation, 2)
        self.assertEqual(sorted(self.seen().files), ["bb"])
        self.assertEqual(self.apply(removals=("a",)).changes, ())

    def test_service_may_move_between_teams_in_one_change(self):
        self.apply(text("a", service="s"))
        outcome = self.apply(text("a", service="t"), text("bb", service="s"))
        self.assertEqual(outcome.generation, 2)

    def test_store_down_is_unreachable(self):
        self.store.faults.is_down = True
        self.assertIsInstance(self.apply(text("a")), change.Unreachable)

    def test_too_large_a_change_is_rejected(self):
        long = "".join(f"# {'x' * 100}\n" for _ in range(8000))
        outcome = self.apply(text("a") + long, text("bb") + long)
        self.assertEqual([each.code for each in outcome.diagnostics], ["change_too_large"])


class Races(WithStore):
    def test_same_file_is_a_conflict_that_names_the_winner(self):
        """Ana's command has read the store; before it writes, Bo's change of the file is in.

        Writing would undo Bo's change without anyone having seen it.
        """
        self.apply(text("a"))
        self.store.before_write = [self.direct(text("a", quota=7))]
        outcome = self.apply(text("a", quota=9))
        self.assertIsInstance(outcome, change.Conflict)
        self.assertEqual((outcome.winner.operator, outcome.winner.generation), ("bo", 2))
        self.assertIn("-quota = 7", outcome.difference)
        self.assertIn("+quota = 9", outcome.difference)
        self.assertIn("quota = 7", self.seen().files["a"].text)

    def test_another_file_is_no_conflict(self):
        self.apply(text("a"))
        self.store.before_write = [self.direct(text("bb"))]
        outcome = self.apply(text("a", quota=9))
        self.assertEqual(outcome.generation, 3)
        self.assertEqual(sorted(self.seen().files), ["a", "bb"])

    def test_another_file_that_takes_the_name_rejects_this_one(self):
        self.store.before_write = [self.direct(text("bb", service="s"))]
        outcome = self.apply(text("a", service="s"))
        self.assertIsInstance(outcome, change.Rejected)

    def test_same_content_is_accepted_whoever_wrote_it(self):
        self.store.before_write = [self.direct(text("a"))]
        outcome = self.apply(text("a"))
        self.assertEqual((outcome.generation, outcome.changes), (1, ()))

    def test_change_after_the_generation_that_the_operator_saw(self):
        self.apply(text("a"))
        self.apply(text("a", quota=1), operator="bo")
        outcome = self.apply(text("a", quota=2), seen_generation=1)
        self.assertEqual(outcome.winner.operator, "bo")
        self.assertEqual(self.apply(text("a", quota=2), seen_generation=2).generation, 3)

    def test_removal_after_the_generation_that_the_operator_saw(self):
        self.apply(text("a"))
        self.apply(removals=("a",), operator="bo")
        outcome = self.apply(text("a", quota=2), seen_generation=1)
        self.assertEqual(outcome.winner.operator, "bo")

    def test_two_operators_over_200_rounds(self):
        """Two commands change the same team at any interleaving, half of the answers get lost.

        Every outcome must be true: accepted means that its record is there once, conflict that
        the named winner's is and one's own is not.
        """
        generations = []
        outcomes = {change.Accepted: 0, change.Conflict: 0, change.Unknown: 0}
        for number in range(200):
            runtime = self.runtime = virtual.VirtualRuntime(seed=number, shuffle=True)
            stores = [StepStore(runtime, self.state) for _ in range(2)]
            results = [None, None]

            def command(index, stores=stores, results=results, number=number):
                stores[index].faults.lost_answers = self.runtime.random() < 0.5
                self.runtime.sleep(self.runtime.random() * 0.003)
                proposal = self.proposal(text("a", quota=2 * number + index), operator=str(index))
                results[index] = (
                    proposal.change_id,
                    change.apply(stores[index], KEYS, self.runtime, proposal),
                )

            for index in range(2):
                runtime.spawn(command, index)
            runtime.run(60)
            self.other = StepStore(runtime, self.state)
            history = runtime.call(changelog.read, self.other, KEYS, 1)
            ids = [record.change_id for record in history]
            for change_id, outcome in results:
                outcomes[type(outcome)] += 1
                if isinstance(outcome, change.Accepted):
                    self.assertEqual(ids.count(change_id), 1)
                    self.assertEqual(history[outcome.generation - 1].change_id, change_id)
                    generations.append(outcome.generation)
                else:
                    self.assertNotIn(change_id, ids)
                    self.assertIn(outcome.winner, history)
        self.assertEqual(sorted(generations), list(range(1, len(history) + 1)))
        self.assertGreater(outcomes[change.Conflict], 20)
        self.assertEqual(outcomes[change.Unknown], 0)


class LostAnswers(WithStore):
    def test_lost_answer_is_settled_by_the_change_id(self):
        """The store does the write, the answer is lost, the command sends the write again.

        The second copy's condition fails; the record at that generation is the command's own.
        """
        self.store.faults.lost_answers = 1
        outcome = self.apply(text("a"))
        self.assertEqual(outcome.generation, 1)
        self.assertEqual(self.seen().head.change_id, outcome.change_id)
        self.assertEqual(self.seen().head.generation, 1)

    def test_lost_answer_then_another_change_on_top(self):
        self.store.faults.lost_answers = 1
        self.store.before_write = [None, self.direct(text("bb"))]
        outcome = self.apply(text("a"))
        self.assertEqual(outcome.generation, 1)
        self.assertEqual(self.seen().head.generation, 2)

    def test_lost_answer_then_the_store_goes_down_is_unknown(self):
        """The write took effect, the answer got lost and the store stays down.

        The command can't say accepted or rejected; it names the command that settles it.
        """
        self.store.faults.lost_answers = 1
        self.store.before_write = [
            None,
            lambda: setattr(self.store.faults, "is_down", True),
        ]
        outcome = self.apply(text("a"))
        self.assertIsInstance(outcome, change.Unknown)
        settled = self.settle(outcome)
        self.assertEqual((settled.state, settled.generation), (changelog.State.ACCEPTED, 1))

    def test_write_that_never_arrived_is_open_until_another_change(self):
        self.store.write = self._lose_before
        outcome = self.apply(text("a"))
        self.assertIsInstance(outcome, change.Unknown)
        self.assertEqual(self.settle(outcome).state, changelog.State.OPEN)
        self.apply(text("bb"), store=self.other)
        self.assertEqual(self.settle(outcome).state, changelog.State.NEVER)

    def _lose_before(self, compares, operations):
        raise ports.StoreOutcomeUnknown("lost before it arrived")

    def test_copy_that_arrives_late_changes_nothing(self):
        """A copy of the write is held up on its way while the second one is accepted.

        When it arrives after all, and after a further change, it must not undo that.
        """
        late = []
        write = self.store.write

        def hold_up_the_first(compares, operations):
            if not late:
                late.append((compares, operations))
                raise ports.StoreOutcomeUnknown("held up")
            return write(compares, operations)

        self.store.write = hold_up_the_first
        self.assertEqual(self.apply(text("a")).generation, 1)
        self.apply(text("a", quota=5), store=self.other)
        self.assertFalse(self.runtime.call(self.other.write, *late[0]))
        self.assertIn("quota = 5", self.seen().files["a"].text)

    def test_old_revision_while_settling_is_not_believed(self):
        """The write took effect, its answer is lost, and reads come from a replica that lags.

        The lagging answer lacks the record; that must not be read as "did not take effect".
        """
        self.apply(text("bb"))
        stale = self.state.revision
        self.store.faults.lost_answers = 1
        self.store.before_write = [
            None,
            lambda: setattr(self.store.faults, "stale_revision", stale),
        ]
        outcome = self.apply(text("a"))
        self.assertIsInstance(outcome, change.Unknown)
        self.assertEqual(self.settle(outcome).state, changelog.State.ACCEPTED)


class StoreWithinItsBounds(WithStore):
    def test_history_is_bounded(self):
        old, stored.HISTORY_LIMIT = stored.HISTORY_LIMIT, 5
        self.addCleanup(setattr, stored, "HISTORY_LIMIT", old)
        for number in range(12):
            self.apply(text("a", quota=number))
        history = self.runtime.call(changelog.read, self.other, KEYS, 1)
        self.assertEqual([record.generation for record in history], [8, 9, 10, 11, 12])

    def test_largest_change_fits_one_transaction(self):
        operations = []
        write = self.store.write
        self.store.write = lambda c, o: operations.extend(o) or write(c, o)
        texts = [
            text(f"team-{number}").replace("127.1.", f"127.{number + 2}.")
            for number in range(plan.MAX_FILES)
        ]
        self.assertEqual(self.apply(*texts).generation, 1)
        self.assertLessEqual(len(operations), 128)
        more = self.apply(*texts, text("b" * 20))
        self.assertEqual([each.code for each in more.diagnostics], ["too_many_files"])
