"""HTTP interface of an instance for operators, on an address of its own.

Requests for other paths are passed to the callers' application, so that every command of the
command-line tool can use the same list of addresses.
"""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

import attrs
import msgspec

from rosedyke import runtime
from rosedyke.callers import application
from rosedyke.configuration import ports as configuration_ports
from rosedyke.daemon import events, readiness, slo_recorder
from rosedyke.membership import ports as membership_ports
from rosedyke.observe import burn_rate, event, metric

PATH_PREFIX = "/v1/operator/"


class ServerUsage(Protocol):
    """Slot usage and state of backend servers, as far as this instance knows them."""

    def in_use(self, server_name: str) -> int | None:
        """Return the number of slots in use, None if this instance does not know it."""

    def state(self, server_name: str) -> str:
        """Return ``ok``, ``leaving``, ``ejected`` or ``unknown``."""


@attrs.frozen
class MemberStatus:
    """A member in the membership view of this instance."""

    name: str
    data_centre: str
    state: str
    incarnation: int
    address: str


@attrs.frozen
class ServerStatus:
    """A backend server in the configuration of this instance."""

    name: str
    service: str
    data_centre: str
    slots: int
    in_use: int | None
    state: str


@attrs.frozen
class InstanceStatus:
    """Status of one instance, shown by ``rosedyke status``.

    Attributes
    ----------
    name : str
        Name of the instance.
    incarnation : int
        Its current incarnation number.
    region : str
        Its region.
    data_centre : str
        Its data centre.
    generation : int
        Generation of the configuration in force, 0 for none.
    ready : bool
        Whether it accepts jobs.
    reason : str
        Why it is not ready; empty if it is.
    uptime_s : float
        Seconds since its start.
    requests : int
        Number of callers' requests in progress.
    members : tuple of MemberStatus
        Its membership view.
    servers : tuple of ServerStatus
        The backend servers of its configuration.
    counters : dict of str to int
        Values of all counters since its start.
    gauges : dict of str to float
        Values of all gauges.
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
    """WSGI application for the operators' paths.

    Parameters
    ----------
    region : str
        Region of the instance.
    clock : Runtime
        Provides the time.
    current : ConfigurationSource
        Provides the configuration in force.
    membership : Membership
        Provides the membership view.
    readiness_check : ReadinessCheck
        Tells whether the instance accepts jobs.
    recorder : SloRecorder
        Counts answers against service-level objectives.
    callers : Application
        Serves all other paths.
    server_usage : ServerUsage
        Provides slot usage and state of backend servers.
    on_drain : callable
        Starts a graceful shutdown.
    """

    def __init__(
        self,
        region: str,
        clock: runtime.Runtime,
        current: configuration_ports.ConfigurationSource,
        membership: membership_ports.Membership,
        readiness_check: readiness.ReadinessCheck,
        recorder: slo_recorder.SloRecorder,
        callers: application.Application,
        server_usage: ServerUsage,
        on_drain: Callable[[], None],
    ):
        self.region = region
        self.clock = clock
        self.current = current
        self.membership = membership
        self.readiness_check = readiness_check
        self.recorder = recorder
        self.callers = callers
        self.server_usage = server_usage
        self.on_drain = on_drain
        self.started_at = clock.now()

    def __call__(self, environ: dict[str, Any], start_response) -> Iterable[bytes]:
        """Serve one request."""
        path = environ["PATH_INFO"]
        if not path.startswith(PATH_PREFIX):
            return self.callers(environ, start_response)
        try:
            return self._serve(path, environ, start_response)
        except Exception:
            event.log(events.OPERATOR_REQUEST_FAILED, exc_info=True, path=path)
            content = b"the request failed; see event 7010 in the log\n"
            return application.text_response(start_response, "500 Internal Server Error", content)

    def _serve(self, path, environ, start_response):
        method = environ["REQUEST_METHOD"]
        if (method, path) == ("GET", PATH_PREFIX + "status"):
            return _json(start_response, "200 OK", self.status())
        if (method, path) == ("GET", PATH_PREFIX + "burn"):
            local_member = self.membership.own
            return _json(
                start_response,
                "200 OK",
                self.recorder.counts(local_member.name, local_member.data_centre),
            )
        if (method, path) == ("POST", PATH_PREFIX + "drain"):
            self.on_drain()
            return _json(start_response, "202 Accepted", self.status())
        return self.callers(environ, start_response)

    def status(self) -> InstanceStatus:
        """Return the current status of the instance."""
        refusal = self.readiness_check.refusal()
        local_member = self.membership.own
        configuration = self.current.configuration
        return InstanceStatus(
            name=local_member.name,
            incarnation=local_member.peer.incarnation,
            region=self.region,
            data_centre=local_member.data_centre,
            generation=configuration.generation if configuration else 0,
            ready=refusal is None,
            reason=refusal.detail if refusal else "",
            uptime_s=self.clock.now() - self.started_at,
            requests=self.callers.in_progress,
            members=tuple(self._members()),
            servers=tuple(self._servers(configuration)),
            counters=dict(metric.counts),
            gauges=dict(metric.gauges),
        )

    def _members(self):
        for member in self.membership.view.members:
            yield MemberStatus(
                member.name,
                member.data_centre,
                member.state.value,
                member.peer.incarnation,
                member.peer.address,
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
                        self.server_usage.in_use(server.name),
                        "leaving" if leaving else self.server_usage.state(server.name),
                    )


def decode_status(content: bytes) -> InstanceStatus:
    """Decode the status of an instance."""
    return msgspec.json.decode(content, type=InstanceStatus)


def decode_burn(content: bytes) -> burn_rate.InstanceCounts:
    """Decode the outcome counts of an instance."""
    return msgspec.json.decode(content, type=burn_rate.InstanceCounts)


def _json(start_response, status: str, value: object) -> list[bytes]:
    content = msgspec.json.encode(value) + b"\n"
    start_response(
        status, [("Content-Type", "application/json"), ("Content-Length", str(len(content)))]
    )
    return [content]
