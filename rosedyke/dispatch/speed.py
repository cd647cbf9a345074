"""Estimates run times from measurements, by task type and backend server.

The logarithm of the ratio of measured to declared run time is modelled as the sum of a task type
factor, a server factor and a factor of the pair.  So one run on a new server improves the estimates
of all task types there, and a wrong declared time is corrected for all servers at once.

The model is determined only up to a constant shift between task and server factors.  Values sent
to other instances are normalised to a zero mean of the task type factors, so that instances that
learned from different servers agree on reference seconds.
"""

import math

import attrs

# Minimum weight of a measurement; the nth measurement weighs 1/n until then.
LEARNING_RATE = 0.1
# Limits the effect of a single outlier.
MAX_LOG_ERROR = math.log(16)
# Shorter times are dominated by measurement noise.
MIN_RUN_TIME_S = 0.0005


@attrs.define
class Factor:
    """A learned logarithmic factor and its number of measurements."""

    value: float = 0.0
    count: int = 0

    def learn(self, error: float, weight: float) -> None:
        """Adjust by ``weight`` of ``error``, decreasing with the number of measurements."""
        self.count += 1
        self.value += error * max(weight / self.count, LEARNING_RATE * weight)


def clamp_error(error: float) -> float:
    """Return the error limited to ``MAX_LOG_ERROR``."""
    return max(-MAX_LOG_ERROR, min(MAX_LOG_ERROR, error))


@attrs.define
class SpeedTable:
    """Learned factors of one service, as logarithms.

    Attributes
    ----------
    tasks : dict of str to Factor
        By task type.
    servers : dict of str to Factor
        By backend server; positive for slow servers.
    pairs : dict of (str, str) to Factor
        By task type and server.
    mean : float
        Mean of the task type factors.
    """

    tasks: dict[str, Factor] = attrs.Factory(dict)
    servers: dict[str, Factor] = attrs.Factory(dict)
    pairs: dict[tuple[str, str], Factor] = attrs.Factory(dict)
    mean: float = 0.0

    def learn(self, task: str, server: str, declared_s: float, measured_s: float) -> None:
        """Learn from one finished run."""
        ratio = max(measured_s, MIN_RUN_TIME_S) / max(declared_s, MIN_RUN_TIME_S)
        task_factor = self.tasks.setdefault(task, Factor())
        server_factor = self.servers.setdefault(server, Factor())
        pair_factor = self.pairs.setdefault((task, server), Factor())
        log_ratio = math.log(ratio)
        error = clamp_error(log_ratio - task_factor.value - server_factor.value)
        # A task type's first run is attributed to the task type, otherwise a server's first run to
        # the server.
        if not task_factor.count:
            task_factor.learn(error, 1.0)
        elif not server_factor.count:
            server_factor.learn(error, 1.0)
        else:
            task_factor.learn(error, 0.3)
            server_factor.learn(error, 0.7)
        # The pair gets only the residual, so that it takes nothing from the other two.
        predicted = task_factor.value + server_factor.value
        pair_factor.learn(clamp_error(log_ratio - predicted - pair_factor.value), 1.0)
        self.mean = sum(factor.value for factor in self.tasks.values()) / len(self.tasks)

    def expected_s(self, task: str, server: str, declared_s: float) -> float:
        """Return the expected run time."""
        learned = self.tasks.get(task)
        factor = learned.value if learned is not None else self.mean
        learned = self.servers.get(server)
        if learned is not None:
            factor += learned.value
        learned = self.pairs.get((task, server))
        if learned is not None:
            factor += learned.value
        return max(declared_s, MIN_RUN_TIME_S) * math.exp(factor)

    def reference_s(self, task: str, declared_s: float) -> float:
        """Return the expected run time on a server of average speed."""
        learned = self.tasks.get(task)
        value = learned.value if learned is not None else self.mean
        return max(declared_s, MIN_RUN_TIME_S) * math.exp(value - self.mean)

    def slowness(self, server: str) -> float:
        """Return a server's run times relative to a server of average speed."""
        learned = self.servers.get(server)
        return math.exp(self.mean + (learned.value if learned is not None else 0.0))
