"""A fake key-value store on the virtual clock, with fault injection."""

from collections.abc import Iterator

import attrs

from rosedyke import runtime as runtime_module
from rosedyke.configuration import ports
from rosedyke.standins import keyvalue


@attrs.define
class Faults:
    """Faults to inject, for every client that shares them.

    Attributes
    ----------
    is_down : bool
        Every call fails and has no effect.
    delay_s : float
        Duration of each call.
    lost_answers : int
        Number of further writes that take effect but whose reply is lost.
    stale_revision : int
        Revision that reads are served from; 0 for the newest.
    is_watch_silent : bool
        Watches stay open but deliver no events.
    """

    is_down: bool = False
    delay_s: float = 0.001
    lost_answers: int = 0
    stale_revision: int = 0
    is_watch_silent: bool = False


class VirtualStore:
    """Implements ``ports.Store``; one object per client, so that its calls are counted.

    Parameters
    ----------
    runtime : Runtime
        The clock.
    state : KeyValue
        The data, shared by all clients.
    faults : Faults
        Shared by all clients, or separate to fail this client alone.
    """

    watch_poll_s = 0.005

    def __init__(self, runtime: runtime_module.Runtime, state: keyvalue.KeyValue, faults: Faults):
        self.runtime = runtime
        self.state = state
        self.faults = faults
        self.idle_limit_s = 30.0
        self.calls = 0

    def _begin_call(self) -> None:
        self.calls += 1
        self.runtime.sleep(self.faults.delay_s)
        if self.faults.is_down:
            raise ports.StoreUnreachable("down")

    def read(self, *spans: ports.KeyRange) -> ports.ReadResult:
        """Return the entries of all key ranges."""
        self._begin_call()
        revision = self.faults.stale_revision or self.state.revision
        entries = []
        for span in spans:
            records, _ = self.state.range(span.first.encode(), span.end.encode(), revision)
            entries.extend(
                ports.Entry(record.key.decode(), record.value, record.mod_revision)
                for record in records
                if record.mod_revision >= span.min_revision
            )
        return ports.ReadResult(revision, tuple(entries))

    def read_all(self, *spans: ports.KeyRange) -> ports.ReadResult:
        """Return the entries of all key ranges."""
        return self.read(*spans)

    def write(self, compares, operations) -> bool:
        """Apply all operations if every comparison holds; return whether it did."""
        self._begin_call()
        state = self.state
        if not all(state.compare(c.key.encode(), "MOD", "EQUAL", c.revision) for c in compares):
            return False
        revision = state.revision + 1
        for operation in operations:
            if isinstance(operation, ports.Put):
                state.put(operation.key.encode(), operation.value, revision)
            else:
                state.delete(operation.key.encode(), b"", revision)
        state.revision = revision
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            raise ports.StoreOutcomeUnknown("lost")
        return True

    def watch(self, span: ports.KeyRange, revision: int) -> Iterator[tuple[ports.Change, ...]]:
        """Yield changes until the watch has been idle for ``idle_limit_s``."""
        self._begin_call()
        yield ()
        last_event_at = self.runtime.now()
        while self.runtime.now() - last_event_at < self.idle_limit_s:
            self.runtime.sleep(self.watch_poll_s)
            if self.faults.is_down:
                raise ports.StoreUnreachable("cut")
            if self.faults.is_watch_silent:
                continue
            try:
                events = self.state.since(revision, span.first.encode(), span.end.encode())
            except keyvalue.Compacted:
                raise ports.StoreCompacted("compacted") from None
            if events:
                last_event_at = self.runtime.now()
                revision = self.state.revision + 1
                yield tuple(_change(event) for event in events)


def _change(event: keyvalue.Event) -> ports.Change:
    value = None if event.is_delete else event.record.value
    return ports.Change(event.record.key.decode(), value, event.record.mod_revision)
