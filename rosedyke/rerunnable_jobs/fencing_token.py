"""Generates unique, increasing fencing tokens without coordination.

A token is a hybrid logical clock.  Its high bits are the wall clock in seconds, or one more than
the highest value seen; its low bits identify the instance.  Tokens are therefore unique, and a
later owner's is normally higher.  If clock skew makes it lower, servers refuse it without side
effects, and ``skip_ahead`` returns a higher one.
"""

import ipaddress

# Seconds since 2020-01-01T00:00Z fit in 29 bits until 2037.  With 24 bits of the address a token
# has 53 bits, which JSON parsers that use doubles keep exact.
EPOCH_S = 1_577_836_800
INSTANCE_BITS = 24
# Larger than the usual clock skew of a few seconds.
CLOCK_SKIP_S = 8


def instance_number(address: str) -> int:
    """Return the low 24 bits of an instance's IP address, which are unique in a private network."""
    host = address.rpartition(":")[0] or address
    return int(ipaddress.ip_address(host)) & ((1 << INSTANCE_BITS) - 1)


def next_token(instance_bits: int, wall_clock_s: float, highest_seen: int) -> int:
    """Return a token higher than ``highest_seen``."""
    seconds = max(int(wall_clock_s) - EPOCH_S, (highest_seen >> INSTANCE_BITS) + 1)
    return (seconds << INSTANCE_BITS) | instance_bits


def skip_ahead(token: int) -> int:
    """Return the next token for the same instance to try after a server refused ``token``."""
    return token + (CLOCK_SKIP_S << INSTANCE_BITS)
