"""Fencing tokens that rise and are never shared, made without asking anyone.

A token is a hybrid logical clock: seconds of the wall clock, or one more than the highest token
seen, in the high bits and the maker's own number in the low bits.  Two instances never make the
same token, and a later owner's is nearly always higher.  Where it isn't, since the wall clock of
one of them is off, the server refuses it before anything has happened, and ``above`` skips ahead.
"""

import ipaddress

# Seconds since 2020-01-01T00:00Z fit 29 bits until 2037; 24 bits of the address make 53 together,
# the largest whole numbers that every JSON reader keeps exact.
EPOCH_S = 1_577_836_800
MAKER_BITS = 24
# A refused token skips this far ahead; wall clocks that step are off by a few seconds.
SKIP_S = 8


def maker_of(address: str) -> int:
    """Return the number of an instance: the low 24 bits of its IP, unique in a private network."""
    host = address.rpartition(":")[0] or address
    return int(ipaddress.ip_address(host)) & ((1 << MAKER_BITS) - 1)


def make(maker: int, wall_s: float, highest: int) -> int:
    """Return a token above ``highest``."""
    seconds = max(int(wall_s) - EPOCH_S, (highest >> MAKER_BITS) + 1)
    return (seconds << MAKER_BITS) | maker


def above(token: int) -> int:
    """Return the token that the same maker tries after a server has refused ``token``."""
    return token + (SKIP_S << MAKER_BITS)
