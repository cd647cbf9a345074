"""What holders want of a pool's owner: new jobs, renewals, and jobs that they take back."""

from rosedyke.observe import event
from rosedyke.rerun import events, job, messages, owned_job, server_state


class Intake:
    """Takes the messages of holders in for one owner.

    Parameters
    ----------
    owner : PoolOwner
        Whose jobs they are about.
    """

    def __init__(self, owner):
        self.owner = owner

    def submit(self, message: messages.Submit) -> None:
        """Take a job over from a holder, or let a known one follow its caller to a new holder."""
        now = self.owner.runtime.now()
        for known in self._items(message.work.id):
            if known.holder.name != message.holder.name:
                self._leave(known, message, now)
        known = self.owner.jobs.get((message.work.id, message.part))
        if known is not None:
            known.renewed_at = now
            return
        kept = self.owner.kept.get((message.work.id, message.part))
        if kept is not None and kept.covers(message):
            self.owner.tell(message.holder, (message.work.id, message.part), kept)
            return
        item = owned_job.OwnedJob.of(message, now)
        self.owner.add(item)
        if message.may_have_run:
            self.adopt(item)
            self.owner.check_done(item)
        self.owner.schedule()

    def _items(self, job_id):
        return list(self.owner.by_job.get(job_id, ()))

    def _leave(self, known, message, now):
        """Let a job follow its caller, who has sent it again to another holder.

        What runs goes on if the new holder wants just that here; else it is stopped, and the new
        submission starts once it is over.
        """
        event.log(
            events.JOB_MOVED, job=known.work.id, old=known.holder.name, new=message.holder.name
        )
        lost = job.Outcome(job.End.LOST, "sent again elsewhere")
        self.owner.tell(known.holder, known.key, owned_job.Kept(lost, tuple(known.tasks), now))
        if set(known.tasks) == set(message.tasks):
            self.owner.remove(known)
            known.holder, known.part, known.renewed_at = message.holder, message.part, now
            self.owner.add(known)
        else:
            self.owner.drop(known)

    def adopt(self, item):
        """Claim what is running of a job that an earlier owner started."""
        for state in self.owner.states.values():
            for run in state.runs.values():
                task = item.tasks.get(run.task)
                if task is None or run.state is not server_state.RunState.ORPHAN:
                    continue
                if task.state is owned_job.TaskState.PLACED:
                    continue  # a second run of it: stays an orphan and is stopped
                run.demand, run.estimate_s = task.step.demand, task.step.estimate_s
                run.state = server_state.RunState.STARTED
                task.state, task.run = owned_job.TaskState.PLACED, run.number
                task.server_id = state.server.id
        for name, task in item.tasks.items():
            if name in self.owner.found_done and task.state is owned_job.TaskState.WAITING:
                task.state = owned_job.TaskState.DONE

    def renew(
        self, holder: messages.Instance, wanted: tuple[messages.PartKey, ...]
    ) -> tuple[messages.PartKey, ...]:
        """Renew a holder's jobs and return those unknown here.

        The end of one that has ended is told again: that message was lost.
        """
        now = self.owner.runtime.now()
        unknown = []
        for key in wanted:
            item = self.owner.jobs.get(key)
            if item is not None and item.holder.name == holder.name:
                item.renewed_at = now
            elif item is None and key in self.owner.kept:
                self.owner.tell(holder, key, self.owner.kept[key])
            else:
                unknown.append(key)
        return tuple(unknown)

    def cancel(self, job_id: str, holder: str) -> None:
        """Stop a job that its holder no longer wants."""
        for item in self._items(job_id):
            if item.holder.name == holder:
                self.owner.drop(item)

    def withdraw(self, key: messages.PartKey) -> bool:
        """Drop a part of a job; return whether nothing of it has started here or will."""
        item = self.owner.jobs.get(key)
        if item is None:
            kept = self.owner.kept.get(key)
            return kept is not None and kept.outcome.end is job.End.REFUSED
        if item.has_started:
            return False
        self.owner.drop(item)
        return True
