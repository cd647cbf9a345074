"""The holder's side: asks owners for slots for the tasks of this instance's jobs."""

import itertools

from rosedyke.configuration import intent
from rosedyke.dispatch import (
    events,
    lateness,
    link,
    messages,
    metrics,
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


class Holder:
    """Runs the tasks of this instance's jobs through grants of the pools' owners.

    Parameters
    ----------
    options : DispatchSettings
        How to ask and retry.
    runtime : Runtime
        Time and tasks.
    peers : Peers
        The other instances.
    membership : Membership
        Who owns what.
    gateway : BackendGateway
        Sends the tasks.
    speeds : callable
        ``speeds(service)`` returns the service's ``SpeedTable``.
    board : Board
        Takes the reports that ride on replies.
    shards : Catalogue
        The pools of the configuration.
    reroute : callable
        ``reroute(running, service, indices)`` asks anew for waiting tasks, in the best pool.
    """

    def __init__(
        self,
        options: settings.DispatchSettings,
        runtime: Runtime,
        peers: peer.Peers,
        membership: membership_ports.Membership,
        gateway: ports.BackendGateway,
        speeds,
        board: report_cache.Board,
        shards: sharding.Catalogue,
        reroute,
    ):
        self.options = options
        self.runtime = runtime
        self.peers = peers
        self.membership = membership
        self.board = board
        self.shards = shards
        self.reroute = reroute
        self.links: dict[str, link.Link] = {}
        self.by_job: dict[job.Job, list[link.Request]] = {}
        self.numbers = itertools.count(1)
        self.own = peers.own
        self.lateness = lateness.Lateness()
        self.sender = task_sender.TaskSender(
            options, runtime, peers, gateway, speeds, shards, reroute, self._flush_soon
        )
        peers.handle(messages.Grants, self.on_grants)
        peers.handle(messages.Recover, self.on_recover)
        peers.handle(messages.Audit, self.on_audit)
        peers.handle(messages.Permit, self.on_permit)
        peers.handle(messages.Stalled, self.on_stalled)

    def start(self) -> None:
        """Begin to follow the membership."""
        self.membership.subscribe(self._on_view)

    def ask(
        self, running: job.Job, service: intent.Service, target: sharding.Shard, indices
    ) -> None:
        """Ask the owner of a pool for slots for waiting tasks of a job."""
        if running.is_closed:
            return
        to = self._link(target)
        self.by_job.setdefault(running, []).append(to.ask(running, service, indices))
        self._flush_soon(to)

    def withdraw(self, running: job.Job) -> None:
        """Stop waiting for slots for a closed job."""
        for request in self.by_job.pop(running, ()):
            request.link.withdraw(request)
            self._flush_soon(request.link)

    def on_grants(self, sender: peer.Peer, told: messages.Grants) -> None:
        """Use slots that came free."""
        to = self.links.get(told.pool)
        if to is None or sender != to.owner or not to.obey(told.ballot):
            # From an owner that is no more: what waits was asked anew under other numbers.
            metric.count(metrics.GRANTS_LATE, len(told.grants))
            return
        delay_s = self.lateness.delay_s(sender, told.sent_at, self.runtime.now())
        self.board.learn(told.pool, told.report)
        self._use(to, told.grants, delay_s > self.options.late_s)

    def on_recover(self, sender: peer.Peer, told: messages.Recover) -> messages.RecoverReply:
        """Tell a new owner which slots are in use, and obey no earlier one from now on."""
        target = self.shards.find(told.pool)
        if target is None:
            return messages.RecoverReply(None)
        to = self._link(target)
        if not to.obey(told.ballot):
            return messages.RecoverReply(to.ballot)
        held = to.held_slots(self.runtime.now())
        to.renew(sender)
        self._flush_soon(to)
        return messages.RecoverReply(None, held)

    def on_audit(self, sender: peer.Peer, told: messages.Audit) -> messages.AuditReply | None:
        """Tell an owner which of its old grants never came; their tasks are asked for anew."""
        to = self.links.get(told.pool)
        if to is None or sender != to.owner or not to.obey(told.ballot):
            return messages.AuditReply(told.leases)
        missing = tuple(one for one in told.leases if tuple(one) not in to.held)
        for request, index in missing:
            self._ask_again(to, messages.Grant(request, index, ""))
        return messages.AuditReply(missing)

    def on_permit(self, sender: peer.Peer, told: messages.Permit) -> messages.PermitReply:
        """Let an owner elsewhere go on granting this data centre's servers, unless superseded."""
        target = self.shards.find(told.pool)
        if target is None:
            return messages.PermitReply(None, is_given=False)
        to = self._link(target)
        if to.obey(told.ballot):
            return messages.PermitReply(None, is_given=True)
        return messages.PermitReply(to.ballot, is_given=False)

    def on_stalled(self, sender: peer.Peer, told: messages.Stalled) -> None:
        """End jobs at once whose task will never be answered; whether it ran is unknown."""
        to = self.links.get(told.pool)
        if to is None or sender != to.owner:
            return
        for key in told.leases:
            held = to.held.get(tuple(key))
            if held is not None:
                held.request.running.fail(
                    code.Code.SERVER_LOST,
                    f"{held.grant.server} does not run the task and has not answered",
                )

    def _link(self, target) -> link.Link:
        found = self.links.get(target.key)
        if found is None:
            found = self.links[target.key] = link.Link(target, self.numbers)
        found.shard = target
        return found

    def _owner(self, to) -> peer.Peer | None:
        owner = self.shards.owner(to.shard.key, self.membership)
        return None if owner is None else owner.peer

    def _on_view(self, old: member.View, new: member.View):
        peers = {one.peer for one in new.members if one.state is not member.State.DEAD}
        self.lateness.forget(lambda sender: sender not in peers)
        self.follow()

    def follow(self) -> None:
        """Ask anew for what waits at an owner that is no longer the owner."""
        # In a new incarnation of this instance the owners know none of its requests.
        is_new = self.own != self.peers.own
        self.own = self.peers.own
        for to in self.links.values():
            if to.requests and (is_new or self._owner(to) != to.owner):
                to.renew(self._owner(to))
                self._flush_soon(to)

    def _flush_soon(self, to):
        if not to.is_flushing:
            to.is_flushing = True
            self.runtime.spawn(self._flush, to)

    def _flush(self, to):
        """Tell the owner everything that has gathered, until nothing is left.

        Whatever gathers while one message is on its way goes with the next.
        """
        try:
            while to.has_news():
                if self.shards.find(to.shard.key) is None:
                    self._abandon(to)
                elif not self._exchange(to):
                    self.runtime.sleep(self.options.tick_s * (0.5 + self.runtime.random()))
        finally:
            to.is_flushing = False

    def _exchange(self, to) -> bool:
        owner = self._owner(to)
        if owner != to.owner:
            to.renew(owner)
        if owner is None:
            self._leave(to)
            return False
        told = self._news(to)
        step.reach(steps.SLOTS_ASKING, self.peers.own.name)
        renewals = to.renewals
        sent_at = self.runtime.now()
        try:
            reply = self.peers.request(owner, told, self.options.request_timeout_s)
        except peer.PeerError as error:
            event.log(events.EXCHANGE_FAILED, pool=told.pool, owner=owner.name, reason=error.code)
            if to.renewals == renewals:
                self._leave(to)
            return False
        if to.renewals != renewals:
            return True  # the owner changed meanwhile; everything was asked anew
        if reply.ballot is None or not to.obey(reply.ballot):
            return False
        for asked in told.requests:
            to.asked.pop(asked.number, None)
        for number in reply.refused:
            self._refused(to, number)
        del to.releases[: len(told.releases)]
        del to.withdrawn[: len(told.withdrawn)]
        now = self.runtime.now()
        self.board.learn(told.pool, reply.report)
        self.lateness.delay_s(owner, reply.sent_at, now)
        self._use(to, reply.grants, now - sent_at > self.options.request_timeout_s)
        return True

    def _abandon(self, to):
        """End what waits for a pool that the configuration no longer has.

        No owner would ever answer for it, and its news would be told again and again.
        """
        for request in to.abandon():
            request.running.fail(code.Code.NO_SERVER, f"{to.shard.key} is no longer declared")

    def _refused(self, to, number):
        """End a job that the pool's full queue did not take in."""
        request = to.requests.pop(number, None)
        if request is not None:
            metric.count(metrics.JOBS_REFUSED)
            request.running.fail(
                code.Code.OVERLOADED, "the queue is full", self.options.refusal_retry_s
            )

    def _news(self, to) -> messages.Exchange:
        """Return everything that the owner has not been told."""
        now = self.runtime.now()
        requests = tuple(
            messages.SlotRequest(
                request.number,
                group_tasks(request.service, request.running, request.waiting),
                max(0.0, request.running.deadline - now),
            )
            for request in to.asked.values()
        )
        return messages.Exchange(
            to.shard.key, to.ballot, requests, tuple(to.releases), tuple(to.withdrawn)
        )

    def _leave(self, to):
        """Ask other pools for what waits at an owner that does not answer.

        The owner may have taken the requests in and may still grant: those grants carry numbers
        that were given up, so they are returned unused and nothing starts twice.
        """
        self.board.avoid(to.shard.key)
        requests = list(to.requests.values())
        for request in requests:
            to.withdraw(request)
        for request in requests:
            if not request.running.is_closed:
                self.reroute(request.running, request.service, tuple(request.waiting))

    def _use(self, to, grants, is_late):
        for grant in grants:
            if (grant.request, grant.index) in to.held:
                continue  # told twice, because an answer was lost
            request = None if is_late else to.take(grant, self.runtime.now())
            if request is not None:
                self.runtime.spawn(self.sender.run_task, to, request, grant)
                continue
            metric.count(metrics.GRANTS_LATE)
            self._release(to, grant, slot_lease.Outcome.UNUSED)
            self._ask_again(to, grant)

    def _ask_again(self, to, grant):
        """Ask anew for a task whose grant can't be used, if it still waits."""
        request = to.give_up(grant)
        if request is not None and not request.running.is_closed:
            self.reroute(request.running, request.service, (grant.index,))

    def _release(self, to, grant, outcome):
        to.release(grant, outcome)
        self._flush_soon(to)


def group_tasks(
    service: intent.Service, running: job.Job, indices
) -> tuple[messages.TaskGroup, ...]:
    """Return waiting tasks of a job, those alike together."""
    groups: dict[tuple, list[int]] = {}
    for index in sorted(indices):
        call = running.request.tasks[index]
        declared = service.task(call.name)
        run_time_s = call.run_time_s or declared.run_time_s
        groups.setdefault((call.name, run_time_s, call.size or declared.size), []).append(index)
    return tuple(
        messages.TaskGroup(name, run_time_s, size, tuple(found))
        for (name, run_time_s, size), found in groups.items()
    )
