"""One entry instance's transport, membership and distribution, as a process for the benchmark.

It prints a line of JSON when it starts and with each generation in force; times are of the
machine's monotonic clock, which all processes share.
"""

import eventlet

eventlet.monkey_patch()

import argparse  # noqa: E402
import json  # noqa: E402
import time  # noqa: E402

from rosedyke.configuration import distribution  # noqa: E402
from rosedyke.configuration import settings as distribution_settings  # noqa: E402
from rosedyke.daemon import eventlet_runtime  # noqa: E402
from rosedyke.gateways import etcd  # noqa: E402
from rosedyke.gateways import settings as gateway_settings  # noqa: E402
from rosedyke.membership import settings as membership_settings  # noqa: E402
from rosedyke.membership import swim  # noqa: E402
from rosedyke.wire import settings as wire_settings  # noqa: E402
from rosedyke.wire import transport  # noqa: E402


def tell(**fields) -> None:
    """Print one line."""
    print(json.dumps({"at": time.monotonic(), **fields}), flush=True)


def main() -> None:
    """Run until ended."""
    parser = argparse.ArgumentParser()
    for name in ("--name", "--data-centre", "--address", "--seeds", "--store"):
        parser.add_argument(name, required=True)
    given = parser.parse_args()
    runtime = eventlet_runtime.GreenRuntime()
    peers = transport.Transport(
        wire_settings.TransportSettings(given.name, given.data_centre, given.address), runtime
    )
    peers.start()
    membership = swim.SwimMembership(
        membership_settings.MembershipSettings(tuple(given.seeds.split(","))), runtime, peers
    )
    membership.start()
    store = etcd.EtcdStore(gateway_settings.StoreSettings((given.store,)), runtime)
    started = distribution.Distribution(
        distribution_settings.DistributionSettings(), runtime, peers, membership, store
    )
    started.subscribe(lambda new: tell(generation=new.generation))
    tell(generation=0)
    started.start()
    while True:
        runtime.sleep(3600)


if __name__ == "__main__":
    main()
