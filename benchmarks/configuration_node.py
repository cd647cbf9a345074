"""Process of the propagation benchmark: transport, membership and distribution of one instance.

Prints a JSON line at the start and for each generation that it applies.  Timestamps are of the
monotonic clock, which all processes of a machine share.
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


def print_record(**fields) -> None:
    """Print a JSON line with a timestamp."""
    print(json.dumps({"at": time.monotonic(), **fields}), flush=True)


def main() -> None:
    """Run until terminated."""
    parser = argparse.ArgumentParser()
    for name in ("--name", "--data-centre", "--address", "--seeds", "--store"):
        parser.add_argument(name, required=True)
    arguments = parser.parse_args()
    runtime = eventlet_runtime.GreenRuntime()
    peer_transport = transport.Transport(
        wire_settings.TransportSettings(arguments.name, arguments.data_centre, arguments.address),
        runtime,
    )
    peer_transport.start()
    membership = swim.SwimMembership(
        membership_settings.MembershipSettings(tuple(arguments.seeds.split(","))),
        runtime,
        peer_transport,
    )
    membership.start()
    store = etcd.EtcdStore(gateway_settings.StoreSettings((arguments.store,)), runtime)
    distributor = distribution.Distribution(
        distribution_settings.DistributionSettings(), runtime, peer_transport, membership, store
    )
    distributor.subscribe(lambda snapshot: print_record(generation=snapshot.generation))
    print_record(generation=0)
    distributor.start()
    while True:
        runtime.sleep(3600)


if __name__ == "__main__":
    main()
