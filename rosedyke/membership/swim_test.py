import unittest

from rosedyke.membership import member, messages, record
from rosedyke.standins import instances
from rosedyke.wire import peer

State = member.State
NAMES = ("a", "b", "c", "d", "e")
LOSS = 0.05


def incarnations(cluster):
    return {
        name: membership.own.peer.incarnation for name, membership in cluster.memberships.items()
    }


def count_deaths(cluster):
    """Return a list to which (viewer, name) is added for each death seen by any instance."""
    deaths = []
    for viewer, membership in cluster.memberships.items():

        def record_deaths(old, new, viewer=viewer):
            for seen in new.members:
                if seen.state is State.DEAD and seen not in old.members:
                    deaths.append((viewer, seen.name))

        membership.subscribe(record_deaths)
    return deaths


class Joining(unittest.TestCase):
    def test_all_instances_see_each_other_after_the_start(self):
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        self.assertTrue(cluster.agree(State.LIVE))

    def test_first_instance_joins_alone_when_no_seed_answers(self):
        cluster = instances.Instances(seeds=("10.9.9.9:7000",))
        alone = cluster.start("a")
        self.assertFalse(alone.is_confirmed())
        cluster.wait_for(alone.is_confirmed, 10)
        self.assertIs(alone.own.state, State.LIVE)

    def test_instances_that_joined_alone_find_each_other_through_a_later_seed(self):
        cluster = instances.Instances(seeds=())
        cluster.start("a")
        cluster.start("b")
        cluster.run(1)
        cluster["b"].add_seeds([cluster.addresses["a"]])
        cluster.wait_for(lambda: cluster.agree(State.LIVE), 20)

    def test_confirmed_instance_is_serving_in_every_view(self):
        # Instances join concurrently over a lossy network.  At every step each confirmed instance
        # must be serving in the view of every serving one.  Otherwise the two would use different
        # registrars for the same claim, and a task could start twice.
        for seed in range(60):
            with self.subTest(seed=seed):
                cluster = instances.Instances(seed)
                cluster.loss = 0.2
                for name in NAMES:
                    cluster.start(name)
                    cluster.run(cluster.runtime.random() * 0.05)
                for _ in range(300):
                    cluster.run(0.005)
                    self.check_views(cluster)
                cluster.loss = 0.0
                cluster.wait_for(lambda c=cluster: c.agree(State.LIVE), 20)

    def check_views(self, cluster):
        confirmed = [
            n for n, membership in cluster.memberships.items() if membership.is_confirmed()
        ]
        for viewer, membership in cluster.memberships.items():
            if membership.own.state not in member.SERVING_STATES:
                continue
            serving = {m.name for m in membership.view.serving("dc1")}
            self.assertLessEqual(set(confirmed), serving, viewer)

    def test_member_that_crashed_before_a_join_does_not_block_it(self):
        # A newcomer that needs the acknowledgement of a crashed member must be confirmed once that
        # member is declared dead, and not earlier.
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        cluster.crash("e")
        joining = cluster.start("f")
        cluster.run(0.5)
        self.assertFalse(joining.is_confirmed())
        cluster.wait_for(joining.is_confirmed, 10)
        self.assertIs(cluster.state("f", "e"), State.DEAD)

    def test_newcomer_that_crashes_while_joining_does_not_block_other_joins(self):
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        cluster.start("f")
        cluster.runtime.run(cluster.runtime.now() + 0.002)
        cluster.crash("f")
        cluster.start("g")
        cluster.wait_for(lambda: cluster.agree(State.LIVE), 10)
        for name in NAMES:
            self.assertIn(cluster.state(name, "f"), (State.DEAD, None))

    def test_join_is_forwarded_when_one_path_fails(self):
        # Only the path between the newcomer and one member fails, so that member is never declared
        # dead.  The join must complete by forwarding the announcement through another member.
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        cluster.network.partition(["f"], ["d"])
        joining = cluster.start("f")
        cluster.wait_for(joining.is_confirmed, 5)
        self.assertIs(cluster.state("d", "f"), State.LIVE)
        self.assertIs(cluster.state("f", "d"), State.LIVE)

    def test_newcomer_waits_for_local_seeds_when_a_remote_seed_answers_first(self):
        # The seed in another data centre answers first and knows no member of the newcomer's data
        # centre.  The newcomer must not join alone before its local seed has answered.
        cluster = instances.Instances()
        cluster.start("a")
        cluster.start("z", "dc2")
        cluster.wait_for(lambda: cluster.agree(State.LIVE), 30)
        cluster["z"].protocol.table.clear()
        delay = cluster.network.delay_s
        cluster.network.delay_s = lambda source, target, message: (
            delay(source, target, message) + (0.05 if "a" in (source.name, target.name) else 0)
        )
        cluster.options["seeds"] = (cluster.addresses["z"], cluster.addresses["a"])
        joining = cluster.start("b")
        cluster.wait_for(lambda: joining.own.state is State.LIVE, 10)
        self.assertIs(cluster.state("b", "a"), State.LIVE)

    def test_confirmation_is_lost_when_an_unknown_serving_member_appears(self):
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        unknown = peer.Peer("z", 1, "dc1", "10.0.0.99:7000")
        cluster["a"].protocol.put(record.Record(unknown, State.LIVE))
        self.assertFalse(cluster["a"].is_confirmed())


class Death(unittest.TestCase):
    def test_killed_instance_is_declared_dead_and_no_other(self):
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        cluster.crash("c")
        cluster.wait_for(
            lambda: all(cluster.state(n, "c") is State.DEAD for n in cluster.memberships), 3
        )
        self.assertTrue(cluster.agree(State.LIVE))

    def test_death_is_declared_though_the_first_suspecting_member_crashes_too(self):
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        cluster.crash("c")
        cluster.wait_for(
            lambda: any(cluster.state(n, "c") is State.SUSPECT for n in cluster.memberships), 3
        )
        first = next(n for n in cluster.memberships if ("c", 1, 1) in cluster[n].suspicions.active)
        cluster.run(0.6)
        cluster.crash(first)
        survivors = list(cluster.memberships)
        cluster.wait_for(
            lambda: all(cluster.state(n, d) is State.DEAD for n in survivors for d in ("c", first)),
            10,
        )

    def test_restarted_instance_replaces_its_earlier_incarnation_at_once(self):
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        cluster.crash("c")
        cluster.start("c", incarnation=2)
        cluster.wait_for(lambda: cluster.agree(State.LIVE), 1)
        self.assertEqual(cluster["a"].view.find("c").peer.incarnation, 2)

    def test_instance_with_a_clock_behind_gets_a_higher_incarnation(self):
        # A replacement machine whose clock is behind starts with too low an incarnation.  It must
        # take a higher one instead of being rejected for ever.
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        cluster.crash("c")
        cluster.start("c", incarnation=0)
        cluster.wait_for(lambda: cluster.agree(State.LIVE), 10)
        self.assertGreater(cluster["a"].view.find("c").peer.incarnation, 1)

    def test_no_false_death_under_loss(self):
        # Indirect probes and refutations must prevent false deaths while messages are lost.
        for seed in range(3):
            with self.subTest(seed=seed):
                cluster = instances.Instances(seed)
                cluster.start_all(NAMES)
                deaths = count_deaths(cluster)
                before = incarnations(cluster)
                cluster.loss = LOSS
                cluster.run(600)
                self.assertEqual(deaths, [])
                self.assertEqual(incarnations(cluster), before)

    def test_instance_declared_dead_by_mistake_rejoins_with_a_new_incarnation(self):
        # Only the member declared dead by mistake may take a new incarnation; two members that
        # reject each other could otherwise re-join for ever.
        for seed in range(20):
            with self.subTest(seed=seed):
                cluster = instances.Instances(seed)
                cluster.start_all(NAMES)
                new_peers = []
                cluster["b"].on_rejoin.append(
                    lambda old, new, new_peers=new_peers: new_peers.append(new)
                )
                cluster["a"].protocol.put(cluster["a"].protocol.table.find("b").as_dead())
                cluster.wait_for(
                    lambda c=cluster, peers=new_peers: peers and c.agree(State.LIVE), 10
                )
                self.assertEqual(incarnations(cluster), {"a": 1, "b": 2, "c": 1, "d": 1, "e": 1})


class Pause(unittest.TestCase):
    def test_long_pause_ends_the_incarnation_before_tasks_resume(self):
        # An instance paused for 5 s is declared dead by its peers.  The first task that runs again
        # must see the new incarnation when it checks for a pause before it sends.
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        paused = cluster["d"]
        order = []
        paused.on_rejoin.append(lambda old, new: order.append(("paused", old.incarnation)))

        def send_waiting_task():
            cluster.runtimes["d"].sleep(1.0)
            paused.check_pause()
            order.append(("send", paused.own.peer.incarnation))

        cluster.runtime.spawn(send_waiting_task)
        cluster.pause("d", 5.0)
        cluster.run(4.9)
        self.assertIs(cluster.state("a", "d"), State.DEAD)
        cluster.wait_for(lambda: cluster.agree(State.LIVE), 10)
        self.assertEqual(order, [("paused", 1), ("send", 2)])

    def test_paused_instance_declares_no_other_member_dead(self):
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        cluster.pause("d", 5.0)
        cluster.run(1)
        deaths = count_deaths(cluster)
        cluster.wait_for(lambda: cluster.agree(State.LIVE), 20)
        self.assertEqual({name for _, name in deaths}, {"d"})

    def test_paused_instance_suspects_no_other_member(self):
        # Answers to its probes arrive during the pause, but the timeouts are handled first.  They
        # must not be taken as evidence against the other members.
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        suspected = []
        cluster["d"].subscribe(
            lambda old, new: suspected.extend(m for m in new.members if m.state is State.SUSPECT)
        )
        for _ in range(100):
            cluster.run(3 * cluster.runtime.random())
            cluster.pause("d", 0.55)
        cluster.run(3)
        self.assertEqual({found.name for found in suspected} - {"d"}, set())

    def test_probe_that_failed_during_an_own_stall_begins_no_suspicion(self):
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        observer = cluster["a"]

        def stall(target):
            observer.protocol.last_stall_at = cluster.runtime.now()
            return False

        observer.prober.reaches = stall
        cluster.run(2)
        self.assertTrue(cluster.agree(State.LIVE))
        observer.prober.reaches = lambda target: False
        cluster.run(0.5)
        self.assertFalse(cluster.agree(State.LIVE))

    def test_suspicion_that_expired_during_an_own_stall_declares_no_death(self):
        # An instance stalls during a suspicion and leaves answers unread.  When the suspicion
        # expires it must be restarted instead of declaring a death.
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        observer = cluster["a"]
        reaches = observer.prober.reaches
        deaths = count_deaths(cluster)
        observer.prober.reaches = lambda target: False
        observer.suspicions.begin(observer.protocol.table.find("c"))
        cluster.network.partition(["c"], ["a", "b", "d", "e"])
        cluster.run(0.5)
        observer.protocol.last_stall_at = cluster.runtime.now()
        cluster.run(1.0)
        self.assertIs(cluster.state("a", "c"), State.SUSPECT)
        cluster.network.heal()
        observer.prober.reaches = reaches
        cluster.wait_for(lambda: cluster.agree(State.LIVE), 10)
        self.assertEqual(deaths, [])

    def test_short_pause_causes_no_death_and_no_rejoin(self):
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        deaths = count_deaths(cluster)
        for _ in range(20):
            cluster.pause("d", 0.5)
            cluster.run(3)
        self.assertEqual(deaths, [])
        self.assertEqual(cluster["d"].own.peer.incarnation, 1)

    def test_undetected_pause_never_leads_to_a_declared_death(self):
        # An instance declared dead during a pause that it doesn't detect would continue to send
        # tasks that others have taken over.
        for seed in range(10):
            with self.subTest(seed=seed):
                cluster = instances.Instances(seed)
                cluster.start_all(NAMES)
                cluster.run(cluster.runtime.random())
                deaths = count_deaths(cluster)
                cluster.pause("d", 0.85)
                cluster.run(5)
                if cluster["d"].own.peer.incarnation == 1:
                    self.assertEqual(deaths, [])


class Partition(unittest.TestCase):
    def test_smaller_partition_is_isolated_and_rejoins_after_healing(self):
        # A data centre splits three to two.  Only the larger partition may declare the other dead;
        # otherwise both could start the same resubmitted job.
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        deaths = count_deaths(cluster)
        cluster.network.partition(["a", "b", "c"], ["d", "e"])
        cluster.wait_for(
            lambda: cluster["d"].is_isolated() and cluster["e"].is_isolated(),
            20,
        )
        cluster.run(20)
        self.assertEqual({name for _, name in deaths}, {"d", "e"})
        self.assertLessEqual({viewer for viewer, _ in deaths}, {"a", "b", "c"})
        for name in NAMES:
            self.assertEqual(cluster[name].is_isolated(), name in "de", name)
            self.assertEqual(cluster[name].is_confirmed(), name in "abc", name)
        cluster.network.heal()
        cluster.wait_for(lambda: cluster.agree(State.LIVE), 30)
        self.assertEqual(incarnations(cluster), {"a": 1, "b": 1, "c": 1, "d": 2, "e": 2})

    def test_equal_partitions_without_witnesses_are_both_isolated(self):
        # The only two instances of a region lose contact.  Neither can tell whether the other died,
        # so both must stop, and resume with the same incarnations after healing.
        cluster = instances.Instances()
        cluster.start_all(("a", "b"))
        deaths = count_deaths(cluster)
        cluster.network.partition(["a"], ["b"])
        cluster.run(10)
        self.assertTrue(cluster["a"].is_isolated() and cluster["b"].is_isolated())
        cluster.network.heal()
        cluster.wait_for(lambda: cluster.agree(State.LIVE), 30)
        self.assertEqual(deaths, [])
        self.assertEqual(incarnations(cluster), {"a": 1, "b": 1})

    def test_failed_path_between_two_members_causes_no_death(self):
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        deaths = count_deaths(cluster)
        cluster.network.partition(["a"], ["b"])
        cluster.run(60)
        self.assertEqual(deaths, [])

    def test_updates_from_a_dead_sender_are_rejected(self):
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        protocol = cluster["a"].protocol
        protocol.put(protocol.table.find("e").as_dead())
        false_death = protocol.table.find("b").as_dead()
        reply = cluster["a"].prober.on_ping(
            cluster["e"].own.peer, messages.Ping(messages.Gossip((false_death,)))
        )
        self.assertIsInstance(reply, messages.Rejected)
        self.assertIs(cluster.state("a", "b"), State.LIVE)

    def test_updates_in_the_reply_of_a_dead_member_are_rejected(self):
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        requester, responder = cluster["a"], cluster["e"]
        responder.protocol.table.replace(responder.protocol.table.find("b").as_dead(), 0.0)
        requester.protocol.table.replace(requester.protocol.table.find("e").as_dead(), 0.0)
        target = peer.at_address(cluster.addresses["e"])
        cluster.runtime.call(requester.synchroniser.sync_with, target)
        self.assertFalse(requester.protocol.table.find("b").is_dead)


class Isolation(unittest.TestCase):
    """An instance that no other answers can't tell isolation from the death of all others."""

    def start(self, *witness_data_centres):
        cluster = instances.Instances()
        for number, data_centre in enumerate(witness_data_centres):
            cluster.start(f"w{number}", data_centre)
        cluster.start("d")
        cluster.start("e")
        cluster.wait_for(lambda: cluster.agree(State.LIVE), 30)
        return cluster

    def all_except(self, cluster, *names):
        return [name for name in cluster.memberships if name not in names]

    def test_isolated_instance_stops_before_its_peer_declares_it_dead(self):
        # "d" loses all connectivity, its peer "e" still reaches a witness.  If "d" were serving
        # when "e" declares it dead, a job started at "d" could be resubmitted at "e" and run twice.
        for step in range(20):
            with self.subTest(step=step):
                cluster = self.start("dc2", "dc2")
                cluster.run(0.01 * step)
                was_serving = []
                cluster["e"].subscribe(
                    lambda old, new, c=cluster, s=was_serving: s.append(
                        new.find("d").state is State.DEAD and not c["d"].is_isolated()
                    )
                )
                cluster.network.partition(["d"], self.all_except(cluster, "d"))
                cluster.wait_for(lambda c=cluster: c.state("e", "d") is State.DEAD, 10)
                cluster.run(5)
                self.assertNotIn(True, was_serving)
                self.assertIs(cluster.state("d", "e"), State.SUSPECT)
                self.assertFalse(cluster["e"].is_isolated())
                cluster.network.heal()
                cluster.wait_for(lambda c=cluster: c.agree(State.LIVE), 30)
                self.assertEqual(cluster["d"].own.peer.incarnation, 2)

    def test_survivor_of_two_continues_with_a_witness(self):
        cluster = self.start("dc2")
        cluster.crash("e")
        cluster.wait_for(lambda: cluster.state("d", "e") is State.DEAD, 10)
        self.assertTrue(cluster["d"].is_confirmed())

    def test_unreachable_data_centre_continues_to_serve(self):
        cluster = self.start("dc2")
        deaths = count_deaths(cluster)
        cluster.network.partition(["d", "e"], ["w0"])
        cluster.run(20)
        self.assertEqual(deaths, [])
        self.assertTrue(cluster["d"].is_confirmed() and cluster["e"].is_confirmed())

    def test_only_one_of_two_partitions_with_a_witness_each_continues(self):
        # Each partition reaches a witness in one other data centre.  Only the one that reaches the
        # next data centre in name order may continue.
        cluster = self.start("dc2", "dc3")
        cluster.network.partition(["d", "w0"], ["e", "w1"])
        cluster.run(20)
        self.assertIs(cluster.state("d", "e"), State.DEAD)
        self.assertIs(cluster.state("e", "d"), State.SUSPECT)
        self.assertTrue(cluster["e"].is_isolated())
        self.assertFalse(cluster["d"].is_isolated())

    def test_survivor_without_a_witness_continues_when_the_other_restarts(self):
        cluster = self.start()
        cluster.crash("e")
        cluster.run(20)
        self.assertTrue(cluster["d"].is_isolated())
        cluster.start("e", incarnation=2)
        cluster.wait_for(lambda: cluster.agree(State.LIVE), 10)
        self.assertFalse(cluster["d"].is_isolated())


class FirstPeer(unittest.TestCase):
    """An instance that has been alone in its data centre gets its first peer there."""

    STEP_S = 0.005
    LIMIT_S = 3.0

    def start_alone(self, seed=1):
        cluster = instances.Instances(seed)
        cluster.start("w", "dc2")
        cluster.start("a")
        cluster.wait_for(lambda: cluster.agree(State.LIVE), 30)
        cluster.run(2 * cluster["a"].protocol.options.isolation_s)
        return cluster

    def steps(self, cluster):
        """Let time pass in small steps and yield the time since the start."""
        started_at = cluster.runtime.now()
        while cluster.runtime.now() < started_at + self.LIMIT_S:
            yield cluster.runtime.now() - started_at
            cluster.run(self.STEP_S)

    def isolated_s(self, cluster):
        """Let time pass and return for how long "a" was isolated."""
        return sum(self.STEP_S for _ in self.steps(cluster) if cluster["a"].is_isolated())

    def test_instance_is_isolated_only_until_its_first_peer_answers(self):
        # Callers get 503 `not_ready` from an instance that is serving and in contact with everyone:
        # another one joins its data centre, and it is isolated until the next regular probe.
        for seed in range(1, 11):
            with self.subTest(seed=seed):
                cluster = self.start_alone(seed)
                cluster.start("b")
                self.assertLessEqual(self.isolated_s(cluster), 2 * self.STEP_S)
                self.assertTrue(cluster.agree(State.LIVE))

    def test_instance_is_isolated_only_until_its_restarted_peer_answers(self):
        cluster = self.start_alone()
        cluster.start("b")
        cluster.wait_for(lambda: cluster.agree(State.LIVE), 10)
        cluster.crash("b")
        cluster.wait_for(lambda: cluster.state("a", "b") is State.DEAD, 15)
        cluster.run(2 * cluster["a"].protocol.options.isolation_s)
        cluster.start("b", incarnation=2)
        self.assertLessEqual(self.isolated_s(cluster), 2 * self.STEP_S)
        self.assertTrue(cluster.agree(State.LIVE))

    def test_wait_ends_with_the_answer_of_the_first_peer(self):
        cluster = self.start_alone()
        cluster.start("b")
        cluster.wait_for(lambda: cluster.state("a", "b") is not None, 5)
        cluster.runtime.call(cluster["a"].wait_for_first_answer)
        self.assertFalse(cluster["a"].is_isolated())

    def test_wait_for_a_first_peer_that_never_answers_is_bounded(self):
        # "a" hears of "b" but reaches nobody: it stays isolated, and callers are told so.
        cluster = self.start_alone()
        cluster.network.cut |= {("a", "b"), ("a", "w")}
        cluster.start("b")
        while cluster.state("a", "b") is None:
            cluster.run(self.STEP_S)
        appeared_at = cluster.runtime.now()
        self.assertTrue(cluster["a"].isolation.is_first_answer_due())
        cluster.runtime.call(cluster["a"].wait_for_first_answer)
        waited_s = cluster.runtime.now() - appeared_at
        self.assertLess(waited_s, cluster["a"].protocol.options.isolation_s + 0.1)
        self.assertTrue(cluster["a"].is_isolated())
        self.assertFalse(cluster["a"].isolation.is_first_answer_due())

    def test_message_of_the_first_peer_alone_does_not_end_the_isolation(self):
        # "a" is cut off before "b" appears, so "b" may be about to declare it dead when one of its
        # messages gets through.  A period of grace for "a" would let both serve.
        for step in range(1, 14):
            with self.subTest(step=step):
                cluster = self.start_alone()
                cluster.start("b")
                cluster.network.partition(["a"], ["b", "w"])
                cluster.run(0.2 * step)
                cluster.network.cut -= {("b", "a"), ("w", "a")}
                for _ in self.steps(cluster):
                    if cluster["a"].own.peer.incarnation == 1 and cluster.state("a", "b"):
                        self.assertTrue(cluster["a"].is_isolated())

    def test_instance_stops_before_its_first_peer_declares_it_dead(self):
        # The partition begins at any time during the join.  If "a" were serving when "b", which
        # still reaches a witness, declares it dead, a job could run at both.
        for step in range(60):
            with self.subTest(step=step):
                cluster = self.start_alone()
                cluster.start("b")
                cluster.run(self.STEP_S * step)
                cluster.network.partition(["a"], ["b", "w"])
                for _ in self.steps(cluster):
                    if cluster.state("a", "b") is not None:
                        is_dead = cluster.state("b", "a") is State.DEAD
                        self.assertFalse(is_dead and not cluster["a"].is_isolated())


class ConcurrentDeaths(unittest.TestCase):
    """Data centres of two instances that lose one each, so that the survivors need witnesses."""

    DATA_CENTRES = ("dc1", "dc2", "dc3")
    # A round of witnesses takes up to a second.  The member asked is chosen at random and may be
    # the other dead instance, so several rounds can pass.
    LIMIT_S = 15.0

    def region(self, seed=1):
        cluster = instances.Instances(seed)
        for data_centre in self.DATA_CENTRES:
            cluster.start(f"{data_centre}-1", data_centre)
            cluster.start(f"{data_centre}-2", data_centre)
        cluster.wait_for(lambda: cluster.agree(State.LIVE), 30)
        return cluster

    def test_survivors_of_two_data_centres_do_not_wait_for_each_other(self):
        # Jobs at every instance end with `deadline`, none of their tasks run: an instance dies in
        # each of two data centres before the first death is declared.  Both survivors are isolated
        # then, and an isolated witness has no vote.  If each needed the other's, neither death
        # would ever be declared, and the new owner of a pool waits for the dead instances.
        for first in self.DATA_CENTRES:
            for second in self.DATA_CENTRES:
                for gap_s in (0.05, 0.4) if first != second else ():
                    with self.subTest(first=first, second=second, gap_s=gap_s):
                        cluster = self.region()
                        cluster.crash(f"{first}-1")
                        cluster.run(gap_s)
                        cluster.crash(f"{second}-1")
                        for lost in (first, second):
                            cluster.wait_for(
                                lambda c=cluster, d=lost: c.state(f"{d}-2", f"{d}-1") is State.DEAD,
                                self.LIMIT_S,
                            )
                            self.assertTrue(cluster[f"{lost}-2"].is_confirmed())

    def test_only_one_of_two_partitions_with_a_witness_each_continues(self):
        # In every data centre, whichever of the other two decides there: the two instances lose
        # each other, and each of them reaches one other data centre.
        for lost in self.DATA_CENTRES:
            with self.subTest(data_centre=lost):
                cluster = self.region()
                left, right = [d for d in self.DATA_CENTRES if d != lost]
                cluster.network.partition(
                    [f"{lost}-1", f"{left}-1", f"{left}-2"],
                    [f"{lost}-2", f"{right}-1", f"{right}-2"],
                )
                cluster.run(20)
                isolated = [cluster[f"{lost}-{number}"].is_isolated() for number in (1, 2)]
                self.assertCountEqual(isolated, [True, False])

    def test_no_split_of_the_region_leaves_two_instances_that_declared_each_other_dead(self):
        # Every way to split the six instances in two.
        names = [
            f"{data_centre}-{number}" for data_centre in self.DATA_CENTRES for number in (1, 2)
        ]
        for split in range(1, 2 ** (len(names) - 1)):
            left = [name for index, name in enumerate(names) if split >> index & 1]
            cluster = self.region()
            deaths = count_deaths(cluster)
            cluster.network.partition(left, [name for name in names if name not in left])
            cluster.run(8)
            mutual = [(a, b) for a, b in deaths if (b, a) in deaths]
            self.assertEqual(mutual, [], left)


class Leaving(unittest.TestCase):
    def test_all_members_see_an_instance_leave_before_it_stops(self):
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        leaving = cluster["c"]
        self.assertTrue(cluster.runtime.call(leaving.leave))
        for name in NAMES:
            self.assertIs(cluster.state(name, "c"), State.LEAVING)
            self.assertNotIn("c", {m.name for m in cluster[name].view.serving("dc1")})
        cluster.runtime.call(leaving.stop)
        del cluster.memberships["c"]
        for name in cluster.memberships:
            self.assertIs(cluster.state(name, "c"), State.DEAD)
        self.assertTrue(cluster.agree(State.LIVE))

    def test_pause_while_leaving_does_not_return_it_to_serving(self):
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        leaving = cluster["c"]
        cluster.runtime.call(leaving.leave)
        served = []
        cluster["a"].subscribe(
            lambda old, new: served.append("c" in {m.name for m in new.serving("dc1")})
        )
        cluster.pause("c", 5.0)
        cluster.run(6)
        cluster.wait_for(leaving.is_confirmed, 10)
        self.assertIs(cluster.state("a", "c"), State.LEAVING)
        self.assertEqual(leaving.own.peer.incarnation, 2)
        self.assertNotIn(True, served)


class DataCentres(unittest.TestCase):
    def region(self):
        cluster = instances.Instances()
        for data_centre in ("dc1", "dc2", "dc3"):
            for number in range(3):
                cluster.start(f"{data_centre}-{number}", data_centre)
        cluster.wait_for(lambda: cluster.agree(State.LIVE), 30)
        return cluster

    def test_partitioned_data_centre_is_unreachable_and_not_dead(self):
        # Members of a partitioned data centre may be alive, so other data centres must not declare
        # them dead, but report the data centre as unreachable until the partition heals.
        cluster = self.region()
        inside = [name for name in cluster.memberships if name.startswith("dc3")]
        outside = [name for name in cluster.memberships if not name.startswith("dc3")]
        deaths = count_deaths(cluster)
        cluster.network.partition(inside, outside)
        cluster.wait_for(
            lambda: all("dc3" in cluster[n].unreachable_data_centres() for n in outside), 20
        )
        for name in inside:
            cluster.wait_for(
                lambda n=name: cluster[n].unreachable_data_centres() == {"dc1", "dc2"}, 20
            )
        cluster.run(60)
        cluster.network.heal()
        cluster.wait_for(
            lambda: not any(m.unreachable_data_centres() for m in cluster.memberships.values()), 20
        )
        self.assertEqual(deaths, [])
        self.assertTrue(cluster.agree(State.LIVE))

    def test_changes_in_a_partitioned_data_centre_spread_after_healing(self):
        cluster = self.region()
        outside = [name for name in cluster.memberships if not name.startswith("dc3")]
        cluster.network.partition(["dc3-0", "dc3-1", "dc3-2", "dc3-3"], outside)
        cluster.crash("dc3-1")
        cluster.options["seeds"] = (cluster.addresses["dc3-0"],)
        cluster.start("dc3-3", "dc3")
        cluster.run(20)
        cluster.network.heal()
        cluster.wait_for(
            lambda: all(
                cluster.state(name, "dc3-1") is State.DEAD
                and cluster.state(name, "dc3-3") is State.LIVE
                for name in outside
            ),
            20,
        )

    def test_sole_survivor_of_a_data_centre_is_reached_soon_after_healing(self):
        # All relays of a data centre die during a partition.  The others must learn of the survivor
        # from its own request; trying members at random would delay their jobs.
        for seed in range(1, 6):
            cluster = instances.Instances(seed)
            names = {f"a{n}": "dc1" for n in range(6)} | {"b1": "dc2", "b2": "dc2"}
            for name, data_centre in names.items():
                cluster.start(name, data_centre)
            cluster.wait_for(lambda c=cluster: c.agree(State.LIVE), 30)
            local_names = [name for name in names if names[name] == "dc1"]
            cluster.network.partition(local_names, ["b1", "b2"])
            relays = {relay.name for relay in cluster["a0"].relays("dc1")}
            survivor = next(name for name in local_names if name not in relays)
            for name in local_names:
                if name != survivor:
                    cluster.crash(name)
            cluster.run(10)
            cluster.network.heal()
            cluster.run(8)
            for viewer in ("b1", "b2"):
                with self.subTest(seed=seed, viewer=viewer):
                    self.assertEqual(cluster[viewer].unreachable_data_centres(), frozenset())

    def test_exchange_continues_after_all_relays_crash_at_once(self):
        # The others pull from the crashed relays and must switch to a surviving member, which has
        # become a relay.
        cluster = self.region()
        relays = cluster["dc2-0"].relays("dc2")
        for membership in cluster.memberships.values():
            membership.relay.partners["dc2"] = relays[0].name
        for relay in relays:
            cluster.crash(relay.name)
        survivor = next(name for name in cluster.memberships if name.startswith("dc2"))
        cluster[survivor].advertise("topic", b"after")
        cluster.wait_for(
            lambda: all(
                m.advertised(survivor, "topic") == b"after" for m in cluster.memberships.values()
            ),
            30,
        )

    def test_no_death_and_no_unreachable_data_centre_under_loss(self):
        cluster = self.region()
        deaths = count_deaths(cluster)
        cluster.loss = LOSS
        cluster.run(120)
        self.assertEqual(deaths, [])
        self.assertTrue(all(not m.unreachable_data_centres() for m in cluster.memberships.values()))


class Adverts(unittest.TestCase):
    def test_newest_value_reaches_every_member(self):
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        for number in range(20):
            cluster["a"].advertise("load", str(number).encode())
        cluster.wait_for(
            lambda: all(m.advertised("a", "load") == b"19" for m in cluster.memberships.values()),
            10,
        )

    def test_value_of_the_maximum_size_reaches_every_member(self):
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        cluster["a"].advertise("load", b"x" * 512)
        cluster.wait_for(
            lambda: all(
                len(m.advertised("a", "load") or b"") == 512 for m in cluster.memberships.values()
            ),
            10,
        )

    def test_newcomer_receives_values_advertised_before_it_joined(self):
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        cluster["a"].advertise("generation", b"7")
        cluster.run(30)
        cluster.start("f")
        cluster.wait_for(lambda: cluster["f"].advertised("a", "generation") == b"7", 20)

    def test_value_of_an_earlier_incarnation_does_not_return(self):
        cluster = instances.Instances()
        cluster.start_all(NAMES)
        for number in range(5):
            cluster["c"].advertise("load", f"old {number}".encode())
        cluster.run(5)
        cluster.crash("c")
        restarted = cluster.start("c", incarnation=2)
        restarted.advertise("load", b"new")
        cluster.wait_for(
            lambda: all(m.advertised("c", "load") == b"new" for m in cluster.memberships.values()),
            20,
        )
