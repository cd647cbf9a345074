"""Holder side of dispatch: requests slots for the tasks of this instance's jobs."""

import itertools

from rosedyke.configuration import intent
from rosedyke.dispatch import (
    events,
    message_delay,
    messages,
    metrics,
    pool_session,
    ports,
    report_cache,
    settings,
    sharding,
    slot_lease,
    steps,
    task_sender,
)
from rosedyke.job import code, job
from rosedyke.membership import member
from rosedyke.membership import ports as membership_ports
from rosedyke.observe import event, metric, step
from rosedyke.runtime import Runtime
from rosedyke.wire import peer


class LeaseHolder:
    """Runs the tasks of this instance's jobs on slots granted by the pools' owners.

    Parameters
    ----------
    options : DispatchSettings
        Timeouts and retries.
    runtime : Runtime
        Clock and task scheduling.
    peers : Peers
        The other instances.
    membership : Membership
        Determines the owners of pools.
    gateway : BackendGateway
        Sends the tasks.
    speeds_of : callable
        ``speeds_of(service)`` returns the service's ``SpeedTable``.
    pool_reports : ReportCache
        Stores the reports received with replies.
    shard_map : ShardMap
        The pools of the configuration.
    reroute : callable
        ``reroute(active_job, service, indices)`` places waiting tasks again.
    """

    def __init__(
        self,
        options: settings.DispatchSettings,
        runtime: Runtime,
        peers: peer.Peers,
        membership: membership_ports.Membership,
        gateway: ports.BackendGateway,
        speeds_of,
        pool_reports: report_cache.ReportCache,
        shard_map: sharding.ShardMap,
        reroute,
    ):
        self.options = options
        self.runtime = runtime
        self.peers = peers
        self.membership = membership
        self.pool_reports = pool_reports
        self.shard_map = shard_map
        self.reroute = reroute
        self.sessions: dict[str, pool_session.PoolSession] = {}
        self.requests_by_job: dict[job.Job, list[pool_session.PoolRequest]] = {}
        self.request_numbers = itertools.count(1)
        self.own = peers.own
        self.delays = message_delay.DelayEstimator()
        self.sender = task_sender.TaskSender(
            options, runtime, peers, gateway, speeds_of, shard_map, reroute, self._schedule_flush
        )
        peers.handle(messages.Grants, self.handle_grants)
        peers.handle(messages.Recover, self.handle_recover)
        peers.handle(messages.Audit, self.handle_audit)
        peers.handle(messages.Permit, self.handle_permit)
        peers.handle(messages.Stalled, self.handle_stalled)

    def start(self) -> None:
        """Subscribe to changes of the membership."""
        self.membership.subscribe(self._on_view)

    def request_slots(
        self, active_job: job.Job, service: intent.Service, shard: sharding.Shard, indices
    ) -> None:
        """Request slots for waiting tasks of a job from the owner of a pool."""
        if active_job.is_closed:
            return
        session = self._session(shard)
        self.requests_by_job.setdefault(active_job, []).append(
            session.add_request(active_job, service, indices)
        )
        self._schedule_flush(session)

    def withdraw(self, active_job: job.Job) -> None:
        """Withdraw all requests of a closed job."""
        for request in self.requests_by_job.pop(active_job, ()):
            request.session.withdraw(request)
            self._schedule_flush(request.session)

    def handle_grants(self, sender: peer.Peer, message: messages.Grants) -> None:
        """Run waiting tasks on newly granted slots."""
        session = self.sessions.get(message.pool)
        if session is None or sender != session.owner or not session.accept_ballot(message.ballot):
            # From a previous owner; waiting tasks were requested again under other numbers.
            metric.count(metrics.GRANTS_LATE, len(message.grants))
            return
        delay_s = self.delays.delay_s(sender, message.sent_at, self.runtime.now())
        self.pool_reports.store(message.pool, message.report)
        self._use_grants(session, message.grants, delay_s > self.options.late_s)

    def handle_recover(self, sender: peer.Peer, request: messages.Recover) -> messages.RecoverReply:
        """Report the slots in use to a new owner, and reject earlier ballots from now on."""
        shard = self.shard_map.find(request.pool)
        if shard is None:
            return messages.RecoverReply(None)
        session = self._session(shard)
        if not session.accept_ballot(request.ballot):
            return messages.RecoverReply(session.ballot)
        held = session.held_slots(self.runtime.now())
        session.restart(sender)
        self._schedule_flush(session)
        return messages.RecoverReply(None, held)

    def handle_audit(self, sender: peer.Peer, audit: messages.Audit) -> messages.AuditReply | None:
        """Report which grants of an audit were never received, and request their slots again."""
        session = self.sessions.get(audit.pool)
        if session is None or sender != session.owner or not session.accept_ballot(audit.ballot):
            return messages.AuditReply(audit.leases)
        missing = tuple(key for key in audit.leases if tuple(key) not in session.held)
        for request_number, index in missing:
            self._request_again(session, messages.Grant(request_number, index, ""))
        return messages.AuditReply(missing)

    def handle_permit(self, sender: peer.Peer, request: messages.Permit) -> messages.PermitReply:
        """Permit a remote owner to use this data centre's servers, unless it was superseded."""
        shard = self.shard_map.find(request.pool)
        if shard is None:
            return messages.PermitReply(None, is_given=False)
        session = self._session(shard)
        if session.accept_ballot(request.ballot):
            return messages.PermitReply(None, is_given=True)
        return messages.PermitReply(session.ballot, is_given=False)

    def handle_stalled(self, sender: peer.Peer, notice: messages.Stalled) -> None:
        """Fail jobs with a task that will never be answered; whether it ran is unknown."""
        session = self.sessions.get(notice.pool)
        if session is None or sender != session.owner:
            return
        for key in notice.leases:
            held = session.held.get(tuple(key))
            if held is not None:
                held.request.active_job.fail(
                    code.Code.SERVER_LOST,
                    f"{held.grant.server} does not run the task and has not answered",
                )

    def _session(self, pool_shard) -> pool_session.PoolSession:
        session = self.sessions.get(pool_shard.key)
        if session is None:
            session = self.sessions[pool_shard.key] = pool_session.PoolSession(
                pool_shard, self.request_numbers
            )
        session.shard = pool_shard
        return session

    def _owner_of(self, session) -> peer.Peer | None:
        owner = self.shard_map.owner(session.shard.key, self.membership)
        return None if owner is None else owner.peer

    def _on_view(self, old: member.View, new: member.View):
        peers = {
            candidate.peer for candidate in new.members if candidate.state is not member.State.DEAD
        }
        self.delays.discard_senders(lambda sender: sender not in peers)
        self.follow_owners()

    def follow_owners(self) -> None:
        """Restart sessions whose pool has another owner now."""
        # Owners discard the requests of an instance's earlier incarnation.
        is_new_incarnation = self.own != self.peers.own
        self.own = self.peers.own
        for session in self.sessions.values():
            if session.requests and (
                is_new_incarnation or self._owner_of(session) != session.owner
            ):
                session.restart(self._owner_of(session))
                self._schedule_flush(session)

    def _schedule_flush(self, session):
        if not session.is_flushing:
            session.is_flushing = True
            self.runtime.spawn(self._flush, session)

    def _flush(self, session):
        """Send pending updates to the owner until there are none left.

        Updates added while an exchange is in progress are sent with the next one.
        """
        try:
            while session.has_pending():
                if self.shard_map.find(session.shard.key) is None:
                    self._fail_unconfigured(session)
                elif not self._exchange(session):
                    self.runtime.sleep(self.options.tick_s * (0.5 + self.runtime.random()))
        finally:
            session.is_flushing = False

    def _exchange(self, session) -> bool:
        owner = self._owner_of(session)
        if owner != session.owner:
            session.restart(owner)
        if owner is None:
            self._reroute_all(session)
            return False
        exchange = self._build_exchange(session)
        step.reach(steps.SLOTS_ASKING, self.peers.own.name)
        restarts = session.restarts
        sent_at = self.runtime.now()
        try:
            reply = self.peers.request(owner, exchange, self.options.request_timeout_s)
        except peer.PeerError as error:
            event.log(
                events.EXCHANGE_FAILED, pool=exchange.pool, owner=owner.name, reason=error.code
            )
            if session.restarts == restarts:
                self._reroute_all(session)
            return False
        if session.restarts != restarts:
            return True  # the session was restarted meanwhile; all requests are sent again
        if reply.ballot is None or not session.accept_ballot(reply.ballot):
            return False
        for slot_request in exchange.requests:
            session.unacknowledged.pop(slot_request.number, None)
        for number in reply.refused:
            self._reject(session, number)
        del session.releases[: len(exchange.releases)]
        del session.withdrawn[: len(exchange.withdrawn)]
        now = self.runtime.now()
        self.pool_reports.store(exchange.pool, reply.report)
        self.delays.delay_s(owner, reply.sent_at, now)
        self._use_grants(session, reply.grants, now - sent_at > self.options.request_timeout_s)
        return True

    def _fail_unconfigured(self, session):
        """Fail the jobs waiting for a pool that is no longer in the configuration.

        The pool has no owner, so updates for it would be retried forever.
        """
        for request in session.discard_all():
            request.active_job.fail(
                code.Code.NO_SERVER, f"{session.shard.key} is no longer declared"
            )

    def _reject(self, session, number):
        """Fail a job whose request was refused by the pool's full queue."""
        request = session.requests.pop(number, None)
        if request is not None:
            metric.count(metrics.JOBS_REFUSED)
            request.active_job.fail(
                code.Code.OVERLOADED, "the queue is full", self.options.refusal_retry_s
            )

    def _build_exchange(self, session) -> messages.Exchange:
        """Return the message with all pending updates."""
        now = self.runtime.now()
        requests = tuple(
            messages.SlotRequest(
                request.number,
                group_tasks(request.service, request.active_job, request.waiting_indices),
                max(0.0, request.active_job.deadline - now),
            )
            for request in session.unacknowledged.values()
        )
        return messages.Exchange(
            session.shard.key,
            session.ballot,
            requests,
            tuple(session.releases),
            tuple(session.withdrawn),
        )

    def _reroute_all(self, session):
        """Place the tasks waiting at an unresponsive owner again.

        The owner may have queued the requests and may still grant them.  Such grants carry
        withdrawn request numbers and are returned unused, so that no task starts twice.
        """
        self.pool_reports.avoid(session.shard.key)
        requests = list(session.requests.values())
        for request in requests:
            session.withdraw(request)
        for request in requests:
            if not request.active_job.is_closed:
                self.reroute(request.active_job, request.service, tuple(request.waiting_indices))

    def _use_grants(self, session, grants, is_late):
        for grant in grants:
            if (grant.request, grant.index) in session.held:
                continue  # duplicate, because a reply was lost
            request = None if is_late else session.accept(grant, self.runtime.now())
            if request is not None:
                self.runtime.spawn(self.sender.run_task, session, request, grant)
                continue
            metric.count(metrics.GRANTS_LATE)
            self._release(session, grant, slot_lease.Outcome.UNUSED)
            self._request_again(session, grant)

    def _request_again(self, session, grant):
        """Place a task again whose grant cannot be used, if it is still waiting."""
        request = session.drop_waiting(grant)
        if request is not None and not request.active_job.is_closed:
            self.reroute(request.active_job, request.service, (grant.index,))

    def _release(self, session, grant, outcome):
        session.release(grant, outcome)
        self._schedule_flush(session)


def group_tasks(
    service: intent.Service, active_job: job.Job, indices
) -> tuple[messages.TaskGroup, ...]:
    """Group waiting tasks of a job by type, run time and size."""
    groups: dict[tuple, list[int]] = {}
    for index in sorted(indices):
        call = active_job.request.tasks[index]
        declared = service.task(call.name)
        run_time_s = call.run_time_s or declared.run_time_s
        groups.setdefault((call.name, run_time_s, call.size or declared.size), []).append(index)
    return tuple(
        messages.TaskGroup(name, run_time_s, size, tuple(group_indices))
        for (name, run_time_s, size), group_indices in groups.items()
    )
