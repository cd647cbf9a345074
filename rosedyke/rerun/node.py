"""An instance's part in rerunnable jobs: holder, owner of pools, and candidate for others."""

from collections.abc import Callable

from rosedyke import runtime as runtime_module
from rosedyke.observe import event, metric
from rosedyke.rerun import (
    documents,
    election,
    events,
    fleet,
    holder,
    job,
    messages,
    metrics,
    owner,
    ports,
    settings,
    speed,
    succession,
    token,
)
from rosedyke.wire import peer

# Instances that neither own a near pool nor have jobs of this one are asked this often.
NEIGHBOUR_S = 0.3
# A renewal without answer is given up; the next ones are on their way by then.
RENEWAL_TIMEOUT_S = 0.3
FETCH_TIMEOUT_S = 0.5
# An owner whose pool is full asks this many others for room, at random among more, and waits this
# long for them: twice the way there and back between data centres.
ASKED_POOLS = 4
ROOMS_TIMEOUT_S = 0.01
# How long a leaving owner takes to find a successor, and waits for each candidate: one that leaves
# too declines, and one that doesn't answer is passed over.
HANDOVER_S = 0.5
RESIGN_TIMEOUT_S = 0.1


class Node:
    """Everything about rerunnable jobs in one instance.

    Parameters
    ----------
    own : Instance
        This instance.
    wall_s : callable
        Returns seconds since 1970, for fencing tokens only.
    seeds : tuple of str
        Addresses of instances to ask while no other is known.
    """

    def __init__(
        self,
        own: messages.Instance,
        times: settings.RerunSettings,
        runtime: runtime_module.Runtime,
        peers: peer.Peers,
        registry: ports.Registry,
        directory: ports.Directory,
        gateway: ports.Servers,
        shared: documents.Documents,
        wall_s: Callable[[], float],
        seeds: tuple[str, ...] = (),
    ):
        self.own = own
        self.times = times
        self.runtime = runtime
        self.peers = peers
        self.registry = registry
        self.gateway = gateway
        self.documents = shared
        self.wall_s = wall_s
        self.seeds = [messages.Instance(each, each, "") for each in seeds if each != own.address]
        self.maker = token.maker_of(own.address)
        self.owned: dict[str, owner.PoolOwner] = {}
        self.speeds = speed.Speeds()
        self.fleet = fleet.Fleet(own, times, runtime, directory)
        self.holder = holder.Holder(times, runtime, peers, self.fleet, registry, self._submit)
        self.succession = succession.Succession(
            times, runtime, peers, self.fleet, registry, gateway, self.take_pool
        )
        self.fleet.on_claim.append(self._on_foreign_claim)
        self.fleet.on_claim.append(self._meet_owner)
        self.renewing: set[str] = set()
        self.asked: dict[str, float] = {}
        self.fetching: set[str] = set()
        self.ticked_at = runtime.now()
        self.is_running = True

    def start(self) -> None:
        """Register the handlers and begin."""
        handle = self.peers.handle
        handle(messages.Renew, self._on_renew)
        handle(messages.Submit, self._on_submit)
        handle(messages.JobEnded, lambda sender, message: self.holder.on_ended(message))
        handle(messages.Released, lambda sender, message: self.holder.on_released(message))
        handle(messages.AskRooms, self._on_ask_rooms)
        handle(messages.NotOwner, self._on_not_owner)
        handle(messages.Cancel, self._on_cancel)
        handle(messages.CancelHeld, lambda sender, m: self._end_held(m.job_id))
        handle(messages.Claim, self._on_claim)
        handle(messages.Query, self._on_query)
        handle(messages.Resign, self._on_resign)
        handle(messages.Fetch, self._on_fetch)
        self.registry.subscribe(self._on_servers)
        self.runtime.spawn(self._renew_all)
        self.runtime.spawn(self.succession.run)

    def stop(self) -> None:
        """End; pools that nobody has taken over are left to their candidates."""
        self.is_running = self.succession.is_running = False
        for each in list(self.owned.values()):
            each.stand_down("the instance ends")

    def run(self, work: job.Job, gone: runtime_module.Signal) -> job.Outcome:
        """Run a job for a caller and block until it has ended."""
        return self.holder.run(work, gone)

    def cancel(self, job_id: str) -> bool:
        """Cancel a job for its caller, whoever holds it; return whether it was held here."""
        if self.holder.cancel(job_id):
            return True
        for instance in self.fleet.instances().values():
            self.holder.send(instance, messages.CancelHeld(job_id))
        return False

    def _end_held(self, job_id):
        self.holder.cancel(job_id)

    def is_useful(self) -> bool:
        """Return whether this instance reaches the owner of any pool."""
        return any(
            known.report is not None and self.fleet.silence_s(pool) < holder.FRESH_S
            for pool, known in self.fleet.pools.items()
        )

    # Pools.

    def take_pool(self, pool: str, reason: str, expected: frozenset[str] | None = None) -> None:
        """Own a pool from now on; ``expected`` are the servers that the predecessor used."""
        if pool in self.owned or self.succession.is_standing_by:
            return
        number = token.make(self.maker, self.wall_s(), self.fleet.highest.get(pool, 0))
        event.log(events.POOL_CLAIMED, pool=pool, token=number, reason=reason)
        self._learn_from_predecessor(pool)
        taken = owner.PoolOwner(
            self.times,
            self.runtime,
            self.gateway,
            pool,
            number,
            lambda: [each for each in self.registry.servers() if ports.pool_of(each) == pool],
            self,
            self.speeds,
            expected or self._servers_of_predecessor(pool),
        )
        self.owned[pool] = taken
        metric.count(metrics.POOLS_TAKEN)
        taken.start()
        self._announce(taken)

    def _servers_of_predecessor(self, pool):
        """Return the servers that a silent owner used, None if its last report is too old."""
        known = self.fleet.pools.get(pool)
        if known is None or known.report is None:
            return None
        if self.fleet.silence_s(pool) > self.times.owner_lost_s:
            return None
        return frozenset(known.report.servers)

    def _learn_from_predecessor(self, pool):
        """Take in the speeds that the last owner reported; learning them takes seconds."""
        known = self.fleet.pools.get(pool)
        if known is not None and known.report is not None:
            self.speeds.take_over(known.report.servers)

    def _announce(self, taken):
        claim = messages.Claim(taken.name, self.own, taken.token)
        self.fleet.take_claim(claim, is_own=True)
        self.fleet.take_report(self.own, taken.report(), self.runtime.now())
        for instance in self.fleet.instances().values():
            self.holder.send(instance, claim)

    def _on_foreign_claim(self, claim):
        held = self.owned.get(claim.pool)
        if held is not None and claim.owner.name != self.own.name and claim.token > held.token:
            held.stand_down(f"{claim.owner.name} owns it now")

    def _meet_owner(self, claim):
        """Ask a new owner for its report at once, since jobs are handed to it only after that."""
        name = claim.owner.name
        if name != self.own.name and name not in self.renewing:
            self.renewing.add(name)
            self.runtime.spawn(self._renew, claim.owner)

    # What owners ask of the instance: ``owner.Listener``.

    def tell(
        self, target: messages.Instance, message: messages.JobEnded | messages.Released
    ) -> None:
        """Hand a job's end, or tasks that have room elsewhere, to its holder."""
        if target.name != self.own.name:
            self.holder.send(target, message)
        elif isinstance(message, messages.Released):
            self.holder.on_released(message)
        else:
            self.holder.on_ended(message)

    def rooms(self, service: str, pool: str) -> list[messages.PoolReport]:
        """Ask some other pools of a service for their room; blocks for their answers."""
        others = self.holder.pools_of(service) - {pool}
        reports = [each.report() for name, each in self.owned.items() if name in others]
        owners = {
            known.claim.owner.name: known.claim.owner
            for name, known in self.fleet.pools.items()
            if name in others and known.claim.owner.name != self.own.name
        }
        chosen = list(owners.values())
        while len(chosen) > ASKED_POOLS:
            chosen.pop(int(self.runtime.random() * len(chosen)))
        answers: list[messages.Rooms] = []
        asked = [self.runtime.spawn(self._ask_rooms, each, answers) for each in chosen]
        for task in asked:
            task.wait(ROOMS_TIMEOUT_S)
        return reports + [
            report for answer in answers for report in answer.pools if report.pool in others
        ]

    def _ask_rooms(self, instance, answers):
        try:
            answers.append(
                self.peers.request(
                    peer.at_address(instance.address), messages.AskRooms(), ROOMS_TIMEOUT_S
                )
            )
        except peer.PeerError:
            return  # no room from there; how long it has been silent is judged by the renewals

    def on_stand_down(self, pool: owner.PoolOwner, reason: str) -> None:
        """Drop a pool and leave it to others for a while."""
        if self.owned.get(pool.name) is pool:
            del self.owned[pool.name]
        self.succession.rest(pool.name)
        self.fleet.disclaim(pool.name, self.own.name)

    def on_token(self, pool: owner.PoolOwner) -> None:
        """Tell everybody about a raised token."""
        self._announce(pool)

    def _on_servers(self):
        for each in list(self.owned.values()):
            each.on_servers()

    # Renewals.

    def _renew_all(self):
        while self.is_running:
            self._check_pause()
            for instance in self._targets():
                if instance.name not in self.renewing:
                    self.renewing.add(instance.name)
                    self.runtime.spawn(self._renew, instance)
            held_here = self.holder.renewed(self.own.name)
            for each in list(self.owned.values()):
                each.renew(self.own, held_here)
                self.fleet.take_report(self.own, each.report(), self.runtime.now())
            metric.gauge(metrics.POOLS, len(self.owned))
            metric.gauge(metrics.HELD, len(self.holder.jobs))
            self._return_pools()
            self.holder.check_owners()
            self.fleet.forget_old()
            self.runtime.sleep(self.times.renew_s)

    def _check_pause(self):
        now = self.runtime.now()
        if now - self.ticked_at > self.times.pause_s + self.times.renew_s:
            self.fleet.after_pause()
            for each in list(self.owned.values()):
                each.stand_down("the process stood still")
        self.ticked_at = now

    def _return_pools(self):
        """Give a pool of another data centre back to it once an instance there is steady."""
        for name in list(self.owned):
            data_centre = ports.data_centre_of(name)
            if data_centre == self.own.data_centre:
                continue
            steady = [
                each
                for each in self.fleet.instances().values()
                if each.data_centre == data_centre
                and self.fleet.alive_for(each.name) > self.times.return_s
            ]
            order = election.order(name, data_centre, steady)
            if order:
                self.runtime.spawn(self._hand_pool_over, self.owned[name], order)

    def _targets(self):
        """Return who is to be renewed now.

        Owners that have jobs of this instance, and those of the own data centre, are renewed each
        time: the first for the jobs, the others to notice at once when they fall silent.  All
        others are asked less often, which leaves out half of all messages on a quiet day.
        """
        instances = self.fleet.instances()
        is_blind = len(self.fleet.pools) < len(self.succession.pools()) or not self.fleet.pools
        found = {}
        for known in self.fleet.pools.values():
            target = known.claim.owner
            is_near = target.data_centre == self.own.data_centre
            if is_near or self._is_due(target) or self.holder.renewed(target.name):
                found[target.name] = target
        for target in instances.values():
            is_near = target.data_centre == self.own.data_centre
            if is_blind or (is_near and self._is_due(target)):
                found[target.name] = target
        if not found and not self.fleet.pools:
            found = {each.name: each for each in self.seeds}
        found.pop(self.own.name, None)
        return list(found.values())

    def _is_due(self, instance):
        asked_s = self.runtime.now() - self.asked.get(instance.name, -NEIGHBOUR_S)
        return asked_s >= NEIGHBOUR_S

    def _renew(self, instance):
        asked_at = self.asked[instance.name] = self.runtime.now()
        message = messages.Renew(
            self.own,
            self.holder.renewed(instance.name),
            self.fleet.tokens(),
            self.documents.revisions(),
        )
        try:
            report = self.peers.request(
                peer.at_address(instance.address), message, RENEWAL_TIMEOUT_S
            )
        except peer.PeerOutdated as error:
            # The wall clock was behind at the start, so peers take this life for an earlier one.
            self.peers.new_incarnation(error.newest)
            return
        except peer.PeerError:
            return  # how long the peer has been silent is judged, and logged, where it matters
        finally:
            self.renewing.discard(instance.name)
        self._on_report(report, asked_at)

    def _on_report(self, report, asked_at):
        self.fleet.note(report.sender)
        for claim in report.claims:
            self.fleet.take_claim(claim)
        named = {each.pool for each in report.pools}
        for pool, known in list(self.fleet.pools.items()):
            if known.claim.owner.name == report.sender.name and pool not in named:
                self.fleet.disclaim(pool, report.sender.name)
        for each in report.pools:
            self.fleet.take_report(report.sender, each, report.clock_s)
        self.holder.on_unknown(report.unknown, asked_at)
        self._follow(report.sender, report.revisions)

    def _on_renew(self, sender, message):
        self.fleet.note(message.sender)
        unknown = set(message.parts)
        for each in self.owned.values():
            unknown &= set(each.renew(message.sender, message.parts))
        self._follow(message.sender, message.revisions)
        return messages.Report(
            self.own,
            tuple(sorted(unknown)),
            self.runtime.now(),
            tuple(each.report() for each in self.owned.values()),
            self.fleet.newer_claims(message.tokens),
            self.documents.revisions(),
        )

    # Shared documents.

    def _follow(self, instance, revisions):
        for topic in self.documents.behind(revisions):
            if topic not in self.fetching:
                self.fetching.add(topic)
                self.runtime.spawn(self._fetch, instance, topic)

    def _fetch(self, instance, topic):
        try:
            copy = self.peers.request(
                peer.at_address(instance.address), messages.Fetch(topic), FETCH_TIMEOUT_S
            )
        except peer.PeerError as error:
            event.log(events.DOCUMENT_NOT_FETCHED, topic=topic, peer=instance.name, error=error)
            return
        finally:
            self.fetching.discard(topic)
        if copy.revision:
            self.documents.take(topic, copy.revision, copy.content, instance.name)

    def _on_fetch(self, sender, message):
        found = self.documents.by_topic.get(message.topic)
        if found is None:
            return messages.Copy(message.topic, 0, b"")
        return messages.Copy(message.topic, found.revision, found.content)

    # Other messages.

    def _submit(self, target, message):
        if target.name == self.own.name:
            self._on_submit(None, message)
        else:
            self.holder.send(target, message)

    def _on_submit(self, sender, message):
        pool = self.owned.get(message.pool)
        transit_s = self.runtime.now() - message.sent_s
        if pool is not None and abs(transit_s) <= self.times.stale_s:
            pool.submit(message)
            return
        if pool is not None:
            event.log(events.SUBMIT_STALE, job=message.work.id, transit_ms=round(transit_s * 1000))
        refusal = messages.NotOwner(
            message.work.id, message.part, message.pool, self.own, pool is not None
        )
        if message.holder.name == self.own.name:
            self.runtime.spawn(self.holder.on_not_owner, refusal)
        else:
            self.holder.send(message.holder, refusal)

    def _on_not_owner(self, sender, message):
        if not message.is_late:
            self.fleet.disclaim(message.pool, message.sender.name)
        self.holder.on_not_owner(message)

    def _on_cancel(self, sender, message):
        for each in list(self.owned.values()):
            each.cancel(message.job_id, message.sender.name)

    def _on_claim(self, sender, message):
        self.fleet.note(message.owner)
        held = self.owned.get(message.pool)
        is_foreign = message.owner.name != self.own.name
        if not self.fleet.take_claim(message) and held is not None and is_foreign:
            # An instance that doesn't know of us: two candidates took the pool at once.
            claim = messages.Claim(held.name, self.own, held.token)
            self.holder.send(message.owner, claim)

    def _on_ask_rooms(self, sender, message):
        return messages.Rooms(tuple(each.report() for each in self.owned.values()))

    def _on_query(self, sender, message):
        known = self.fleet.pools.get(message.pool)
        if known is None or known.claim.token < message.token:
            return messages.Heard(None)
        return messages.Heard(self.fleet.silence_s(message.pool))

    def _on_resign(self, sender, message):
        if self.fleet.highest.get(message.pool, 0) > message.token:
            return messages.ResignAnswer(False)  # held up: the pool has had another owner since
        self.speeds.take_over(message.servers)
        self.take_pool(message.pool, "its owner gave it up", frozenset(message.servers))
        return messages.ResignAnswer(message.pool in self.owned)

    # Leaving.

    def hand_pools_over(self, is_last: bool) -> None:
        """Give every pool to the best candidate that takes it; each claim ends the ownership.

        Parameters
        ----------
        is_last : bool
            Nothing is left of this instance after that, so instances of other data centres may
            take the pools as well.  Before that they stay here until a nearer one comes.
        """
        self.succession.is_standing_by = True
        tasks = [
            self.runtime.spawn(self._hand_pool_over, each, self.successors(each.name, is_last))
            for each in list(self.owned.values())
        ]
        for task in tasks:
            task.wait(HANDOVER_S)

    def _hand_pool_over(self, pool, candidates):
        for candidate in candidates:
            try:
                answer = self.peers.request(
                    peer.at_address(candidate.address), pool.resignation(), RESIGN_TIMEOUT_S
                )
            except peer.PeerError as error:
                event.log(events.MESSAGE_NOT_SENT, to=candidate.name, error=error)
                continue
            if answer.is_taken or not pool.is_active:
                return

    def successors(self, pool: str, also_far: bool) -> list[messages.Instance]:
        """Return who may take a pool over from this instance, the best candidate first."""
        data_centre = ports.data_centre_of(pool)
        alive = [
            each
            for each in self.fleet.instances().values()
            if self.fleet.is_alive(each.name) and (also_far or each.data_centre == data_centre)
        ]
        return election.order(pool, data_centre, alive)
