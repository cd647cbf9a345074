"""The renewals between instances: who is alive, which jobs are wanted, what owners report."""

from rosedyke.observe import metric
from rosedyke.rerun import messages, metrics
from rosedyke.wire import peer

# A renewal without answer is given up; the next ones are on their way by then.
RENEWAL_TIMEOUT_S = 0.3


class Renewal:
    """Renews with the others for one node, and answers their renewals.

    Attributes
    ----------
    renewing : set of str
        Instances whose answer is awaited.
    asked : dict of str to float
        When each instance was asked last.
    ticked_at : float
        When the loop ran last.
    """

    def __init__(self, node):
        self.node = node
        self.renewing: set[str] = set()
        self.asked: dict[str, float] = {}
        self.ticked_at = node.runtime.now()

    def run(self):
        """Renew with all owners and neighbours for as long as the node runs."""
        while self.node.is_running:
            self._check_pause()
            for instance in self._targets():
                if instance.name not in self.renewing:
                    self.renewing.add(instance.name)
                    self.node.runtime.spawn(self.renew, instance)
            held_here = self.node.holder.renewed(self.node.own.name)
            for each in list(self.node.owned.values()):
                each.renew(self.node.own, held_here)
                report = each.recent_report()
                self.node.fleet.take_report(self.node.own, report, self.node.runtime.now())
            metric.gauge(metrics.POOLS, len(self.node.owned))
            metric.gauge(metrics.HELD, len(self.node.holder.jobs))
            self.node.handover.return_pools()
            self.node.holder.check_owners()
            self.node.fleet.forget_old()
            self.node.runtime.sleep(self.node.times.renew_s)

    def _check_pause(self):
        now = self.node.runtime.now()
        if now - self.ticked_at > self.node.times.pause_s + self.node.times.renew_s:
            self.node.fleet.after_pause()
            for each in list(self.node.owned.values()):
                each.stand_down("the process stood still")
        self.ticked_at = now

    def _targets(self):
        """Return who is to be renewed now.

        Owners that this instance watches are renewed each time, to notice at once when they fall
        silent, and in a small fleet also those that have jobs of this instance.  All others are
        asked less often, which leaves out half of all messages on a quiet day.
        """
        fleet = self.node.fleet
        is_blind = len(fleet.pools) < len(self.node.pools.names()) or not fleet.pools
        blind_s = self.node.times.renew_s * (fleet.stretch - 1)
        with_jobs = self.node.holder.owners()
        found = {}
        for pool, known in fleet.pools.items():
            target = known.claim.owner
            has_jobs = target.name in with_jobs
            interval_s = fleet.job_renewal_s() if has_jobs else fleet.neighbour_s()
            if self._is_due(target, interval_s) or self.node.succession.is_watcher(
                pool, known.claim
            ):
                found[target.name] = target
        for target in fleet.instances().values():
            is_near = target.data_centre == self.node.own.data_centre
            interval_s = blind_s if is_blind else fleet.neighbour_s()
            if (is_blind or is_near) and self._is_due(target, interval_s):
                found[target.name] = target
        if not found and not self.node.fleet.pools:
            found = {each.name: each for each in self.node.seeds}
        found.pop(self.node.own.name, None)
        return list(found.values())

    def _is_due(self, instance, interval_s):
        asked_at = self.asked.get(instance.name)
        return asked_at is None or self.node.runtime.now() - asked_at >= interval_s

    def renew(self, instance):
        """Renew with one instance and take its report in."""
        asked_at = self.asked[instance.name] = self.node.runtime.now()
        message = messages.Renew(
            self.node.own,
            self.node.holder.renewed(instance.name),
            self.node.fleet.tokens(),
            self.node.documents.revisions(),
        )
        try:
            report = self.node.peers.request(
                peer.at_address(instance.address), message, RENEWAL_TIMEOUT_S
            )
        except peer.PeerOutdated as error:
            # The wall clock was behind at the start, so peers take this life for an earlier one.
            self.node.peers.new_incarnation(error.newest)
            return
        except peer.PeerError:
            return  # how long the peer has been silent is judged, and logged, where it matters
        finally:
            self.renewing.discard(instance.name)
        self._on_report(report, asked_at)

    def _on_report(self, report, asked_at):
        self.node.fleet.note(report.sender)
        for claim in report.claims:
            self.node.fleet.take_claim(claim)
        named = {each.pool for each in report.pools}
        for pool, known in list(self.node.fleet.pools.items()):
            if known.claim.owner.name == report.sender.name and pool not in named:
                self.node.fleet.disclaim(pool, report.sender.name)
        for each in report.pools:
            self.node.fleet.take_report(report.sender, each, report.clock_s)
        self.node.holder.on_unknown(report.unknown, asked_at)
        self.node.following.follow(report.sender, report.revisions)

    def on_renew(self, sender, message):
        """Take a renewal in and report."""
        self.node.fleet.note(message.sender)
        unknown = set(message.parts)
        for each in self.node.owned.values():
            unknown &= set(each.renew(message.sender, message.parts))
        self.node.following.follow(message.sender, message.revisions)
        return messages.Report(
            self.node.own,
            tuple(sorted(unknown)),
            self.node.runtime.now(),
            tuple(each.recent_report() for each in self.node.owned.values()),
            self.node.fleet.newer_claims(message.tokens),
            self.node.documents.revisions(),
        )
