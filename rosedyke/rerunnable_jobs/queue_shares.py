"""Applies new shares of queues to the pools of an instance, and measures their use."""

import collections
from collections.abc import Mapping

import attrs

from rosedyke.observe import metric
from rosedyke.rerunnable_jobs import metrics
from rosedyke.scheduling import shares


def apply(node, new_shares: Mapping[str, shares.QueueShare]) -> None:
    """Replace the shares of a node and of its pools; the next placement uses them.

    Parameters
    ----------
    node : Node
        The node, whose other settings do not change.
    """
    node.timing = attrs.evolve(node.timing, queue_shares=new_shares)
    for owned_pool in node.owned_pools.values():
        owned_pool.timing = node.timing
        owned_pool.wake_scheduler()


def record_usage(node) -> None:
    """Set the gauges of the queues, unless no shares have been set."""
    is_on = node.timing.schedules_by_kind and bool(node.timing.queue_shares)
    if not is_on and metrics.QUEUE_USED.name not in metric.labelled_gauges:
        return
    used: collections.Counter[str] = collections.Counter()
    borrowing: collections.Counter[str] = collections.Counter()
    waiting: collections.Counter[str] = collections.Counter()
    for owned_pool in node.owned_pools.values() if is_on else ():
        used.update(_used(owned_pool))
        for usage in owned_pool.task_scheduler.pressure.services.values():
            if usage.limits is not None:
                borrowing.update(usage.limits.borrowers())
                waiting.update(usage.limits.waiting)
    metric.gauge_by_label(metrics.QUEUE_USED, used)
    metric.gauge_by_label(metrics.QUEUE_BORROWS, borrowing)
    metric.gauge_by_label(metrics.QUEUE_AT_LIMIT, waiting)


def _used(owned_pool):
    used: collections.Counter[str] = collections.Counter()
    for state in owned_pool.server_states.values():
        for run in state.runs.values():
            if run.owned is not None and run.demand is not None:
                used[run.owned.work.queue] += run.demand.millicores
    return used
