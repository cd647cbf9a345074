"""Tells when the order of a pool's queue must prefer urgent work.

Load: jobs of different priorities compete for a pool whose servers are nearly full.  Below that,
each task is placed when it arrives, and no order makes a difference.
"""

# Utilisation, with the waiting work, above which a pool is under pressure.
PRESSURE_UTILISATION = 0.7
# Largest share of a pool that priority 0 uses while it comes first, so that other priorities make
# progress.
MAX_URGENT_SHARE = 0.5


def is_under_pressure(used: int, waiting: int, capacity: int) -> bool:
    """Return whether a pool's utilisation, with the waiting work, is high; all in millicores."""
    return used + waiting > PRESSURE_UTILISATION * capacity


def is_urgent_first(used_by_urgent: int, capacity: int) -> bool:
    """Return whether priority 0 comes first, by the millicores that it uses."""
    return used_by_urgent <= MAX_URGENT_SHARE * capacity
