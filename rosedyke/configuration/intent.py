"""The operators' intent as immutable records: what the files say, once checked.

Sizes are in whole units: seconds, cores, megabytes, accelerators.
"""

import attrs


@attrs.frozen
class Size:
    """What a task needs or a backend server has.

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

    def fits(self, room: "Size") -> bool:
        """Return whether this need fits into ``room``."""
        return (
            self.cores <= room.cores
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )


@attrs.frozen
class TaskType:
    """A kind of task that a service offers.

    Attributes
    ----------
    name : str
        Unique in the service.
    run_time_s : float
        The operator's estimate in seconds; only a hint until run times are learned.
    size : Size
        What one run needs on a backend server.
    timeout_s : float
        A run longer than this counts as failed.
    """

    name: str
    run_time_s: float
    size: Size = Size()
    timeout_s: float = 30.0


@attrs.frozen
class BackendServer:
    """A server that runs the tasks of exactly one service.

    Attributes
    ----------
    name : str
        Unique over all files.
    address : str
        ``ip:port`` of its HTTP interface.
    data_centre : str
        Where it stands.
    slots : int
        Tasks that it runs at one time, counted over all entry instances.
    connections : int
        Open connections that it accepts, counted over all entry instances.
    size : Size
        What it has.
    rack : str
        Its rack, for a failure that takes several servers at once.
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
        Tasks that run at one time over all data centres; 0 is no limit but the slots.
    queue : int
        Tasks that may wait in one data centre before new jobs are refused.
    max_tasks : int
        Tasks in one job.
    max_timeout_s : float
        The longest timeout in seconds that a caller may ask for.
    """

    concurrency: int = 0
    queue: int = 10_000
    max_tasks: int = 300
    max_timeout_s: float = 60.0


@attrs.frozen
class Objective:
    """What share of jobs must be whole within a response time.

    Attributes
    ----------
    share : float
        Between 0 and 1, for example 0.999.
    response_s : float
        Seconds from arrival to the whole answer.
    """

    share: float = 0.999
    response_s: float = 5.0


@attrs.frozen
class Service:
    """One service with everything that the operators said about it."""

    name: str
    team: str
    tasks: tuple[TaskType, ...]
    servers: tuple[BackendServer, ...]
    limits: Limits = Limits()
    objective: Objective = Objective()

    def task(self, name: str) -> TaskType | None:
        """Return the task type of that name."""
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
        Unique; also the name of the team's file in the store.
    quota : int
        Tasks of all its services that run at one time; 0 is no limit.
    services : tuple of Service
        Everything that the team's file defines.
    """

    name: str
    quota: int = 0
    services: tuple[Service, ...] = ()


@attrs.frozen
class Configuration:
    """The whole intent at one generation.

    Attributes
    ----------
    generation : int
        Grows by one with each accepted change; 0 is "nothing applied yet".
    teams : tuple of Team
        In name order.
    """

    generation: int = 0
    teams: tuple[Team, ...] = ()

    def service(self, name: str) -> Service | None:
        """Return the service of that name; names are unique over all teams."""
        for team in self.teams:
            for service in team.services:
                if service.name == name:
                    return service
        return None

    def team(self, name: str) -> Team | None:
        """Return the team of that name."""
        for team in self.teams:
            if team.name == name:
                return team
        return None
