"""Named fault-injection points in the protocols.

Each package defines its steps once and calls ``reach`` at them.  The fault matrix runs a test for
each step in the catalogue.  Without a hook a step costs one comparison.
"""

from collections.abc import Callable

import attrs

catalogue: dict[str, "Step"] = {}


@attrs.frozen
class Step:
    """One fault-injection point in a protocol.

    Attributes
    ----------
    name : str
        ``protocol.point``, for example ``claim.granted``.
    meaning : str
        What has just happened and what follows.
    """

    name: str
    meaning: str


Hook = Callable[[Step, str], None]

_hook: Hook | None = None


def define(name: str, meaning: str) -> Step:
    """Add a step to the catalogue and return it."""
    if name in catalogue:
        raise ValueError(f"step {name} is defined twice")
    catalogue[name] = Step(name, meaning)
    return catalogue[name]


def set_hook(hook: Hook | None) -> None:
    """Call ``hook(step, instance name)`` at each step from now on; None removes the hook."""
    global _hook
    _hook = hook


def reach(step: Step, instance: str) -> None:
    """Call the hook, if any, at a step of an instance.

    Parameters
    ----------
    step : Step
        The step reached.
    instance : str
        Name of the instance, because a test runs several in one process.
    """
    if _hook is not None:
        _hook(step, instance)
