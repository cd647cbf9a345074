"""The operators' intent: immutable records of the validated configuration files.

Quantities are in seconds, cores, megabytes and accelerator devices.
"""

import attrs


@attrs.frozen
class Size:
    """Resources that a task needs or a backend server has.

    Attributes
    ----------
    cores : float
        Processor cores.
    memory_mb : float
        Megabytes of memory.
    accelerators : float
        Accelerator devices.
    """

    cores: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0

    def fits(self, available: "Size") -> bool:
        """Return whether these resources fit into the available ones."""
        return (
            self.cores <= available.cores
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


@attrs.frozen
class TaskType:
    """A type of task that a service offers.

    Attributes
    ----------
    name : str
        Unique in the service.
    run_time_s : float
        The operator's estimate in seconds, used until run times have been measured.
    size : Size
        Resources that one run needs on a backend server.
    timeout_s : float
        Time in seconds after which a run counts as failed.
    """

    name: str
    run_time_s: float
    size: Size = Size()
    timeout_s: float = 30.0


@attrs.frozen
class BackendServer:
    """A server that runs tasks of a single service.

    Attributes
    ----------
    name : str
        Unique over all files.
    address : str
        ``ip:port`` of its HTTP interface.
    data_centre : str
        Data centre that it is in.
    slots : int
        Tasks that it runs concurrently, over all entry instances.
    connections : int
        Open connections that it accepts, over all entry instances.
    size : Size
        Resources that it has.
    rack : str
        Its rack, a failure domain that it shares with other servers.
    """

    name: str
    address: str
    data_centre: str
    slots: int = 8
    connections: int = 64
    size: Size = Size()
    rack: str = ""


@attrs.frozen
class Limits:
    """Limits of one service.

    Attributes
    ----------
    concurrency : int
        Tasks that run concurrently over all data centres; 0 means limited by the slots only.
    queue : int
        Tasks that may wait in one data centre before new jobs are refused.
    max_tasks : int
        Maximum number of tasks in a job.
    max_timeout_s : float
        Maximum timeout in seconds that a caller may request.
    """

    concurrency: int = 0
    queue: int = 10_000
    max_tasks: int = 300
    max_timeout_s: float = 60.0


@attrs.frozen
class Objective:
    """Service level objective: the share of jobs answered completely within a response time.

    Attributes
    ----------
    share : float
        Between 0 and 1, for example 0.999.
    response_s : float
        Seconds from a job's arrival to its complete answer.
    """

    share: float = 0.999
    response_s: float = 5.0


@attrs.frozen
class Service:
    """A service with its tasks, backend servers, limits and objective."""

    name: str
    team: str
    tasks: tuple[TaskType, ...]
    servers: tuple[BackendServer, ...]
    limits: Limits = Limits()
    objective: Objective = Objective()

    def task(self, name: str) -> TaskType | None:
        """Return the task type with the given name."""
        for task in self.tasks:
            if task.name == name:
                return task
        return None


@attrs.frozen
class Team:
    """A team and its quota.

    Attributes
    ----------
    name : str
        Unique; the team's file is stored under it.
    quota : int
        Tasks of all its services that run concurrently; 0 means unlimited.
    services : tuple of Service
        Services that the team's file defines.
    """

    name: str
    quota: int = 0
    services: tuple[Service, ...] = ()


@attrs.frozen
class Configuration:
    """The intent of all teams at one generation.

    Attributes
    ----------
    generation : int
        Incremented with each accepted change; 0 before the first.
    teams : tuple of Team
        Sorted by name.
    """

    generation: int = 0
    teams: tuple[Team, ...] = ()

    def service(self, name: str) -> Service | None:
        """Return the service with the given name, which is unique over all teams."""
        for team in self.teams:
            for service in team.services:
                if service.name == name:
                    return service
        return None

    def team(self, name: str) -> Team | None:
        """Return the team with the given name."""
        for team in self.teams:
            if team.name == name:
                return team
        return None
