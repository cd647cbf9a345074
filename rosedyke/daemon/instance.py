"""An entry instance: builds its parts, starts them in order, and ends them in order."""

import attrs

from rosedyke import runtime as runtime_module
from rosedyke.callers import application, server
from rosedyke.configuration import distribution, stored
from rosedyke.configuration import settings as configuration_settings
from rosedyke.daemon import events, gate, green, loads, operator, recorder, shutdown
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

SEEDS_PERIOD_S = 10.0


class Instance:
    """All parts of one entry instance.

    The order of the start matters: peers can reach an instance from the moment when its transport
    is bound, so every handler is there before the membership makes it known; callers come last.

    Parameters
    ----------
    settings : InstanceSettings
        What the instance was told.
    runtime : Runtime
        Time and tasks.
    """

    def __init__(
        self,
        settings: settings_module.InstanceSettings,
        runtime: runtime_module.Runtime | None = None,
    ):
        self.settings = settings
        self.job_limits = job_settings.JobSettings(data_centres=settings.data_centres)
        self.runtime = runtime or green.GreenRuntime()
        self.transport = transport.Transport(
            wire_settings.TransportSettings(
                settings.name, settings.data_centre, settings.peer_address, settings.peer_key
            ),
            self.runtime,
        )
        # The parts below take the own address from the transport, which learns it by binding.
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
            configuration_settings.DistributionSettings(keys=stored.Keys(settings.store_prefix)),
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
            self.job_limits,
            self.runtime,
            self.transport,
            self.membership,
            self.dispatcher,
        )
        self.last_reason: str | None = None
        self._build_interfaces()

    def _build_interfaces(self):
        settings = self.settings
        limits = attrs.evolve(settings.callers, unknown_age_s=self.job_limits.max_age_s)
        self.gate = gate.Gate(self.current, self.membership)
        self.recorder = recorder.Recorder(self.runtime, self.current)
        self.application = application.Application(
            limits,
            self.runtime,
            self.manager,
            self.gate,
            self.recorder,
            self._longest_timeout_s,
        )
        self.callers = server.Server(limits.address, self.application, limits)
        self.operator = operator.OperatorApplication(
            settings.region,
            self.runtime,
            self.current,
            self.membership,
            self.gate,
            self.recorder,
            self.application,
            loads.OwnerLoads(self.dispatcher),
            lambda: self.shutdown.request(),
        )
        self.operators = server.Server(settings.operator_address, self.operator, limits)
        self.shutdown = shutdown.Shutdown(
            settings.shutdown_notice_s,
            settings.shutdown_timeout_s,
            self.runtime,
            self.gate,
            (self.callers, self.operators),
            self.manager,
            lambda: self.application.stopped,
        )

    def start(self) -> None:
        """Start all parts; readiness comes by itself."""
        event.log(
            events.STARTING,
            name=self.settings.name,
            data_centre=self.settings.data_centre,
            peer_address=self.transport.own.address,
            caller_address=self.callers.address,
            operator_address=self.operators.address,
        )
        self._report_metrics()
        self.membership.on_rejoin.append(lambda old, new: self.manager.on_pause())
        self.manager.start()
        self.dispatcher.start()
        self.membership.start()
        self.current.start()
        self.membership.subscribe(lambda old, new: self._note_readiness())
        self.current.subscribe(lambda new: self._note_readiness())
        self._note_readiness()
        self.runtime.spawn(self._learn_seeds)
        self.operators.start()
        self.callers.start()

    def run(self) -> bool:
        """Serve until a shutdown is asked for; return whether it cut nothing off."""
        is_whole = self.shutdown.run()
        self.membership.leave()
        self.current.stop()
        self.dispatcher.stop()
        self.membership.stop()
        self.transport.stop()
        event.log(events.SHUTDOWN_ENDED, whole=is_whole)
        return is_whole

    def _longest_timeout_s(self, name):
        configuration = self.current.configuration
        service = configuration.service(name) if configuration else None
        return service.limits.max_timeout_s if service else None

    def _report_metrics(self):
        if not self.settings.statsd_address:
            event.log(events.STATSD_OFF)
            return
        pipeline = statsd_reporter.connect(
            self.settings.statsd_address, self.settings.statsd_prefix
        )
        sender = statsd_reporter.StatsdReporter(pipeline, self.runtime)
        metric.use(sender)
        self.runtime.spawn(sender.run)

    def _note_readiness(self):
        """Log each change of readiness, so that the log explains what the balancer saw."""
        refusal = self.gate.refusal()
        reason = refusal.detail if refusal else ""
        if reason == self.last_reason:
            return
        self.last_reason = reason
        if reason:
            event.log(events.NOT_READY, reason=reason)
        else:
            event.log(events.READY, generation=self.current.generation)

    def _learn_seeds(self):
        """Join by the platform's list where the seeds from the settings are gone."""
        while not self.gate.is_draining:
            if len(self.membership.view.members) < 2:
                found = self.current.platform_instances()
                self.membership.add_seeds(
                    one.address for one in found if one.name != self.settings.name
                )
            self.runtime.sleep(SEEDS_PERIOD_S)
