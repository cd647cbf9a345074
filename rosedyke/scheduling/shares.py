"""Weights and limits by which queues of one priority share a pool under pressure.

Load: queues of the same priority compete for a pool under pressure, and an operator wants one of
them to get more of it, or never more than a certain share.
"""

from collections.abc import Mapping
from typing import Any

import attrs

MAX_WEIGHT = 1000
MAX_LIMIT = 1


@attrs.frozen
class QueueShare:
    """The share of one queue.

    Attributes
    ----------
    weight : float
        The next place of a priority goes to the queue with the least used capacity divided by its
        weight.
    limit : float
        Largest share of a pool's capacity that the running tasks of the queue use while other
        queues want the capacity.
    """

    weight: float = 1.0
    limit: float = 1.0


DEFAULT = QueueShare()

# Upper bound of each key; the lower bound is 0, which is excluded.
_BOUNDS = {"weight": MAX_WEIGHT, "limit": MAX_LIMIT}


@attrs.frozen
class ShareError:
    """An invalid entry of the setting.

    Attributes
    ----------
    queue : str
        Name of the queue.
    key : str
        The key of its table; empty if the error concerns the whole table.
    expected : str
        What is valid there.
    found : str
        What was found instead.
    """

    queue: str
    key: str
    expected: str
    found: str

    def __str__(self) -> str:
        location = f"queue {self.queue!r}" + (f", key {self.key!r}" if self.key else "")
        return f"{location}: expected {self.expected}, not {self.found}"


def parse(
    document: Mapping[str, Any],
) -> tuple[dict[str, QueueShare], tuple[ShareError, ...]]:
    """Return the share of each queue of a decoded document, and all errors in it.

    Parameters
    ----------
    document : mapping of str to object
        A table for each queue, with the keys ``weight`` and ``limit``, both optional.
    """
    shares, errors = {}, []
    for queue, table in document.items():
        found = _table_errors(queue, table)
        errors += found
        if not found:
            shares[queue] = QueueShare(**{key: float(value) for key, value in table.items()})
    return shares, tuple(errors)


def _table_errors(queue, table):
    if not isinstance(table, dict):
        return [ShareError(queue, "", "a table", _shortened(table))]
    errors = []
    for key, value in table.items():
        if key not in _BOUNDS:
            keys = " or ".join(repr(name) for name in _BOUNDS)
            errors.append(ShareError(queue, key, f"the key {keys}", "this one"))
        elif not _is_in_bounds(value, _BOUNDS[key]):
            expected = f"a number above 0 and at most {_BOUNDS[key]}"
            errors.append(ShareError(queue, key, expected, _shortened(value)))
    return errors


def _is_in_bounds(value, maximum):
    # ``bool`` is a subclass of ``int``, and every comparison with NaN is false.
    return type(value) in (int, float) and 0 < value <= maximum


def _shortened(value):
    text = repr(value)
    return text if len(text) <= 40 else text[:40] + "..."


def share_of(shares: Mapping[str, QueueShare], queue: str) -> QueueShare:
    """Return the share of a queue."""
    return shares.get(queue, DEFAULT)


def has_limits(shares: Mapping[str, QueueShare]) -> bool:
    """Return whether any queue has a limit below the whole pool."""
    return any(share.limit < MAX_LIMIT for share in shares.values())


def is_over_limit(share: QueueShare, used: int, millicores: int, capacity: int) -> bool:
    """Return whether one more task would use more than the limit of its queue allows.

    A queue that uses nothing is never over its limit.  Otherwise a queue whose tasks are larger
    than its limit would never run while others wait.

    Parameters
    ----------
    used : int
        Millicores that the running tasks of the queue use.
    millicores : int
        Demand of the task.
    capacity : int
        Millicores of the pool.
    """
    if share.limit >= MAX_LIMIT or not used:
        return False
    # Rounded, since 0.29 * 100 is less than 29.
    return used + millicores > round(share.limit * capacity)
