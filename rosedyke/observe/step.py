"""Named points between the steps of a protocol, where a test can bring about a fault.

"Whatever fails, at any step" can be tested only if the steps have names.  A package defines its
steps once and reaches them in its code; the fault matrix takes its columns from the catalogue, so
a new step without a proof shows up as one.  Without a hook a step costs one comparison.
"""

from collections.abc import Callable

import attrs

catalogue: dict[str, "Step"] = {}


@attrs.frozen
class Step:
    """One point in a protocol.

    Attributes
    ----------
    name : str
        ``protocol.point``, for example ``claim.granted``.
    meaning : str
        What has just happened and what comes next.
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


def use(hook: Hook | None) -> None:
    """Call ``hook(step, instance name)`` at each step from now on; None calls nothing."""
    global _hook
    _hook = hook


def reach(step: Step, instance: str) -> None:
    """Tell the hook that an instance has come to a step.

    Parameters
    ----------
    step : Step
        Where.
    instance : str
        Name of the instance, since a test runs several in one process.
    """
    if _hook is not None:
        _hook(step, instance)
