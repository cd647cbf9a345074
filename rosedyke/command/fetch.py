"""Asks several instances at one time over HTTP, and says which could not be reached."""

import concurrent.futures
from collections.abc import Callable
from typing import Any

import attrs
import msgspec
import urllib3

from rosedyke import fault

TIMEOUT_S = 3.0
MAX_AT_ONCE = 32


class InstanceUnreachable(fault.RosedykeError):
    """An instance did not answer."""

    code = "instance_unreachable"


@attrs.frozen
class Fetched:
    """What the instances said.

    Attributes
    ----------
    values : dict of str to object
        By address, of those that answered.
    unreachable : dict of str to str
        The reason by address, of the others.
    """

    values: dict[str, Any]
    unreachable: dict[str, str]


def request(
    method: str, address: str, path: str, decode: Callable[[bytes], Any], timeout_s: float
) -> Any:
    """Ask one instance.

    Raises
    ------
    InstanceUnreachable
        No answer, or none of ours.
    """
    try:
        response = urllib3.PoolManager(retries=False).request(
            method, f"http://{address}{path}", timeout=timeout_s
        )
        if response.status not in (200, 202):
            raise InstanceUnreachable(f"status {response.status}; is it the operator address?")
        return decode(response.data)
    except urllib3.exceptions.NewConnectionError as error:
        raise InstanceUnreachable("no connection") from error
    except urllib3.exceptions.TimeoutError as error:
        raise InstanceUnreachable(f"no answer within {timeout_s:g} s") from error
    except urllib3.exceptions.HTTPError as error:
        raise InstanceUnreachable(str(error)) from error
    except (msgspec.DecodeError, ValueError) as error:
        raise InstanceUnreachable(f"not an answer of an instance: {error}") from error


def fetch_all(
    addresses: tuple[str, ...],
    path: str,
    decode: Callable[[bytes], Any],
    timeout_s: float = TIMEOUT_S,
) -> Fetched:
    """Ask every instance with GET."""
    fetched = Fetched({}, {})
    with concurrent.futures.ThreadPoolExecutor(MAX_AT_ONCE) as pool:
        asked = {
            address: pool.submit(request, "GET", address, path, decode, timeout_s)
            for address in addresses
        }
        for address, future in asked.items():
            try:
                fetched.values[address] = future.result()
            except InstanceUnreachable as error:
                fetched.unreachable[address] = str(error)
    return fetched
