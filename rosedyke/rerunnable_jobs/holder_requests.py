"""Handles the requests of job holders to a pool's owner: submit, renew, cancel and withdraw."""

from rosedyke.observe import event, metric
from rosedyke.rerunnable_jobs import events, job, messages, metrics, owned_job, server_state


class HolderRequests:
    """Handles the messages of job holders for one owner.

    Parameters
    ----------
    owner : PoolOwner
        The owner of the jobs.
    """

    def __init__(self, owner):
        self.owner = owner

    def submit(self, message: messages.Submit) -> None:
        """Accept a job, or move a known job to the holder that its caller has resubmitted it to."""
        now = self.owner.runtime.now()
        has_started = False
        for existing in self._parts_of(message.work.id):
            if existing.holder.name != message.holder.name:
                has_started |= existing.has_started
                self._move_to_holder(existing, message, now)
        existing = self.owner.jobs.get((message.work.id, message.part))
        if existing is not None:
            existing.renew(now, message.sent_s)
            return
        finished = self.owner.finished.get((message.work.id, message.part))
        if finished is not None and finished.covers(message):
            self.owner.report_outcome(message.holder, (message.work.id, message.part), finished)
            return
        owned = owned_job.OwnedJob.from_message(message, now)
        if has_started or self._has_runs(owned):
            # A refusal would let the caller submit the job again while the runs of its earlier
            # submission are still on servers, as orphans or because they are being stopped.
            owned.has_started = owned.has_started_elsewhere = True
        self._log_unknown_owners(owned, now)
        self.owner.add_job(owned)
        self.owner.resubmissions.record_accepted()
        if message.may_have_run:
            self.adopt(owned)
            self.owner.finish_if_done(owned)
        self.owner.refusals.on_arrival(owned)
        self.owner.wake_scheduler()

    def _log_unknown_owners(self, owned, now):
        """Log the earlier owners of a job for whose leases its tasks have to wait."""
        for former in owned.former_owners:
            lease_end_s = former.left_at + self.owner.timing.holder_lease_end_s - now
            is_known = former.token == self.owner.token or self.owner.predecessors.know(former)
            if is_known or lease_end_s <= 0:
                continue
            metric.count(metrics.EARLIER_OWNERS_UNKNOWN)
            event.log(
                events.EARLIER_OWNER_UNKNOWN,
                job=owned.work.id,
                pool=self.owner.name,
                token=former.token,
                wait_ms=round(lease_end_s * 1000),
            )

    def _has_runs(self, owned):
        """Return whether a server may be running a task of a job that has just arrived."""
        tasks = owned.tasks
        for state in self.owner.server_states.values():
            for (task_name, _), run in state.runs.items():
                if task_name in tasks and not run.is_over:
                    return True
        return False

    def _parts_of(self, job_id):
        return list(self.owner.by_job.get(job_id, ()))

    def _move_to_holder(self, existing, message, now):
        """Move a job to the holder that its caller has resubmitted it to.

        Its runs continue if the new submission has the same tasks.  Otherwise they are stopped, and
        the new submission starts after they have ended.
        """
        event.log(
            events.JOB_MOVED,
            job=existing.work.id,
            old=existing.holder.name,
            new=message.holder.name,
            accepted_ms=round((now - existing.arrived_at) * 1000),
            submitted_ms=round((now - message.sent_s) * 1000),
        )
        lost_outcome = job.Outcome(job.EndState.LOST, "sent again elsewhere")
        self.owner.report_outcome(
            existing.holder,
            existing.key,
            owned_job.FinishedJob(lost_outcome, tuple(existing.tasks), now),
        )
        if set(existing.tasks) == set(message.tasks):
            self.owner.remove_job(existing)
            existing.holder, existing.part = message.holder, message.part
            existing.renew(now, message.sent_s)
            existing.record_earlier_runs(message, now)
            self.owner.add_job(existing)
        else:
            self.owner.cancel_job(existing)

    def adopt(self, owned):
        """Take over a job's runs and completions from an earlier owner."""
        for state in self.owner.server_states.values():
            had_orphans = state.has_orphans()
            for run in state.runs.values():
                task = owned.tasks.get(run.task)
                if task is None or run.state is not server_state.RunState.ORPHAN:
                    continue
                if task.state is not owned_job.TaskState.WAITING:
                    continue  # a duplicate run stays an orphan and is stopped
                run.owned, run.demand, run.estimate_s = (
                    owned,
                    task.step.demand,
                    task.step.estimate_s,
                )
                run.state = server_state.RunState.STARTED
                task.state, task.run_number = owned_job.TaskState.PLACED, run.number
                task.server_id = state.server.id
                owned.has_started = owned.has_started_elsewhere = True
            if had_orphans and not state.has_orphans():
                self.owner.runtime.spawn(self.owner.commands.renew_lease, state)
        for name, task in owned.tasks.items():
            if name in self.owner.completed_tasks and task.state is owned_job.TaskState.WAITING:
                task.state = owned_job.TaskState.DONE
                owned.has_started = owned.has_started_elsewhere = True

    def renew(
        self, holder: messages.Instance, wanted: tuple[messages.PartKey, ...], sent_at: float
    ) -> tuple[messages.PartKey, ...]:
        """Renew a holder's jobs and return the unknown ones.

        The outcome of a finished job is sent again, because its message was lost.

        Parameters
        ----------
        sent_at : float
            When the holder sent the renewal, on the local clock.
        """
        now = self.owner.runtime.now()
        unknown = []
        for key in wanted:
            owned = self.owner.jobs.get(key)
            if owned is not None and owned.holder.name == holder.name:
                owned.renew(now, sent_at)
            elif owned is None and key in self.owner.finished:
                self.owner.report_outcome(holder, key, self.owner.finished[key])
            else:
                unknown.append(key)
        return tuple(unknown)

    def cancel(self, job_id: str, holder: str) -> None:
        """Cancel a job for its holder."""
        for owned in self._parts_of(job_id):
            if owned.holder.name == holder:
                self.owner.cancel_job(owned)

    def cancel_by_caller(self, job_id: str) -> None:
        """Cancel a job that a caller has cancelled, and tell its holder."""
        for owned in self._parts_of(job_id):
            self.owner.finish(owned, job.CANCELLED_BY_CALLER)

    def report_cancelled(self, message: messages.Submit) -> None:
        """Answer the submission of a job that a caller has cancelled."""
        finished = owned_job.FinishedJob(
            job.CANCELLED_BY_CALLER, message.tasks, self.owner.runtime.now()
        )
        key = (message.work.id, message.part)
        self.owner.report_outcome(message.holder, key, finished)

    def withdraw(self, key: messages.PartKey) -> messages.Withdrawn:
        """Cancel a part of a job unless it has started.

        A part that is not known here may have been started by an earlier owner, or have ended too
        long ago, so the answer confirms nothing.
        """
        owned = self.owner.jobs.get(key)
        if owned is None:
            finished = self.owner.finished.get(key)
            if finished is None:
                return messages.Withdrawn(False)
            is_refused = finished.outcome.end is job.EndState.REFUSED
            return messages.Withdrawn(is_refused, has_started=not is_refused)
        if owned.has_started:
            return messages.Withdrawn(False, has_started=True)
        self.owner.cancel_job(owned)
        return messages.Withdrawn(True)
