"""HTTP requests to several instances concurrently, with the reasons for those that failed."""

import concurrent.futures
from collections.abc import Callable
from typing import Any

import attrs
import msgspec
import urllib3

from rosedyke import fault

REQUEST_TIMEOUT_S = 3.0
MAX_CONCURRENT_REQUESTS = 32


class InstanceUnreachable(fault.RosedykeError):
    """An instance could not be reached or sent no valid answer."""

    code = "instance_unreachable"


@attrs.frozen
class FetchResult:
    """Answers of several instances.

    Attributes
    ----------
    values : dict of str to object
        Decoded answer by address.
    unreachable : dict of str to str
        Reason by address, for instances without a valid answer.
    """

    values: dict[str, Any]
    unreachable: dict[str, str]


def request(
    method: str, address: str, path: str, decode: Callable[[bytes], Any], timeout_s: float
) -> Any:
    """Send a request to one instance and return the decoded answer.

    Raises
    ------
    InstanceUnreachable
        There is no answer, or it can't be decoded.
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
    timeout_s: float = REQUEST_TIMEOUT_S,
) -> FetchResult:
    """Send a GET request to every instance."""
    fetch_result = FetchResult({}, {})
    with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_REQUESTS) as pool:
        pending = {
            address: pool.submit(request, "GET", address, path, decode, timeout_s)
            for address in addresses
        }
        for address, future in pending.items():
            try:
                fetch_result.values[address] = future.result()
            except InstanceUnreachable as error:
                fetch_result.unreachable[address] = str(error)
    return fetch_result
