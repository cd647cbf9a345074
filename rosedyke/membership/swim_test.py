import unittest

from rosedyke.membership import member, messages, record
from rosedyke.standins import instances
from rosedyke.wire import peer

State = member.State
NAMES = ("a", "b", "c", "d", "e")
LOSS = 0.05


def incarnations(running):
    return {name: each.own.peer.incarnation for name, each in running.memberships.items()}


def count_deaths(running):
    """Collect (viewer, name) for each death that any instance sees from now on."""
    seen = []
    for viewer, each in running.memberships.items():

        def note(old, new, viewer=viewer):
            for found in new.members:
                if found.state is State.DEAD and found not in old.members:
                    seen.append((viewer, found.name))

        each.subscribe(note)
    return seen


class Joining(unittest.TestCase):
    def test_all_see_all_after_the_start(self):
        running = instances.Instances()
        running.start_all(NAMES)
        self.assertTrue(running.agree(State.LIVE))

    def test_first_instance_goes_on_alone_when_no_seed_answers(self):
        running = instances.Instances(seeds=("10.9.9.9:7000",))
        alone = running.start("a")
        self.assertFalse(alone.is_confirmed())
        running.wait_for(alone.is_confirmed, 10)
        self.assertIs(alone.own.state, State.LIVE)

    def test_two_that_started_alone_find_each_other_by_a_later_seed(self):
        running = instances.Instances(seeds=())
        running.start("a")
        running.start("b")
        running.run(1)
        running["b"].add_seeds([running.addresses["a"]])
        running.wait_for(lambda: running.agree(State.LIVE), 20)

    def test_confirmed_instance_is_serving_in_every_view(self):
        # Instances join at once over a network that loses and delays.  If one were confirmed
        # while another's view lacks it, a claim could be made at the old registrars and asked
        # for at the new one, and a task would start twice.  At every step, whoever is confirmed
        # must be serving in the view of everyone else who serves, and see everyone who is
        # confirmed too.
        for seed in range(60):
            with self.subTest(seed=seed):
                running = instances.Instances(seed)
                running.loss = 0.2
                for name in NAMES:
                    running.start(name)
                    running.run(running.runtime.random() * 0.05)
                for _ in range(300):
                    running.run(0.005)
                    self.check_views(running)
                running.loss = 0.0
                running.wait_for(lambda r=running: r.agree(State.LIVE), 20)

    def check_views(self, running):
        confirmed = [n for n, each in running.memberships.items() if each.is_confirmed()]
        for viewer, each in running.memberships.items():
            if each.own.state not in member.SERVING_STATES:
                continue
            serving = {m.name for m in each.view.serving("dc1")}
            self.assertLessEqual(set(confirmed), serving, viewer)

    def test_member_that_died_just_before_does_not_block_a_join(self):
        # An instance dies; another starts before anyone has noticed.  The newcomer asks the dead
        # one in vain and takes no callers until it is declared dead, then goes on.
        running = instances.Instances()
        running.start_all(NAMES)
        running.crash("e")
        joining = running.start("f")
        running.run(0.5)
        self.assertFalse(joining.is_confirmed())
        running.wait_for(joining.is_confirmed, 10)
        self.assertIs(running.state("f", "e"), State.DEAD)

    def test_newcomer_that_dies_while_joining_is_forgotten_and_blocks_nobody(self):
        running = instances.Instances()
        running.start_all(NAMES)
        running.start("f")
        running.runtime.run(running.runtime.now() + 0.002)
        running.crash("f")
        running.start("g")
        running.wait_for(lambda: running.agree(State.LIVE), 10)
        for name in NAMES:
            self.assertIn(running.state(name, "f"), (State.DEAD, None))

    def test_join_takes_a_detour_round_a_cut_path(self):
        # Only the path between the newcomer and one member is cut.  Everyone else hears that
        # member, so it is never declared dead; the newcomer's announcement reaches it through
        # another one.
        running = instances.Instances()
        running.start_all(NAMES)
        running.network.partition(["f"], ["d"])
        joining = running.start("f")
        running.wait_for(joining.is_confirmed, 5)
        self.assertIs(running.state("d", "f"), State.LIVE)
        self.assertIs(running.state("f", "d"), State.LIVE)

    def test_newcomer_hears_of_its_neighbours_though_a_distant_seed_answers_first(self):
        # The seed of another data centre is near and knows nobody of the own one; the own
        # data centre's seed answers later.  Going on at the first answer, the newcomer would
        # serve as if it were alone.
        running = instances.Instances()
        running.start("a")
        running.start("z", "dc2")
        running.wait_for(lambda: running.agree(State.LIVE), 30)
        running["z"].core.table.clear()
        delay = running.network.delay_s
        running.network.delay_s = lambda source, target, message: (
            delay(source, target, message) + (0.05 if "a" in (source.name, target.name) else 0)
        )
        running.options["seeds"] = (running.addresses["z"], running.addresses["a"])
        joining = running.start("b")
        running.wait_for(lambda: joining.own.state is State.LIVE, 10)
        self.assertIs(running.state("b", "a"), State.LIVE)

    def test_confirmation_is_lost_when_an_unknown_serving_member_appears(self):
        running = instances.Instances()
        running.start_all(NAMES)
        stranger = peer.Peer("z", 1, "dc1", "10.0.0.99:7000")
        running["a"].core.put(record.Record(stranger, State.LIVE))
        self.assertFalse(running["a"].is_confirmed())


class Death(unittest.TestCase):
    def test_killed_instance_is_declared_dead_and_no_other(self):
        # An instance is killed; callers of the others wait for its work.  Its neighbours miss
        # its answers, ask others to try, suspect it and give it time; then all of them hold it
        # dead, because the finding of one is sent to everyone.
        running = instances.Instances()
        running.start_all(NAMES)
        running.crash("c")
        running.wait_for(
            lambda: all(running.state(n, "c") is State.DEAD for n in running.memberships), 3
        )
        self.assertTrue(running.agree(State.LIVE))

    def test_death_is_found_though_the_first_suspector_dies_too(self):
        running = instances.Instances()
        running.start_all(NAMES)
        running.crash("c")
        running.wait_for(
            lambda: any(running.state(n, "c") is State.SUSPECT for n in running.memberships), 3
        )
        first = next(n for n in running.memberships if ("c", 1, 1) in running[n].suspicions.watched)
        running.run(0.6)
        running.crash(first)
        rest = list(running.memberships)
        running.wait_for(
            lambda: all(running.state(n, d) is State.DEAD for n in rest for d in ("c", first)), 10
        )

    def test_restarted_instance_replaces_its_earlier_life_at_once(self):
        running = instances.Instances()
        running.start_all(NAMES)
        running.crash("c")
        running.start("c", incarnation=2)
        running.wait_for(lambda: running.agree(State.LIVE), 1)
        self.assertEqual(running["a"].view.find("c").peer.incarnation, 2)

    def test_instance_whose_clock_went_back_gets_a_higher_incarnation(self):
        # A machine is replaced by one with a slow clock, so the new incarnation is below the old
        # one and the members reject it.  Their answer says which incarnation they know, and the
        # instance takes a higher one instead of being ignored for ever.
        running = instances.Instances()
        running.start_all(NAMES)
        running.crash("c")
        running.start("c", incarnation=0)
        running.wait_for(lambda: running.agree(State.LIVE), 10)
        self.assertGreater(running["a"].view.find("c").peer.incarnation, 1)

    def test_no_false_death_under_loss(self):
        # One message in twenty is lost for ten minutes.  Direct probes fail all the time;
        # indirect ones and refutations keep every instance alive in every view.
        for seed in range(3):
            with self.subTest(seed=seed):
                running = instances.Instances(seed)
                running.start_all(NAMES)
                deaths = count_deaths(running)
                before = incarnations(running)
                running.loss = LOSS
                running.run(600)
                self.assertEqual(deaths, [])
                self.assertEqual(incarnations(running), before)

    def test_instance_declared_dead_by_mistake_comes_back_with_a_new_incarnation(self):
        # One member holds another dead by mistake and tells the others.  The victim alone takes
        # a new incarnation: were each to insist, they would make each other re-join for ever.
        for seed in range(20):
            with self.subTest(seed=seed):
                running = instances.Instances(seed)
                running.start_all(NAMES)
                lives = []
                running["b"].on_pause.append(lambda old, new, lives=lives: lives.append(new))
                running["a"].core.put(running["a"].core.table.find("b").dead())
                running.wait_for(lambda r=running, seen=lives: seen and r.agree(State.LIVE), 10)
                self.assertEqual(incarnations(running), {"a": 1, "b": 2, "c": 1, "d": 1, "e": 1})


class Pause(unittest.TestCase):
    def test_long_pause_ends_the_incarnation_before_anything_else_is_done(self):
        # An instance is stopped for 5 s and then goes on as if nothing had happened, while its
        # peers have declared it dead.  The first task that runs again checks the pause before it
        # would send a waiting task, and finds itself in a new incarnation that joins anew.
        running = instances.Instances()
        running.start_all(NAMES)
        paused = running["d"]
        order = []
        paused.on_pause.append(lambda old, new: order.append(("paused", old.incarnation)))

        def send_waiting_task():
            running.runtimes["d"].sleep(1.0)
            paused.check_pause()
            order.append(("send", paused.own.peer.incarnation))

        running.runtime.spawn(send_waiting_task)
        running.pause("d", 5.0)
        running.run(4.9)
        self.assertIs(running.state("a", "d"), State.DEAD)
        running.wait_for(lambda: running.agree(State.LIVE), 10)
        self.assertEqual(order, [("paused", 1), ("send", 2)])

    def test_paused_instance_blames_nobody(self):
        running = instances.Instances()
        running.start_all(NAMES)
        running.pause("d", 5.0)
        running.run(1)
        deaths = count_deaths(running)
        running.wait_for(lambda: running.agree(State.LIVE), 20)
        self.assertEqual({name for _, name in deaths}, {"d"})

    def test_instance_that_stood_still_suspects_nobody(self):
        # The answers to its probes arrive while it stands still, and the timeouts pass.  Going on,
        # it sees the timeouts first; blaming the others would make them refute for nothing.
        running = instances.Instances()
        running.start_all(NAMES)
        suspected = []
        running["d"].subscribe(
            lambda old, new: suspected.extend(m for m in new.members if m.state is State.SUSPECT)
        )
        for _ in range(100):
            running.run(3 * running.runtime.random())
            running.pause("d", 0.55)
        running.run(3)
        self.assertEqual({found.name for found in suspected} - {"d"}, set())

    def test_probe_that_failed_during_a_stall_of_the_own_loop_begins_no_suspicion(self):
        running = instances.Instances()
        running.start_all(NAMES)
        blind = running["a"]

        def stall(target):
            blind.core.last_stall = running.runtime.now()
            return False

        blind.prober.reaches = stall
        running.run(2)
        self.assertTrue(running.agree(State.LIVE))
        blind.prober.reaches = lambda target: False
        running.run(0.5)
        self.assertFalse(running.agree(State.LIVE))

    def test_suspicion_during_a_stall_of_the_own_loop_is_no_death(self):
        # An instance suspects another while its own loop stalls, so that answers stay unread.
        # When the time of the suspicion is over it must not declare a death, but begin anew.
        running = instances.Instances()
        running.start_all(NAMES)
        blind = running["a"]
        reaches = blind.prober.reaches
        deaths = count_deaths(running)
        blind.prober.reaches = lambda target: False
        blind.suspicions.begin(blind.core.table.find("c"))
        running.network.partition(["c"], ["a", "b", "d", "e"])
        running.run(0.5)
        blind.core.last_stall = running.runtime.now()
        running.run(1.0)
        self.assertIs(running.state("a", "c"), State.SUSPECT)
        running.network.heal()
        blind.prober.reaches = reaches
        running.wait_for(lambda: running.agree(State.LIVE), 10)
        self.assertEqual(deaths, [])

    def test_short_pause_changes_nothing(self):
        running = instances.Instances()
        running.start_all(NAMES)
        deaths = count_deaths(running)
        for _ in range(20):
            running.pause("d", 0.5)
            running.run(3)
        self.assertEqual(deaths, [])
        self.assertEqual(running["d"].own.peer.incarnation, 1)

    def test_pause_too_short_to_notice_never_ends_in_death(self):
        # Were an instance declared dead during a pause that it doesn't notice, it would go on
        # sending tasks that others have taken over.
        for seed in range(10):
            with self.subTest(seed=seed):
                running = instances.Instances(seed)
                running.start_all(NAMES)
                running.run(running.runtime.random())
                deaths = count_deaths(running)
                running.pause("d", 0.85)
                running.run(5)
                if running["d"].own.peer.incarnation == 1:
                    self.assertEqual(deaths, [])


class Partition(unittest.TestCase):
    def test_smaller_part_stops_and_rejoins_the_larger_one(self):
        # A data centre splits three to two.  Only the larger part may take the other for dead:
        # were both to do so, both would start the same resubmitted job.  The smaller part starts
        # nothing, and after the healing it takes new incarnations.
        running = instances.Instances()
        running.start_all(NAMES)
        deaths = count_deaths(running)
        running.network.partition(["a", "b", "c"], ["d", "e"])
        running.wait_for(
            lambda: running["d"].is_isolated() and running["e"].is_isolated(),
            20,
        )
        running.run(20)
        self.assertEqual({name for _, name in deaths}, {"d", "e"})
        self.assertLessEqual({viewer for viewer, _ in deaths}, {"a", "b", "c"})
        for name in NAMES:
            self.assertEqual(running[name].is_isolated(), name in "de", name)
            self.assertEqual(running[name].is_confirmed(), name in "abc", name)
        running.network.heal()
        running.wait_for(lambda: running.agree(State.LIVE), 30)
        self.assertEqual(incarnations(running), {"a": 1, "b": 1, "c": 1, "d": 2, "e": 2})

    def test_of_two_equal_parts_without_witnesses_both_wait(self):
        # Two instances are the whole region and lose each other.  Neither can know whether the
        # other died; both stop, keep the other as a member and go on when it is heard again.
        running = instances.Instances()
        running.start_all(("a", "b"))
        deaths = count_deaths(running)
        running.network.partition(["a"], ["b"])
        running.run(10)
        self.assertTrue(running["a"].is_isolated() and running["b"].is_isolated())
        running.network.heal()
        running.wait_for(lambda: running.agree(State.LIVE), 30)
        self.assertEqual(deaths, [])
        self.assertEqual(incarnations(running), {"a": 1, "b": 1})

    def test_cut_path_between_two_members_kills_neither(self):
        running = instances.Instances()
        running.start_all(NAMES)
        deaths = count_deaths(running)
        running.network.partition(["a"], ["b"])
        running.run(60)
        self.assertEqual(deaths, [])

    def test_nothing_that_a_dead_sender_says_is_taken_in(self):
        running = instances.Instances()
        running.start_all(NAMES)
        core = running["a"].core
        core.put(core.table.find("e").dead())
        lie = core.table.find("b").dead()
        reply = running["a"].prober.on_ping(
            running["e"].own.peer, messages.Ping(messages.Gossip((lie,)))
        )
        self.assertIsInstance(reply, messages.Rejected)
        self.assertIs(running.state("a", "b"), State.LIVE)

    def test_nothing_that_a_dead_member_replies_is_taken_in(self):
        running = instances.Instances()
        running.start_all(NAMES)
        asking, answering = running["a"], running["e"]
        answering.core.table.set(answering.core.table.find("b").dead(), 0.0)
        asking.core.table.set(asking.core.table.find("e").dead(), 0.0)
        target = peer.at_address(running.addresses["e"])
        running.runtime.call(asking.synchroniser.sync_with, target)
        self.assertFalse(asking.core.table.find("b").is_dead)


class Isolation(unittest.TestCase):
    """An instance that hears nobody can't tell a cut from the deaths of all others."""

    def start(self, *others):
        running = instances.Instances()
        for number, centre in enumerate(others):
            running.start(f"w{number}", centre)
        running.start("d")
        running.start("e")
        running.wait_for(lambda: running.agree(State.LIVE), 30)
        return running

    def rest(self, running, *names):
        return [name for name in running.memberships if name not in names]

    def test_cut_off_instance_stops_before_its_peer_declares_it_dead(self):
        # "d" is cut off from everyone.  The peer has a witness in the other data centre, "d"
        # has none.  Were "d" still serving when "e" counts it dead, a job that begins at "d"
        # could be submitted again at "e" and run twice.
        for step in range(20):
            with self.subTest(step=step):
                running = self.start("dc2", "dc2")
                running.run(0.01 * step)
                serving = []
                running["e"].subscribe(
                    lambda old, new, r=running, s=serving: s.append(
                        new.find("d").state is State.DEAD and not r["d"].is_isolated()
                    )
                )
                running.network.partition(["d"], self.rest(running, "d"))
                running.wait_for(lambda r=running: r.state("e", "d") is State.DEAD, 10)
                running.run(5)
                self.assertNotIn(True, serving)
                self.assertIs(running.state("d", "e"), State.SUSPECT)
                self.assertFalse(running["e"].is_isolated())
                running.network.heal()
                running.wait_for(lambda r=running: r.agree(State.LIVE), 30)
                self.assertEqual(running["d"].own.peer.incarnation, 2)

    def test_survivor_of_two_goes_on_by_a_witness(self):
        running = self.start("dc2")
        running.crash("e")
        running.wait_for(lambda: running.state("d", "e") is State.DEAD, 10)
        self.assertTrue(running["d"].is_confirmed())

    def test_data_centre_that_is_cut_off_as_a_whole_goes_on(self):
        running = self.start("dc2")
        deaths = count_deaths(running)
        running.network.partition(["d", "e"], ["w0"])
        running.run(20)
        self.assertEqual(deaths, [])
        self.assertTrue(running["d"].is_confirmed() and running["e"].is_confirmed())

    def test_of_two_parts_that_each_find_a_witness_one_goes_on(self):
        # The cut goes through the whole region: each part of the data centre reaches one other
        # data centre.  The first of these in name order decides.
        running = self.start("dc2", "dc3")
        running.network.partition(["d", "w0"], ["e", "w1"])
        running.run(20)
        self.assertIs(running.state("d", "e"), State.DEAD)
        self.assertIs(running.state("e", "d"), State.SUSPECT)
        self.assertTrue(running["e"].is_isolated())
        self.assertFalse(running["d"].is_isolated())

    def test_survivor_without_a_witness_goes_on_when_the_other_is_back(self):
        running = self.start()
        running.crash("e")
        running.run(20)
        self.assertTrue(running["d"].is_isolated())
        running.start("e", incarnation=2)
        running.wait_for(lambda: running.agree(State.LIVE), 10)
        self.assertFalse(running["d"].is_isolated())


class Leaving(unittest.TestCase):
    def test_leaving_is_seen_by_all_before_the_end_and_nobody_suspects(self):
        running = instances.Instances()
        running.start_all(NAMES)
        leaving = running["c"]
        self.assertTrue(running.runtime.call(leaving.leave))
        for name in NAMES:
            self.assertIs(running.state(name, "c"), State.LEAVING)
            self.assertNotIn("c", {m.name for m in running[name].view.serving("dc1")})
        running.runtime.call(leaving.stop)
        del running.memberships["c"]
        for name in running.memberships:
            self.assertIs(running.state(name, "c"), State.DEAD)
        self.assertTrue(running.agree(State.LIVE))

    def test_pause_during_the_drain_does_not_bring_it_back_to_serving(self):
        running = instances.Instances()
        running.start_all(NAMES)
        leaving = running["c"]
        running.runtime.call(leaving.leave)
        served = []
        running["a"].subscribe(
            lambda old, new: served.append("c" in {m.name for m in new.serving("dc1")})
        )
        running.pause("c", 5.0)
        running.run(6)
        running.wait_for(leaving.is_confirmed, 10)
        self.assertIs(running.state("a", "c"), State.LEAVING)
        self.assertEqual(leaving.own.peer.incarnation, 2)
        self.assertNotIn(True, served)


class DataCentres(unittest.TestCase):
    def region(self):
        running = instances.Instances()
        for data_centre in ("dc1", "dc2", "dc3"):
            for number in range(3):
                running.start(f"{data_centre}-{number}", data_centre)
        running.wait_for(lambda: running.agree(State.LIVE), 30)
        return running

    def test_cut_off_data_centre_is_unreachable_and_not_dead(self):
        # A data centre loses its links to the region for a while.  Its members may be well, so
        # nobody elsewhere may declare them dead; they are shown as unreachable instead, and as
        # reachable soon after the healing.
        running = self.region()
        inside = [name for name in running.memberships if name.startswith("dc3")]
        outside = [name for name in running.memberships if not name.startswith("dc3")]
        deaths = count_deaths(running)
        running.network.partition(inside, outside)
        running.wait_for(
            lambda: all("dc3" in running[n].unreachable_data_centres() for n in outside), 20
        )
        for name in inside:
            running.wait_for(
                lambda n=name: running[n].unreachable_data_centres() == {"dc1", "dc2"}, 20
            )
        running.run(60)
        running.network.heal()
        running.wait_for(
            lambda: not any(m.unreachable_data_centres() for m in running.memberships.values()), 20
        )
        self.assertEqual(deaths, [])
        self.assertTrue(running.agree(State.LIVE))

    def test_changes_inside_a_cut_off_data_centre_are_known_after_the_healing(self):
        running = self.region()
        outside = [name for name in running.memberships if not name.startswith("dc3")]
        running.network.partition(["dc3-0", "dc3-1", "dc3-2", "dc3-3"], outside)
        running.crash("dc3-1")
        running.options["seeds"] = (running.addresses["dc3-0"],)
        running.start("dc3-3", "dc3")
        running.run(20)
        running.network.heal()
        running.wait_for(
            lambda: all(
                running.state(name, "dc3-1") is State.DEAD
                and running.state(name, "dc3-3") is State.LIVE
                for name in outside
            ),
            20,
        )

    def test_only_survivor_of_a_data_centre_is_found_soon_after_a_cut(self):
        # During a cut all members of a data centre but one die.  After the healing the others ask
        # its relays, which are dead; the survivor asks them in turn.  Were that not taken as a
        # sign of life, they would try members at random, and their jobs would wait as long.
        for seed in range(1, 6):
            running = instances.Instances(seed)
            names = {f"a{n}": "dc1" for n in range(6)} | {"b1": "dc2", "b2": "dc2"}
            for name, data_centre in names.items():
                running.start(name, data_centre)
            running.wait_for(lambda r=running: r.agree(State.LIVE), 30)
            left = [name for name in names if names[name] == "dc1"]
            running.network.partition(left, ["b1", "b2"])
            relays = {relay.name for relay in running["a0"].relays("dc1")}
            survivor = next(name for name in left if name not in relays)
            for name in left:
                if name != survivor:
                    running.crash(name)
            running.run(10)
            running.network.heal()
            running.run(8)
            for viewer in ("b1", "b2"):
                with self.subTest(seed=seed, viewer=viewer):
                    self.assertEqual(running[viewer].unreachable_data_centres(), frozenset())

    def test_loss_of_all_relays_at_once_is_mended(self):
        # Both relays of a data centre die, and they are just those that the others pull from.
        # The others turn to any member that is left, which has become a relay meanwhile.
        running = self.region()
        relays = running["dc2-0"].relays("dc2")
        for membership in running.memberships.values():
            membership.relay.partners["dc2"] = relays[0].name
        for relay in relays:
            running.crash(relay.name)
        rest = next(name for name in running.memberships if name.startswith("dc2"))
        running[rest].advertise("topic", b"after")
        running.wait_for(
            lambda: all(
                m.advertised(rest, "topic") == b"after" for m in running.memberships.values()
            ),
            30,
        )

    def test_no_flapping_across_data_centres_under_loss(self):
        running = self.region()
        deaths = count_deaths(running)
        running.loss = LOSS
        running.run(120)
        self.assertEqual(deaths, [])
        self.assertTrue(all(not m.unreachable_data_centres() for m in running.memberships.values()))


class Adverts(unittest.TestCase):
    def test_newest_value_reaches_every_member(self):
        running = instances.Instances()
        running.start_all(NAMES)
        for number in range(20):
            running["a"].advertise("load", str(number).encode())
        running.wait_for(
            lambda: all(m.advertised("a", "load") == b"19" for m in running.memberships.values()),
            10,
        )

    def test_value_of_the_largest_size_travels(self):
        running = instances.Instances()
        running.start_all(NAMES)
        running["a"].advertise("load", b"x" * 512)
        running.wait_for(
            lambda: all(
                len(m.advertised("a", "load") or b"") == 512 for m in running.memberships.values()
            ),
            10,
        )

    def test_newcomer_learns_the_values_said_before(self):
        running = instances.Instances()
        running.start_all(NAMES)
        running["a"].advertise("generation", b"7")
        running.run(30)
        running.start("f")
        running.wait_for(lambda: running["f"].advertised("a", "generation") == b"7", 20)

    def test_value_of_an_earlier_life_does_not_come_back(self):
        running = instances.Instances()
        running.start_all(NAMES)
        for number in range(5):
            running["c"].advertise("load", f"old {number}".encode())
        running.run(5)
        running.crash("c")
        restarted = running.start("c", incarnation=2)
        restarted.advertise("load", b"new")
        running.wait_for(
            lambda: all(m.advertised("c", "load") == b"new" for m in running.memberships.values()),
            20,
        )
