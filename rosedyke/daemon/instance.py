"""An entry instance: builds its components, and starts and stops them in order."""

import attrs

from rosedyke import runtime as runtime_module
from rosedyke.callers import application, server
from rosedyke.configuration import distribution, storage
from rosedyke.configuration import settings as configuration_settings
from rosedyke.daemon import (
    eventlet_runtime,
    events,
    operator_api,
    readiness,
    server_usage,
    shutdown,
    slo_recorder,
)
from rosedyke.daemon import settings as settings_module
from rosedyke.dispatch import dispatcher
from rosedyke.dispatch import settings as dispatch_settings
from rosedyke.gateways import backend, etcd
from rosedyke.gateways import settings as gateway_settings
from rosedyke.job import manager
from rosedyke.job import settings as job_settings
from rosedyke.membership import settings as membership_settings
from rosedyke.membership import swim
from rosedyke.observe import event, metric, statsd_reporter
from rosedyke.wire import settings as wire_settings
from rosedyke.wire import transport

SEED_REFRESH_PERIOD_S = 10.0
# For a forced shutdown; otherwise the members have acknowledged it during the drain.
LEAVE_TIMEOUT_S = 0.3


class Instance:
    """All components of one entry instance.

    Peers can send messages as soon as the transport is bound, so all message handlers are
    registered before the membership announces the instance.  The callers' server starts last.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    runtime : Runtime
        Provides time and tasks; by default a ``GreenRuntime``.
    """

    def __init__(
        self,
        settings: settings_module.InstanceSettings,
        runtime: runtime_module.Runtime | None = None,
    ):
        self.settings = settings
        self.job_manager_settings = job_settings.JobSettings(data_centres=settings.data_centres)
        self.runtime = runtime or eventlet_runtime.GreenRuntime()
        self.transport = transport.Transport(
            wire_settings.TransportSettings(
                settings.name, settings.data_centre, settings.peer_address, settings.peer_key
            ),
            self.runtime,
        )
        # The address is known only after binding, and the components below need it.
        self.transport.start()
        self.membership = swim.SwimMembership(
            membership_settings.MembershipSettings(seeds=settings.seeds),
            self.runtime,
            self.transport,
        )
        self.store = etcd.EtcdStore(
            gateway_settings.StoreSettings(endpoints=settings.store), self.runtime
        )
        self.current = distribution.Distribution(
            configuration_settings.DistributionSettings(keys=storage.Keys(settings.store_prefix)),
            self.runtime,
            self.transport,
            self.membership,
            self.store,
        )
        self.gateway = backend.HttpBackendGateway(gateway_settings.BackendSettings(), self.runtime)
        self.dispatcher = dispatcher.FleetDispatcher(
            dispatch_settings.DispatchSettings(),
            self.runtime,
            self.transport,
            self.membership,
            self.current,
            self.gateway,
        )
        self.manager = manager.JobManager(
            self.job_manager_settings,
            self.runtime,
            self.transport,
            self.membership,
            self.dispatcher,
        )
        self.logged_reason: str | None = None
        self._build_interfaces()

    def _build_interfaces(self):
        settings = self.settings
        callers_settings = attrs.evolve(
            settings.callers, unknown_age_s=self.job_manager_settings.max_age_s
        )
        self.readiness = readiness.ReadinessCheck(self.current, self.membership)
        self.recorder = slo_recorder.SloRecorder(self.runtime, self.current)
        self.application = application.Application(
            callers_settings,
            self.runtime,
            self.manager,
            self.readiness,
            self.recorder,
            self._max_timeout_s,
        )
        self.callers_server = server.Server(
            callers_settings.address, self.application, callers_settings
        )
        self.operator_application = operator_api.OperatorApplication(
            settings.region,
            self.runtime,
            self.current,
            self.membership,
            self.readiness,
            self.recorder,
            self.application,
            server_usage.OwnedServerUsage(self.dispatcher),
            lambda: self.shutdown.request(),
        )
        self.operators_server = server.Server(
            settings.operator_address, self.operator_application, callers_settings
        )
        self.shutdown = shutdown.Shutdown(
            settings.shutdown_notice_s,
            settings.shutdown_timeout_s,
            self.runtime,
            self.readiness,
            (self.callers_server, self.operators_server),
            self.manager,
            lambda: self.application.stopped_jobs,
        )

    def start(self) -> None:
        """Start all components without waiting for readiness."""
        event.log(
            events.STARTING,
            name=self.settings.name,
            data_centre=self.settings.data_centre,
            peer_address=self.transport.own.address,
            caller_address=self.callers_server.address,
            operator_address=self.operators_server.address,
        )
        self._start_metrics_reporter()
        self.membership.on_rejoin.append(lambda old, new: self.manager.on_pause())
        self.manager.start()
        self.dispatcher.start()
        self.membership.start()
        self.current.start()
        self.membership.subscribe(lambda old, new: self._log_readiness_change())
        self.current.subscribe(lambda new: self._log_readiness_change())
        self._log_readiness_change()
        self.runtime.spawn_service(self._refresh_seeds)
        self.operators_server.start()
        self.callers_server.start()

    def run(self) -> bool:
        """Serve until a shutdown is requested; return whether all requests were completed."""
        is_graceful = self.shutdown.run()
        self.membership.leave(LEAVE_TIMEOUT_S)
        self.current.stop()
        self.dispatcher.stop()
        self.membership.stop()
        self.transport.stop()
        event.log(events.SHUTDOWN_ENDED, whole=is_graceful)
        return is_graceful

    def _max_timeout_s(self, name):
        configuration = self.current.configuration
        service = configuration.service(name) if configuration else None
        return service.limits.max_timeout_s if service else None

    def _start_metrics_reporter(self):
        if not self.settings.statsd_address:
            event.log(events.STATSD_OFF)
            return
        pipeline = statsd_reporter.connect(
            self.settings.statsd_address, self.settings.statsd_prefix
        )
        reporter = statsd_reporter.StatsdReporter(pipeline, self.runtime)
        metric.set_sink(reporter)
        self.runtime.spawn_service(reporter.run)

    def _log_readiness_change(self):
        """Log changes of readiness and of the reason for not being ready."""
        refusal = self.readiness.refusal()
        reason = refusal.detail if refusal else ""
        if reason == self.logged_reason:
            return
        self.logged_reason = reason
        if reason:
            event.log(events.NOT_READY, reason=reason)
        else:
            event.log(events.READY, generation=self.current.generation)

    def _refresh_seeds(self):
        """Add the instances in the platform's store as seeds while no other member is known."""
        while not self.readiness.is_draining:
            if len(self.membership.view.members) < 2:
                platform_entries = self.current.platform_instances()
                self.membership.add_seeds(
                    entry.address for entry in platform_entries if entry.name != self.settings.name
                )
            self.runtime.sleep(SEED_REFRESH_PERIOD_S)
