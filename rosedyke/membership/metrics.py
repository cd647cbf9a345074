"""Metrics of the membership."""

from rosedyke.observe import metric

PROBES = metric.define("membership.probes", "counter", "Direct probes sent.")
PROBES_MISSED = metric.define("membership.probes_missed", "counter", "Direct probes unanswered.")
SUSPICIONS = metric.define("membership.suspicions", "counter", "Suspicions begun here.")
REFUTED = metric.define("membership.refuted", "counter", "Suspicions of the own instance refuted.")
DEATHS = metric.define("membership.deaths", "counter", "Members declared dead by this instance.")
REJOINS = metric.define("membership.rejoins", "counter", "New incarnations of this instance.")
MEMBERS = metric.define("membership.members", "gauge", "Members in the view that are not dead.")
UNREACHABLE = metric.define(
    "membership.unreachable_data_centres", "gauge", "Data centres that no relay reaches."
)
