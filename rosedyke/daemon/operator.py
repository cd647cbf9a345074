"""The operators' HTTP interface of one instance.

It listens on an address of its own.  Paths that are not the operators' go to the callers'
application, so that one list of addresses serves every command of the command-line tool.
"""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

import attrs
import msgspec

from rosedyke import runtime
from rosedyke.callers import application
from rosedyke.configuration import ports as configuration_ports
from rosedyke.daemon import events, gate, recorder
from rosedyke.membership import ports as membership_ports
from rosedyke.observe import burn_rate, event, metric

PREFIX = "/v1/operator/"


class ServerLoads(Protocol):
    """What is known here about backend servers' use of slots."""

    def in_use(self, server_name: str) -> int | None:
        """Return the slots in use as far as this instance knows, None if it does not."""

    def state(self, server_name: str) -> str:
        """Return ``ok``, ``leaving``, ``ejected`` or ``unknown``."""


@attrs.frozen
class MemberStatus:
    """A member as this instance sees it."""

    name: str
    data_centre: str
    state: str
    incarnation: int
    address: str


@attrs.frozen
class ServerStatus:
    """A backend server as this instance sees it."""

    name: str
    service: str
    data_centre: str
    slots: int
    in_use: int | None
    state: str


@attrs.frozen
class InstanceStatus:
    """What ``rosedyke status`` shows of one instance.

    Attributes
    ----------
    name : str
        The instance.
    incarnation : int
        Its present life.
    region : str
        Where it runs.
    data_centre : str
        Where it runs.
    generation : int
        The configuration in force here, 0 for none.
    ready : bool
        Whether it takes jobs.
    reason : str
        Why not.
    uptime_s : float
        Since its start.
    requests : int
        Requests of callers in progress.
    members : tuple of MemberStatus
        Whom it sees.
    servers : tuple of ServerStatus
        The backend servers of its configuration.
    counters : dict of str to int
        Every counter since the start.
    gauges : dict of str to float
        Every gauge.
    """

    name: str
    incarnation: int
    region: str
    data_centre: str
    generation: int
    ready: bool
    reason: str
    uptime_s: float
    requests: int
    members: tuple[MemberStatus, ...]
    servers: tuple[ServerStatus, ...]
    counters: dict[str, int]
    gauges: dict[str, float]


class OperatorApplication:
    """Serves the operators' paths.

    Parameters
    ----------
    region : str
        The instance's region.
    clock : Runtime
        Tells the time.
    current : Current
        The configuration in force.
    membership : Membership
        The view.
    entrance : Gate
        Readiness.
    ledger : Recorder
        Counts against objectives.
    callers : Application
        Serves all other paths.
    loads : ServerLoads
        The use of backend servers.
    on_drain : callable
        Begins a graceful shutdown.
    """

    def __init__(
        self,
        region: str,
        clock: runtime.Runtime,
        current: configuration_ports.Current,
        membership: membership_ports.Membership,
        entrance: gate.Gate,
        ledger: recorder.Recorder,
        callers: application.Application,
        loads: ServerLoads,
        on_drain: Callable[[], None],
    ):
        self.region = region
        self.clock = clock
        self.current = current
        self.membership = membership
        self.entrance = entrance
        self.ledger = ledger
        self.callers = callers
        self.loads = loads
        self.on_drain = on_drain
        self.started = clock.now()

    def __call__(self, environ: dict[str, Any], start_response) -> Iterable[bytes]:
        """Serve one request."""
        path = environ["PATH_INFO"]
        if not path.startswith(PREFIX):
            return self.callers(environ, start_response)
        try:
            return self._serve(path, environ, start_response)
        except Exception:
            event.log(events.OPERATOR_REQUEST_FAILED, exc_info=True, path=path)
            content = b"the request failed; see event 7010 in the log\n"
            return application.plain(start_response, "500 Internal Server Error", content)

    def _serve(self, path, environ, start_response):
        method = environ["REQUEST_METHOD"]
        if (method, path) == ("GET", PREFIX + "status"):
            return _json(start_response, "200 OK", self.status())
        if (method, path) == ("GET", PREFIX + "burn"):
            own = self.membership.own
            return _json(start_response, "200 OK", self.ledger.counts(own.name, own.data_centre))
        if (method, path) == ("POST", PREFIX + "drain"):
            self.on_drain()
            return _json(start_response, "202 Accepted", self.status())
        return self.callers(environ, start_response)

    def status(self) -> InstanceStatus:
        """Return the present state of the instance."""
        refusal = self.entrance.refusal()
        own = self.membership.own
        configuration = self.current.configuration
        return InstanceStatus(
            name=own.name,
            incarnation=own.peer.incarnation,
            region=self.region,
            data_centre=own.data_centre,
            generation=configuration.generation if configuration else 0,
            ready=refusal is None,
            reason=refusal.detail if refusal else "",
            uptime_s=self.clock.now() - self.started,
            requests=self.callers.in_progress,
            members=tuple(self._members()),
            servers=tuple(self._servers(configuration)),
            counters=dict(metric.counts),
            gauges=dict(metric.gauges),
        )

    def _members(self):
        for one in self.membership.view.members:
            yield MemberStatus(
                one.name,
                one.data_centre,
                one.state.value,
                one.peer.incarnation,
                one.peer.address,
            )

    def _servers(self, configuration):
        if configuration is None:
            return
        for team in configuration.teams:
            for service in team.services:
                for server in service.servers:
                    leaving = self.current.is_leaving(server.name)
                    yield ServerStatus(
                        server.name,
                        service.name,
                        server.data_centre,
                        server.slots,
                        self.loads.in_use(server.name),
                        "leaving" if leaving else self.loads.state(server.name),
                    )


def decode_status(content: bytes) -> InstanceStatus:
    """Return the status that another instance sent."""
    return msgspec.json.decode(content, type=InstanceStatus)


def decode_burn(content: bytes) -> burn_rate.InstanceCounts:
    """Return the counts that another instance sent."""
    return msgspec.json.decode(content, type=burn_rate.InstanceCounts)


def _json(start_response, status: str, value: object) -> list[bytes]:
    content = msgspec.json.encode(value) + b"\n"
    start_response(
        status, [("Content-Type", "application/json"), ("Content-Length", str(len(content)))]
    )
    return [content]
