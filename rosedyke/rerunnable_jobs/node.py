"""The node for rerunnable jobs: its instance's roles as holder, pool owner and candidate."""

from collections.abc import Callable

from rosedyke import runtime as runtime_module
from rosedyke.observe import event, metric
from rosedyke.overload import own_delay
from rosedyke.rerunnable_jobs import (
    cancellations,
    document_sync,
    documents,
    events,
    fencing_token,
    fleet_view,
    handover,
    holder,
    job,
    job_registrar,
    learned_state,
    messages,
    metrics,
    pending_job,
    pool_index,
    pool_owner,
    ports,
    predecessors,
    rack_splitting,
    renewal,
    resubmissions,
    server_speed,
    settings,
    takeover,
)
from rosedyke.scheduling import capacity_requests, run_times
from rosedyke.wire import peer

# Instances of each data centre that read large lists from the store and pass changes on; with two
# of them the loss of one goes unnoticed.
STORE_READERS = 2
STORE_READERS_KEY = "store readers"


class Node:
    """Connects the components that handle rerunnable jobs in one instance.

    Parameters
    ----------
    this_instance : Instance
        This instance.
    wall_clock_s : callable
        Returns seconds since 1970; used only for fencing tokens.
    seeds : tuple of str
        Addresses of instances to contact while no other is known.
    delay : OwnDelay or None
        The instance's own delay; None if its link is unlimited.
    """

    def __init__(
        self,
        this_instance: messages.Instance,
        timing: settings.RerunSettings,
        runtime: runtime_module.Runtime,
        peers: peer.Peers,
        registry: ports.ServerRegistry,
        directory: ports.InstanceDirectory,
        gateway: ports.ServerGateway,
        shared_documents: documents.Documents,
        cancellation_store: ports.CancellationStore,
        wall_clock_s: Callable[[], float],
        seeds: tuple[str, ...] = (),
        delay: own_delay.OwnDelay | None = None,
    ):
        self.delay = delay or own_delay.OwnDelay(runtime)
        self.this_instance = this_instance
        self.timing = timing
        self.runtime = runtime
        self.peers = peers
        self.registry = registry
        self.gateway = gateway
        self.documents = shared_documents
        self.wall_clock_s = wall_clock_s
        self.seeds = [
            messages.Instance(seed, seed, "") for seed in seeds if seed != this_instance.address
        ]
        self.instance_bits = fencing_token.instance_number(this_instance.address)
        self.owned_pools: dict[str, pool_owner.PoolOwner] = {}
        self.speeds = server_speed.ServerSpeeds()
        self.run_times = run_times.RunTimes()
        self.fleet = fleet_view.FleetView(this_instance, timing, runtime, directory, self.delay)
        self.pools = pool_index.PoolIndex(registry)
        self.resubmissions = resubmissions.Resubmissions(timing, runtime)
        self.registrar = job_registrar.JobRegistrar(timing, runtime)
        self.holder = holder.Holder(
            timing,
            runtime,
            peers,
            self.fleet,
            self.pools,
            self._submit,
            self.resubmissions,
            self.delay,
            self.registrar,
        )
        self.takeovers = takeover.Takeover(
            timing,
            runtime,
            peers,
            self.fleet,
            self.pools,
            gateway,
            self.claim_pool,
            lambda name: self.renewal.unanswered_s(name),
            lambda since: self.renewal.has_stood_still(since),
        )
        self.fleet.claim_callbacks.append(self._on_remote_claim)
        self.fleet.claim_callbacks.append(self._request_first_report)
        self.rack_splitting = rack_splitting.RackSplitting(self)
        self.handover = handover.Handover(self)
        self.synchroniser = document_sync.DocumentSync(self)
        self.renewal = renewal.Renewal(self)
        self.cancellations = cancellations.Cancellations(self, cancellation_store)
        self.is_running = True

    def start(self) -> None:
        """Register the message handlers and start the loops."""
        single = self.holder.single_holder
        # None of these handlers blocks; blocking work is spawned.
        for message_type, handler in (
            (messages.Renew, self.renewal.on_renew),
            (messages.Submit, self._on_submit),
            (messages.JobEnded, lambda sender, message: self.holder.on_ended(message)),
            (messages.TasksReleased, lambda sender, message: self.holder.on_released(message)),
            (messages.CapacityRequest, self._on_capacity_request),
            (messages.CapacityOffer, self._on_capacity_offer),
            (messages.NotOwner, self._on_not_owner),
            (messages.Withdraw, self._on_withdraw),
            (messages.Cancel, self._on_cancel),
            (messages.CancelHeld, self._on_cancel_held),
            (messages.Claim, self._on_claim),
            (messages.ClaimJob, self._on_claim_job),
            (messages.ClaimLost, lambda sender, message: single.on_claim_lost(message)),
            (messages.JoinJob, lambda sender, message: single.on_join(message)),
            (messages.LeaveJob, lambda sender, message: single.on_leave(message)),
            (messages.HeldJobEnded, lambda sender, message: single.on_held_job_ended(message)),
            (
                messages.InstanceAgeQuery,
                lambda sender, message: single.on_instance_age_query(message),
            ),
            (messages.ContactAgeQuery, self._on_contact_age_query),
            (messages.Resign, self.handover.on_resign),
            (messages.FetchDocument, self.synchroniser.on_fetch),
        ):
            self.peers.handle(message_type, handler, may_block=False)
        self.peers.handle(
            messages.StoreCancellations,
            lambda sender, message: self.cancellations.on_help(message),
        )
        self.peers.handle(
            messages.FetchCancellations,
            lambda sender, message: self.cancellations.on_fetch(),
            may_block=False,
        )
        self.registry.subscribe(self._on_servers)
        self.runtime.spawn_service(self.renewal.run)
        self.runtime.spawn_service(self.takeovers.run)
        self.runtime.spawn_service(self.registrar.run)
        self.runtime.spawn_service(self.cancellations.run)
        self.runtime.spawn_service(self.cancellations.learn)

    def stop(self) -> None:
        """Stop; pools that were not handed over are left to their candidates."""
        self.is_running = self.takeovers.is_running = False
        for owned_pool in list(self.owned_pools.values()):
            owned_pool.step_down("the instance shuts down")

    def run(
        self,
        work: job.Job,
        disconnected: runtime_module.Signal,
        arrival: pending_job.Arrival = pending_job.UNKNOWN_ARRIVAL,
    ) -> job.Outcome:
        """Run a job for a caller and block until it has ended."""
        if self.registrar.is_cancelled(work.id):
            self.registrar.cancel(work.id)
            self.cancellations.prolong(work.id)
            return job.CANCELLED_BY_CALLER
        return self.holder.run(work, disconnected, arrival)

    def cancel(self, job_id: str, timeout_s: float) -> cancellations.Cancelled:
        """Cancel a job for a caller, whoever holds it, and block until that is stored."""
        # To all instances even if it is held here: its request may still arrive at another one.
        for instance in self.fleet.instances().values():
            self.holder.send(instance, messages.CancelHeld(job_id))
        was_held = self.apply_cancellation(job_id)
        is_stored = self.cancellations.keep(job_id, timeout_s)
        return cancellations.Cancelled(was_held, is_stored)

    def apply_cancellation(self, job_id: str) -> bool:
        """Stop a cancelled job here, as its holder and as an owner; return whether it was held."""
        self.registrar.cancel(job_id)
        was_held = self.holder.cancel(job_id)
        for owned_pool in list(self.owned_pools.values()):
            owned_pool.requests.cancel_by_caller(job_id)
        return was_held

    def _on_cancel_held(self, sender, message):
        self.apply_cancellation(message.job_id)

    def can_reach_owner(self) -> bool:
        """Return whether the owner of any pool is reachable."""
        return self.fleet.isolated_since is None

    def is_store_reader(self) -> bool:
        """Return whether this instance reads large lists from the store for its data centre.

        Readers are ranked like the candidates for a pool of the data centre.
        """
        key = f"{self.this_instance.data_centre}/{STORE_READERS_KEY}"
        return self.takeovers.ranks.rank_for(key) < STORE_READERS

    # Pools.

    def claim_pool(
        self,
        pool: str,
        reason: str,
        known_owners: tuple[messages.KnownOwner, ...] = (),
        learned: learned_state.ReceivedState | None = None,
    ) -> None:
        """Become the owner of a pool.

        Parameters
        ----------
        known_owners : tuple of KnownOwner
            What the previous owner handed over; empty if only its reports tell of its servers.
        learned : ReceivedState or None
            What the previous owner handed over, None if only its reports tell what it has learned.
        """
        if pool in self.owned_pools or self.takeovers.is_suspended:
            return
        if not self.takeovers.may_claim() or not self.pools.is_current(pool):
            return  # the names have changed since the decision, or may do so soon
        highest_token = self._highest_token(pool)
        new_token = fencing_token.next_token(self.instance_bits, self.wall_clock_s(), highest_token)
        event.log(events.POOL_CLAIMED, pool=pool, token=new_token, reason=reason)
        self._import_speeds(pool)
        if self.timing.predicts_completion:
            learned = learned or self._reported_learned_state(pool)
        else:
            learned = None
        owned_pool = pool_owner.PoolOwner(
            self.timing,
            self.runtime,
            self.gateway,
            pool,
            new_token,
            lambda: self.pools.servers(pool),
            self,
            self.speeds,
            known_owners or self._known_owners(pool),
            highest_token > 0,
            self.run_times,
            self.resubmissions,
            self.delay,
        )
        self.owned_pools[pool] = owned_pool
        metric.count(metrics.POOLS_TAKEN)
        owned_pool.start(learned)
        self._announce(owned_pool)

    def _highest_token(self, pool):
        """Return the highest known token of earlier owners of a pool's servers, 0 without any."""
        return max(
            (
                token
                for name, token in self.fleet.highest_tokens.items()
                if self.pools.may_share_servers(pool, name)
            ),
            default=0,
        )

    def _known_owners(self, pool):
        """Return the owners of a pool whose servers are known by the reports of the last one."""
        state = self.fleet.owners.get(pool)
        if state is None:
            return ()
        servers = state.complete_servers(self.runtime.now() - self.timing.owner_lost_s)
        if servers is None:
            return ()
        return predecessors.known_to_successor(
            state.claim.token, state.servers_version, servers, state.earlier_owners
        )

    def _import_speeds(self, pool):
        """Import the server speeds that the previous owner reported."""
        state = self.fleet.owners.get(pool)
        if state is not None and state.servers is not None:
            self.speeds.import_speeds(state.servers)

    def _reported_learned_state(self, pool):
        """Return what the previous owner reported to have learned, None if nothing."""
        state = self.fleet.owners.get(pool)
        return state.learned if state is not None else None

    def _announce(self, owned_pool):
        claim = messages.Claim(owned_pool.name, self.this_instance, owned_pool.token)
        self.fleet.record_claim(claim, is_own=True)
        self.fleet.record_report(
            self.this_instance, owned_pool.reports.report(), self.runtime.now()
        )
        for instance in self.fleet.instances().values():
            self.holder.send(instance, claim)

    def _on_remote_claim(self, claim):
        owned_pool = self.owned_pools.get(claim.pool)
        if (
            owned_pool is not None
            and claim.owner.name != self.this_instance.name
            and claim.token > owned_pool.token
        ):
            owned_pool.step_down(f"{claim.owner.name} owns it now")

    def _request_first_report(self, claim):
        """Renew with a new owner at once: jobs are submitted to it only after its first report."""
        name = claim.owner.name
        if name != self.this_instance.name and name not in self.renewal.in_flight:
            self.renewal.in_flight.add(name)
            self.runtime.spawn(self.renewal.renew, claim.owner)

    # Implementation of ``pool_owner.Listener``.

    def send_to_holder(
        self, target: messages.Instance, message: messages.JobEnded | messages.TasksReleased
    ) -> None:
        """Send a job's outcome or its released tasks to its holder."""
        if target.name != self.this_instance.name:
            self.holder.send(target, message)
        elif isinstance(message, messages.TasksReleased):
            self.holder.on_released(message)
        else:
            self.holder.on_ended(message)

    def request_capacity(
        self, pool: str, service: str, smallest_millicores: int, millicores: int
    ) -> None:
        """Ask owners of other pools of a service to offer free capacity to a full pool."""
        request = messages.CapacityRequest(
            self.this_instance, pool, service, smallest_millicores, millicores
        )
        targets = self._likely_owners(service, pool, smallest_millicores, millicores)
        metric.count(metrics.CAPACITY_REQUESTS)
        metric.count(metrics.OWNERS_ASKED, len(targets))
        for target in targets:
            if target.name == self.this_instance.name:
                self._on_capacity_request(None, request)
            else:
                self.holder.send(target, request)

    def _likely_owners(self, service, pool, smallest, missing):
        """Return owners of other pools, preferring those whose last report shows free capacity."""
        of_service = self.pools.of_service(service)
        others = [
            owner_state
            for name, owner_state in self.fleet.owners.items()
            if name != pool and name in of_service and owner_state.report is not None
        ]
        if self.timing.balances_data_centres:
            return self._owners_to_ask(others, smallest, missing)
        others.sort(
            key=lambda state: (
                not state.has_free_capacity(smallest),
                state.report.backlog_s > 0,
                self.runtime.random(),
            )
        )
        return [state.claim.owner for state in others[:1]]

    def _owners_to_ask(self, others, smallest, missing):
        """Return as many owners as the missing capacity needs, by their last reports."""
        offerable = {state.claim.pool: state.offerable_millicores(smallest) for state in others}
        others.sort(
            key=lambda state: (
                not self.fleet.has_recent_report(state.claim.pool),
                not offerable[state.claim.pool],
                state.report.backlog_s > 0,
                self.runtime.random(),
            )
        )
        owners, free = {}, {}
        for state in others:
            name = state.claim.owner.name
            owners[name] = state.claim.owner
            free[name] = free.get(name, 0) + offerable[state.claim.pool]
        count = capacity_requests.owners_to_ask(missing, list(free.values()))
        asked = list(owners.values())[:count]
        now = self.runtime.now()
        for state in others:
            if state.claim.owner in asked:
                state.asked_at = now
        return asked

    def offer_capacity(self, target: messages.Instance, offer: messages.CapacityOffer) -> None:
        """Offer free capacity to the owner of a full pool."""
        if target.name == self.this_instance.name:
            self.runtime.spawn(self._on_capacity_offer, None, offer)
        else:
            self.holder.send(target, offer)

    def on_step_down(self, owned_pool: pool_owner.PoolOwner, reason: str) -> None:
        """Remove a pool that is no longer owned and do not take it again for a while."""
        owned_pool.reports.update_servers()
        self.fleet.record_servers_version(
            owned_pool.name, owned_pool.token, owned_pool.reports.servers_version
        )
        if self.owned_pools.get(owned_pool.name) is owned_pool:
            del self.owned_pools[owned_pool.name]
        if not self.handover.is_moved(owned_pool.name):
            self.takeovers.back_off(owned_pool.name)
        self.fleet.remove_owner(owned_pool.name, self.this_instance.name)

    def on_token_raised(self, owned_pool: pool_owner.PoolOwner) -> None:
        """Announce the raised token to all instances."""
        self._announce(owned_pool)

    def _on_servers(self):
        for owned_pool in list(self.owned_pools.values()):
            if self.pools.is_current(owned_pool.name):
                owned_pool.on_servers()
            else:
                event.log(events.POOL_RENAMED, pool=owned_pool.name, jobs=len(owned_pool.jobs))
                owned_pool.step_down("its rack is split in another way")
        self._remove_former_pools()

    def _remove_former_pools(self):
        """Remove unresponsive owners of names without servers, which nobody takes over."""
        for pool, state in list(self.fleet.owners.items()):
            is_lost = self.fleet.owner_contact_age_s(pool) > self.timing.owner_lost_s
            if is_lost and not self.pools.is_current(pool):
                self.fleet.remove_owner(pool, state.claim.owner.name)

    # Other messages.

    def _submit(self, target, message):
        if target.name == self.this_instance.name:
            self._on_submit(None, message)
            return True
        return self.holder.send(target, message)

    def _on_submit(self, sender, message):
        owned_pool = self.owned_pools.get(message.pool)
        transit_s = self.runtime.now() - message.sent_s
        if owned_pool is not None and self.registrar.is_cancelled(message.work.id):
            # Its holder may be out of reach of whoever cancelled it.
            owned_pool.requests.report_cancelled(message)
            return
        if owned_pool is not None and abs(transit_s) <= self.timing.stale_s:
            owned_pool.requests.submit(message)
            return
        if owned_pool is not None:
            event.log(events.SUBMIT_STALE, job=message.work.id, transit_ms=round(transit_s * 1000))
        refusal = messages.NotOwner(
            message.work.id, message.part, message.pool, self.this_instance, owned_pool is not None
        )
        if message.holder.name == self.this_instance.name:
            self.runtime.spawn(self.holder.on_not_owner, refusal)
        else:
            self.holder.send(message.holder, refusal)

    def _on_not_owner(self, sender, message):
        if not message.is_late:
            self.fleet.remove_owner(message.pool, message.sender.name)
        self.holder.on_not_owner(message)

    def _on_withdraw(self, sender, message):
        owned_pool = self.owned_pools.get(message.pool)
        if owned_pool is None:
            return messages.Withdrawn(False)
        return owned_pool.requests.withdraw((message.job_id, message.part))

    def _on_cancel(self, sender, message):
        for owned_pool in list(self.owned_pools.values()):
            owned_pool.requests.cancel(message.job_id, message.sender.name)

    def _on_claim(self, sender, message):
        self.fleet.record_contact(message.owner)
        owned_pool = self.owned_pools.get(message.pool)
        is_remote = message.owner.name != self.this_instance.name
        if self.fleet.record_claim(message) or owned_pool is None or not is_remote:
            return
        if message.token < owned_pool.token:
            # Two candidates took the pool at the same time, and the sender does not know of this
            # owner yet.  A claim with the same token is not answered, or the two owners would
            # answer each other endlessly.
            claim = messages.Claim(owned_pool.name, self.this_instance, owned_pool.token)
            self.holder.send(message.owner, claim)

    def _on_capacity_request(self, sender, message):
        for name, owned_pool in list(self.owned_pools.items()):
            if name != message.pool:
                owned_pool.offers.on_request(message)

    def _on_capacity_offer(self, sender, message):
        owned_pool = self.owned_pools.get(message.wanted_by)
        if owned_pool is not None:
            owned_pool.releaser.on_offer(message)

    def _on_claim_job(self, sender, message):
        if sender.name != self.this_instance.name:
            self.fleet.record_heard()
        former = self.registrar.claim_of(message.job_id)
        claimant = messages.Instance(sender.name, sender.address, sender.data_centre)
        reply = self.registrar.claim(claimant, message)
        if former is not None and former.number == message.replaces:
            # Normally it is gone, but its silence may have been a fault of some links only.
            self._report_lost_claim(message.job_id, former.claimant.instance, former.number)
        elif message.is_renewal and reply.claimant is not None:
            self._report_lost_claim(message.job_id, claimant, message.number)
        elif message.is_renewal and reply.is_cancelled:
            self.holder.send(claimant, messages.CancelHeld(message.job_id))
        return reply

    def _report_lost_claim(self, job_id, claimant, number):
        self.holder.send(claimant, messages.ClaimLost(job_id, number))

    def _on_contact_age_query(self, sender, message):
        state = self.fleet.owners.get(message.pool)
        if state is None or state.claim.token < message.token:
            return messages.ContactAge(None)
        return messages.ContactAge(self.fleet.owner_contact_age_s(message.pool))
