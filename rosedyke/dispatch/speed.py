"""Run times learned from what tasks took, for each task type and backend server.

The logarithm of the ratio of measured to declared run time is the sum of a part for the task
type, a part for the server and a part for the pair.  So one run of any task on a new server says
something about every other task there, and a task type whose declared time is far off is
corrected on all servers at once.

The parts are fixed only up to a constant that moves from tasks to servers.  What leaves this
instance is normalised so that the task types' parts have a mean of zero; so two instances that
learned from different servers mean the same by a reference second.
"""

import math

import attrs

# Weight of one new measurement once many were made; the first ones weigh 1/n.
LEARNING_RATE = 0.1
# A single measurement changes an estimate by no more than this factor's logarithm.
MAX_LOG_ERROR = math.log(16)
# Times below this are measurement noise.
MIN_RUN_TIME_S = 0.0005


@attrs.define
class Factor:
    """One learned logarithm with the number of measurements behind it."""

    value: float = 0.0
    count: int = 0

    def learn(self, error: float, weight: float) -> None:
        """Move by a share of ``error``, less with each measurement."""
        self.count += 1
        self.value += error * max(weight / self.count, LEARNING_RATE * weight)


def clamp_error(error: float) -> float:
    """Return an error as far as one measurement may count."""
    return max(-MAX_LOG_ERROR, min(MAX_LOG_ERROR, error))


@attrs.define
class SpeedTable:
    """Learned factors of one service.

    Attributes
    ----------
    tasks : dict of str to Factor
        By task type.
    servers : dict of str to Factor
        By backend server; positive is slow.
    pairs : dict of (str, str) to Factor
        By task type and server.
    mean : float
        Of the task types' values.
    """

    tasks: dict[str, Factor] = attrs.Factory(dict)
    servers: dict[str, Factor] = attrs.Factory(dict)
    pairs: dict[tuple[str, str], Factor] = attrs.Factory(dict)
    mean: float = 0.0

    def learn(self, task: str, server: str, declared_s: float, measured_s: float) -> None:
        """Take in one finished run."""
        ratio = max(measured_s, MIN_RUN_TIME_S) / max(declared_s, MIN_RUN_TIME_S)
        task_factor = self.tasks.setdefault(task, Factor())
        server_factor = self.servers.setdefault(server, Factor())
        pair_factor = self.pairs.setdefault((task, server), Factor())
        log_ratio = math.log(ratio)
        error = clamp_error(log_ratio - task_factor.value - server_factor.value)
        # The first run of a task type on a server already known says most about the task type.
        if not task_factor.count:
            task_factor.learn(error, 1.0)
        elif not server_factor.count:
            server_factor.learn(error, 1.0)
        else:
            task_factor.learn(error, 0.3)
            server_factor.learn(error, 0.7)
        # What the two leave over is the pair's own, so that it takes nothing from them.
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
        """Return how many times longer than average tasks take on a server."""
        learned = self.servers.get(server)
        return math.exp(self.mean + (learned.value if learned is not None else 0.0))
