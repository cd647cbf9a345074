import collections
import random
import unittest

import attrs

from rosedyke.rerunnable_jobs import job, messages
from rosedyke.standins import rerun_region
from rosedyke.wire import codec

DONE = job.Outcome(job.EndState.SUCCEEDED)


def renewals_per_s(region, seconds):
    """Return the number of renewals that each instance receives per second."""
    sent = collections.Counter()
    usual_delay = region.network.delay_s

    def count(source, target, message):
        if isinstance(message, messages.Renew):
            sent[target.name] += 1
        return usual_delay(source, target, message)

    region.network.delay_s = count
    region.run(seconds)
    region.network.delay_s = usual_delay
    return {name: number / seconds for name, number in sent.items()}


class LargeFleet(unittest.TestCase):
    def test_renewals_with_idle_owners_are_bounded_in_a_large_fleet(self):
        # Guards against idle instances that spend their processor on renewals.
        region = rerun_region.Region({"a": 15, "b": 15, "c": 15})
        region.run(3.0)
        sent = renewals_per_s(region, 3.0)
        self.assertLess(max(sent.values()), 100)
        self.assertLess(sum(sent.values()), 45 * 50)

    def test_watchers_replace_a_failed_owner_within_a_second(self):
        region = rerun_region.Region({"a": 15, "b": 15, "c": 15})
        region.run(3.0)
        region.kill(region.owner("a"))
        killed_at = region.runtime.now()
        submission = region.submit("a-7", "j1", duration_s=0.1)
        region.run(2.0)
        self.assertEqual((submission.outcome, region.backend.violations), (DONE, []))
        self.assertLess(submission.ended_at - killed_at, 1.0)

    def test_pool_is_taken_over_after_its_owner_and_all_watchers_fail(self):
        # Guards against a pool without an owner because only the watchers may take it.
        region = rerun_region.Region({"a": 15, "b": 3})
        region.run(3.0)
        owner = region.owner("a")
        watchers = [
            name
            for name, member in region.members.items()
            if name != owner
            and member.node.takeovers.is_watcher("a/r1", member.node.fleet.claim_of("a/r1"))
        ]
        self.assertEqual(len(watchers), 4)
        for name in (owner, *watchers):
            region.kill(name)
        region.run(3.0)
        self.assertTrue(region.owner("a").startswith("a-"))
        submission = region.submit(region.non_owner("a"), "j1", duration_s=0.1)
        region.run(1.0)
        self.assertEqual((submission.outcome, region.backend.violations), (DONE, []))

    def test_alive_owner_is_not_suspected(self):
        region = rerun_region.Region({"a": 15, "b": 15, "c": 15})
        region.run(3.0)
        queries = []
        region.network.delay_s = (
            lambda source, target, message, usual_delay=region.network.delay_s: (
                queries.append(message) or usual_delay(source, target, message)
                if isinstance(message, messages.ContactAgeQuery)
                else usual_delay(source, target, message)
            )
        )
        region.run(5.0)
        self.assertEqual(queries, [])

    def test_alive_owners_of_other_data_centres_are_not_suspected(self):
        # Guards against idle instances that have not renewed with an owner of another data centre
        # and take that for its silence: they probe its servers and all candidates.
        region = rerun_region.Region(dict.fromkeys("abcde", 5))
        region.run(4.0)
        begin = len(region.network.log)
        region.run(6.0)
        queries = [
            entry
            for entry in region.network.log[begin:]
            if isinstance(entry[3], messages.ContactAgeQuery)
        ]
        self.assertEqual(len(queries), 0)

    def test_few_instances_of_other_data_centres_renew_with_an_owner(self):
        # Guards against idle instances that renew with owners they will never need.
        region = rerun_region.Region({"a": 15, "b": 15, "c": 15})
        region.run(3.0)
        remote = [
            name
            for name, member in region.members.items()
            if member.own.data_centre != "a" and member.node.takeovers.is_candidate("a/r1")
        ]
        self.assertGreaterEqual(len(remote), 2)
        self.assertLessEqual(len(remote), 6)
        sent = renewals_per_s(region, 3.0)
        self.assertLess(sum(sent.values()), 45 * 10)

    def test_every_instance_serves_a_service_that_only_another_data_centre_runs(self):
        # Guards against refusals by instances that renew with no owner of the service.
        region = rerun_region.Region({"a": 15, "b": 15})
        for number in range(3):
            del region.backend.servers[f"s-a-{number}"]
        region.run(3.0)
        names = [name for name in region.members if name.startswith("a")]
        submissions = [region.submit(name, f"j-{name}", duration_s=0.05) for name in names]
        region.run(2.0)
        self.assertEqual({submission.outcome for submission in submissions}, {DONE})

    def test_pool_of_a_lost_data_centre_is_taken_by_another_one(self):
        # Guards against remote watchers that are not the candidates for the pool.
        region = rerun_region.Region({"a": 3, "b": 15, "c": 15})
        region.run(3.0)
        for name in [name for name in region.members if name.startswith("a")]:
            region.kill(name)
        region.run(6.0)
        self.assertNotEqual(region.owner("a"), "")


class Claims(unittest.TestCase):
    """Renewals carry only the claims that the other instance does not know."""

    def setUp(self):
        self.region = rerun_region.Region({"a": 3, "b": 2})
        self.region.run(2.0)

    def claims_sent(self, seconds):
        sent = []
        usual_delay = self.region.network.delay_s

        def count(source, target, message):
            if isinstance(message, messages.RenewReply):
                sent.extend(message.claims)
            return usual_delay(source, target, message)

        self.region.network.delay_s = count
        self.region.run(seconds)
        self.region.network.delay_s = usual_delay
        return sent

    def test_no_claims_are_sent_in_an_idle_fleet(self):
        # Guards against renewals whose size grows with the number of pools.
        self.assertEqual(self.claims_sent(2.0), [])

    def test_owner_removed_by_mistake_is_learned_again(self):
        # Guards against an instance that never learns of an owner again, because its peers have
        # sent the claim before, and takes over the pool.
        node = self.region.members[self.region.non_owner("a")].node
        owner = self.region.owner("a")
        node.fleet.remove_owner("a/r1", owner)
        self.region.run(0.5)
        self.assertEqual(node.fleet.claim_of("a/r1").owner.name, owner)
        self.assertEqual(self.region.owner("a"), owner)

    def test_restarted_instance_sends_and_gets_all_claims(self):
        # Guards against claims withheld because of a version of the earlier incarnation.
        name = self.region.non_owner("a")
        address = self.region.members[name].own.address
        self.region.kill(name)
        self.region.run(0.2)
        self.region.add(name, "a", address)
        self.region.run(1.5)
        for member in self.region.members.values():
            self.assertEqual(set(member.node.fleet.owners), {"a/r1", "b/r1"})

    def test_version_of_an_earlier_incarnation_yields_all_claims(self):
        fleet = self.region.members["a-1"].node.fleet
        for version in (0, fleet.first_number - 1, fleet.claims_version + 1):
            self.assertEqual(len(fleet.claims_since(version)), 2)
        self.assertEqual(fleet.claims_since(fleet.claims_version), ())
        self.assertEqual(len(fleet.claims_since(fleet.claims_version - 1)), 1)


def encoded_as_before(reply, owner):
    """Return the bytes of a reply before servers, documents and sender were left out of it."""
    pools = []
    for pool in owner.owned_pools.values():
        report = attrs.asdict(pool.reports.recent_report())
        del report["speeds_by_free"], report["servers_version"], report["speeds_version"]
        del report["learned"], report["earlier_owners"]
        rooms = tuple(
            (state.free_millicores(), owner.speeds.speed_of(state.server.id))
            for state in pool.server_states.values()
        )
        pools.append(report | {"rooms": rooms})
    earlier = {
        "sender": owner.this_instance,
        "unknown": reply.unknown,
        "clock_s": reply.clock_s,
        "pools": pools,
        "claims": reply.claims,
        "claims_version": reply.claims_version,
        "documents": owner.documents.versions(),
    }
    return codec.encode(earlier)


class Size(unittest.TestCase):
    """Renewals in a region with 20 servers in each pool."""

    def setUp(self):
        self.region = rerun_region.Region({"a": 3, "b": 2}, servers=20)
        for member in self.region.members.values():
            for topic in ("configuration", "evacuations", "servers"):
                member.node.documents.add(topic, lambda changes: None)
                member.node.documents.replace(topic, 123_456, {"key": b"value"})
        self.region.run(2.0)
        self.owner = self.region.members[self.region.owner("a")].node
        for number in range(20):
            self.owner.speeds.by_server[f"s-a-{number}"] = 0.6 + 0.0417 * number
        self.region.run(2.5)

    def test_steady_reply_has_at_most_forty_percent_of_its_earlier_size(self):
        # Guards against replies to renewals that fill the links of owners.
        self.region.submit(self.region.non_owner("a"), "j1", 30, 2.0)
        self.region.run(0.5)
        first = len(self.region.network.log)
        self.region.run(1.0)
        replies = [
            message
            for _, source, _, message in self.region.network.log[first:]
            if isinstance(message, messages.RenewReply) and source == self.owner.this_instance.name
        ]
        self.assertGreater(len(replies), 10)
        for reply in replies:
            size, before = len(codec.encode(reply)), len(encoded_as_before(reply, self.owner))
            self.assertLessEqual(size, 0.4 * before)

    def test_learned_state_does_not_change_the_size_of_a_steady_reply(self):
        # Guards against ratios, suspensions or their version in each reply.
        sizes = []
        for _ in range(2):
            first = len(self.region.network.log)
            self.region.run(1.0)
            sizes.append(
                {
                    len(codec.encode(message))
                    for _, source, _, message in self.region.network.log[first:]
                    if isinstance(message, messages.RenewReply)
                    and source == self.owner.this_instance.name
                    and not message.documents
                }
            )
            pool = self.owner.owned_pools["a/r1"]
            pool.timing = attrs.evolve(pool.timing, predicts_completion=True)
            for _ in range(20):
                self.owner.run_times.record("tags", 0.1, 0.2)
            pool.completion_handler.record_failure(pool.server_states["s-a-0"])
            self.region.run(0.5)
        self.assertEqual(pool.reports.report().learned.version, 1)
        self.assertEqual(sizes[0], sizes[1])

    def test_documents_are_sent_only_as_news_or_again_after_half_a_second(self):
        # Guards against renewals that repeat versions without effect.
        first = len(self.region.network.log)
        self.region.run(2.0)
        sizes = [
            len(message.documents)
            for _, _, _, message in self.region.network.log[first:]
            if isinstance(message, messages.Renew | messages.RenewReply)
        ]
        self.assertLess(sum(sizes) / len(sizes), 3 / 2)

    def test_document_reaches_all_instances_although_messages_are_lost(self):
        # Guards against a version that is never sent again because its receiver is believed to
        # know it.
        usual_delay, lost = self.region.network.delay_s, random.Random(4)
        self.region.network.delay_s = lambda source, target, message: (
            None if lost.random() < 0.4 else usual_delay(source, target, message)
        )
        nodes = [member.node for member in self.region.members.values()]
        nodes[0].documents.replace("servers", 123_457, {"key": b"new"})
        self.region.run(4.0)
        for node in nodes:
            self.assertEqual(node.documents.by_topic["servers"].revision, 123_457)

    def test_document_reaches_an_instance_that_restarts_without_it(self):
        name = self.region.non_owner("a")
        address = self.region.members[name].own.address
        self.region.kill(name)
        self.region.run(1.0)
        node = self.region.add(name, "a", address).node
        node.documents.add("servers", lambda changes: None)
        self.region.run(0.2)
        self.assertEqual(node.documents.by_topic["servers"].revision, 123_456)

    def test_instance_that_is_known_differently_is_sent_whole(self):
        # Guards against an instance whose cores or address stay outdated at its peers.
        node = self.region.members[self.region.non_owner("a")].node
        current = self.owner.this_instance
        outdated = attrs.evolve(current, cores=4.0)
        for known, expected in ((outdated, current), (current, None)):
            renew = messages.Renew(node.this_instance, (), 0.0, 0, {}, {}, known.checksum())
            self.assertEqual(self.owner.renewal.on_renew(None, renew).sender, expected)


class Holders(unittest.TestCase):
    def test_holders_in_a_large_fleet_renew_at_most_four_times_a_second(self):
        # Guards against owners that are overloaded by the renewals of many holders.
        region = rerun_region.Region({"a": 15, "b": 15, "c": 15}, servers=6)
        region.run(3.0)
        submissions = [
            region.submit(name, f"job-{number}", duration_s=4.0, timeout_s=9)
            for number, name in enumerate(region.members)
        ]
        region.run(0.5)
        owners = {region.owner(data_centre) for data_centre in "abc"}
        holders = [
            len(member.node.holder.owner_names() - {name})
            for name, member in region.members.items()
        ]
        sent = renewals_per_s(region, 2.0)
        watchers = 4 * len(owners)
        self.assertLess(sum(sent[owner] for owner in owners), 4 * (sum(holders) + watchers))
        region.run(3.0)
        self.assertEqual({submission.outcome for submission in submissions}, {DONE})

    def test_outcome_of_a_job_includes_a_current_pool_report(self):
        # Guards against submissions to a full pool because of an outdated report.
        region = rerun_region.Region({"a": 2})
        region.run(1.5)
        holder = region.members[region.non_owner("a")].node
        holder.renewal.renew = lambda instance: None
        region.submit(holder.this_instance.name, "long", 6, 0.4)
        region.submit(holder.this_instance.name, "short", 3, 0.05)
        region.run(0.1)
        report = holder.fleet.owners["a/r1"].report
        self.assertEqual(sum(free for free, _ in report.rooms), 6000)
