"""An instance's part in rerunnable jobs: holder, owner of pools, and candidate for others."""

from collections.abc import Callable

from rosedyke import runtime as runtime_module
from rosedyke.observe import event, metric
from rosedyke.rerun import (
    document_sync,
    documents,
    events,
    fencing_token,
    fleet_view,
    handover,
    holder,
    job,
    messages,
    metrics,
    pool_index,
    pool_owner,
    ports,
    renewal,
    server_speed,
    settings,
    takeover,
)
from rosedyke.wire import peer

# An owner whose pool is full asks this many others for room at a time.
ASKED_POOLS = 1


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
        self.maker = fencing_token.maker_of(own.address)
        self.owned: dict[str, pool_owner.PoolOwner] = {}
        self.speeds = server_speed.Speeds()
        self.fleet = fleet_view.Fleet(own, times, runtime, directory)
        self.pools = pool_index.Pools(registry)
        self.holder = holder.Holder(times, runtime, peers, self.fleet, self.pools, self._submit)
        self.succession = takeover.Succession(
            times, runtime, peers, self.fleet, self.pools, gateway, self.take_pool
        )
        self.fleet.on_claim.append(self._on_foreign_claim)
        self.fleet.on_claim.append(self._meet_owner)
        self.handover = handover.Handover(self)
        self.following = document_sync.Following(self)
        self.renewal = renewal.Renewal(self)
        self.is_running = True

    def start(self) -> None:
        """Register the handlers and begin."""
        # None of these blocks: what they begin that does gets a task of its own there.
        for message_type, handler in (
            (messages.Renew, self.renewal.on_renew),
            (messages.Submit, self._on_submit),
            (messages.JobEnded, lambda sender, message: self.holder.on_ended(message)),
            (messages.Released, lambda sender, message: self.holder.on_released(message)),
            (messages.WantRoom, self._on_want_room),
            (messages.Offer, self._on_offer),
            (messages.NotOwner, self._on_not_owner),
            (messages.Withdraw, self._on_withdraw),
            (messages.Cancel, self._on_cancel),
            (messages.CancelHeld, lambda sender, message: self._end_held(message.job_id)),
            (messages.Claim, self._on_claim),
            (messages.Query, self._on_query),
            (messages.Resign, self.handover.on_resign),
            (messages.Fetch, self.following.on_fetch),
        ):
            self.peers.handle(message_type, handler, may_block=False)
        self.registry.subscribe(self._on_servers)
        self.runtime.spawn(self.renewal.run)
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
        return self.fleet.blind_since is None

    # Pools.

    def take_pool(self, pool: str, reason: str, expected: frozenset[str] | None = None) -> None:
        """Own a pool from now on; ``expected`` are the servers that the predecessor used."""
        if pool in self.owned or self.succession.is_standing_by:
            return
        number = fencing_token.make(self.maker, self.wall_s(), self.fleet.highest.get(pool, 0))
        event.log(events.POOL_CLAIMED, pool=pool, token=number, reason=reason)
        self._learn_from_predecessor(pool)
        taken = pool_owner.PoolOwner(
            self.times,
            self.runtime,
            self.gateway,
            pool,
            number,
            lambda: self.pools.servers(pool),
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
        self.fleet.take_report(self.own, taken.reporting.report(), self.runtime.now())
        for instance in self.fleet.instances().values():
            self.holder.send(instance, claim)

    def _on_foreign_claim(self, claim):
        held = self.owned.get(claim.pool)
        if held is not None and claim.owner.name != self.own.name and claim.token > held.token:
            held.stand_down(f"{claim.owner.name} owns it now")

    def _meet_owner(self, claim):
        """Ask a new owner for its report at once, since jobs are handed to it only after that."""
        name = claim.owner.name
        if name != self.own.name and name not in self.renewal.renewing:
            self.renewal.renewing.add(name)
            self.runtime.spawn(self.renewal.renew, claim.owner)

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

    def want_room(self, pool: str, service: str, smallest_millicores: int, millicores: int) -> None:
        """Ask some other pools of a service to offer room to a full pool."""
        wanted = messages.WantRoom(self.own, pool, service, smallest_millicores, millicores)
        for target in self._owners_with_room(service, pool, smallest_millicores):
            if target.name == self.own.name:
                self._on_want_room(None, wanted)
            else:
                self.holder.send(target, wanted)

    def _owners_with_room(self, service, pool, millicores):
        """Return some owners of other pools, first those that had room lately."""
        of_service = self.pools.of_service(service)
        known = [
            known
            for name, known in self.fleet.pools.items()
            if name != pool and name in of_service and known.report is not None
        ]
        known.sort(
            key=lambda each: (
                not each.has_room(millicores),
                each.report.backlog_s > 0,
                self.runtime.random(),
            )
        )
        owners = {each.claim.owner.name: each.claim.owner for each in known[:ASKED_POOLS]}
        return list(owners.values())

    def offer(self, target: messages.Instance, offer: messages.Offer) -> None:
        """Offer room to the owner of a full pool."""
        if target.name == self.own.name:
            self.runtime.spawn(self._on_offer, None, offer)
        else:
            self.holder.send(target, offer)

    def on_stand_down(self, pool: pool_owner.PoolOwner, reason: str) -> None:
        """Drop a pool and leave it to others for a while."""
        if self.owned.get(pool.name) is pool:
            del self.owned[pool.name]
        self.succession.rest(pool.name)
        self.fleet.disclaim(pool.name, self.own.name)

    def on_token(self, pool: pool_owner.PoolOwner) -> None:
        """Tell everybody about a raised token."""
        self._announce(pool)

    def _on_servers(self):
        for each in list(self.owned.values()):
            each.on_servers()

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
            pool.intake.submit(message)
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

    def _on_withdraw(self, sender, message):
        pool = self.owned.get(message.pool)
        key = (message.job_id, message.part)
        return messages.Withdrawn(pool is not None and pool.intake.withdraw(key))

    def _on_cancel(self, sender, message):
        for each in list(self.owned.values()):
            each.intake.cancel(message.job_id, message.sender.name)

    def _on_claim(self, sender, message):
        self.fleet.note(message.owner)
        held = self.owned.get(message.pool)
        is_foreign = message.owner.name != self.own.name
        if not self.fleet.take_claim(message) and held is not None and is_foreign:
            # An instance that doesn't know of us: two candidates took the pool at once.
            claim = messages.Claim(held.name, self.own, held.token)
            self.holder.send(message.owner, claim)

    def _on_want_room(self, sender, message):
        for name, each in list(self.owned.items()):
            if name != message.pool:
                each.offering.on_wanted(message)

    def _on_offer(self, sender, message):
        pool = self.owned.get(message.wanted_by)
        if pool is not None:
            pool.releasing.on_offer(message)

    def _on_query(self, sender, message):
        known = self.fleet.pools.get(message.pool)
        if known is None or known.claim.token < message.token:
            return messages.Heard(None)
        return messages.Heard(self.fleet.silence_s(message.pool))
