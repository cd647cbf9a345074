"""Readiness of the instance to accept new jobs."""

from rosedyke.configuration import ports as configuration_ports
from rosedyke.job import code, ports
from rosedyke.membership import member
from rosedyke.membership import ports as membership_ports

RETRY_AFTER_S = 1.0


class ReadinessCheck:
    """Ready while a configuration is in force and the instance is a serving member.

    Parameters
    ----------
    current : ConfigurationSource
        Provides the configuration in force.
    membership : Membership
        Provides the state of this instance.
    """

    def __init__(
        self,
        current: configuration_ports.ConfigurationSource,
        membership: membership_ports.Membership,
    ):
        self.current = current
        self.membership = membership
        self.is_draining = False

    def refusal(self) -> ports.Refusal | None:
        """Return the refusal of new jobs, None while the instance is ready."""
        if self.is_draining:
            return ports.Refusal(code.Code.DRAINING, "the instance is shutting down", RETRY_AFTER_S)
        if self.current.configuration is None:
            return ports.Refusal(
                code.Code.NOT_READY, "no configuration is in force yet", RETRY_AFTER_S
            )
        state = self.membership.own.state
        if state not in member.SERVING_STATES:
            return ports.Refusal(
                code.Code.NOT_READY, f"the instance is {state.value}", RETRY_AFTER_S
            )
        return None
