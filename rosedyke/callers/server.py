"""The HTTP server of an instance: accepts connections, up to a limit, and stops gracefully.

The loop that accepts is not the one of eventlet's WSGI server.  That one ends for good when a
connection is reset before it is accepted or file descriptors run out, lets connections beyond its
limit wait in silence, and cuts off requests that have arrived when it stops.
"""

import functools
import time

import eventlet
from eventlet import greenio, wsgi

from rosedyke import fault
from rosedyke.callers import connection, events, metrics, settings
from rosedyke.job import answer, code
from rosedyke.observe import event, metric

BACKLOG = 1024
RETRY_AFTER_S = 1.0
# Connections over the limit that are answered at one time; more are closed without an answer.
MAX_REFUSALS = 64
ACCEPT_PAUSE_S = 0.1
STOP_POLL_S = 0.005


class AddressUnavailable(fault.RosedykeError):
    """The address can't be listened on."""

    code = "address_unavailable"


class Server:
    """Serves an application on one address.

    Parameters
    ----------
    address : str
        ``ip:port``; port 0 lets the kernel choose.
    application : callable
        The WSGI application.
    limits : CallersSettings
        The bounds.
    """

    def __init__(self, address: str, application, limits: settings.CallersSettings):
        self.limits = limits
        self.connections: set[connection.Connection] = set()
        self.is_draining = False
        self.served = eventlet.GreenPool(limits.max_connections)
        self.refused = eventlet.GreenPool(MAX_REFUSALS)
        host, port = address.rsplit(":", 1)
        try:
            self.socket = eventlet.listen((host, int(port)), backlog=BACKLOG)
        except OSError as error:
            raise AddressUnavailable(f"{address}: {error}") from error
        self.host, self.port = self.socket.getsockname()[:2]
        self.wsgi = wsgi.Server(
            self.socket,
            (self.host, self.port),
            application,
            max_http_version="HTTP/1.1",
            protocol=functools.partial(connection.Connection, self),
            log_output=False,
            debug=False,
        )
        self.thread = None

    @property
    def address(self) -> str:
        """The address with the port that the kernel chose."""
        return f"{self.host}:{self.port}"

    def start(self) -> None:
        """Accept connections from now on."""
        self.thread = eventlet.spawn(self._accept)
        event.log(events.LISTENING, address=self.address)

    def drain(self) -> None:
        """Close each connection with its next answer."""
        self.is_draining = True

    def stop(self, timeout_s: float) -> bool:
        """Stop accepting, let requests in progress end, and return whether all ended in time."""
        self.drain()
        if self.thread is not None:
            self.thread.kill()
        self._accept_waiting()
        self.socket.close()
        give_up = time.monotonic() + timeout_s
        while self.served.running() or self.refused.running():
            if time.monotonic() > give_up:
                return False
            self._close_idle()
            eventlet.sleep(STOP_POLL_S)
        return True

    def close_longest_idle(self) -> bool:
        """Close the connection that has waited longest for its next request, if there is one."""
        idle = [one for one in self.connections if one.requests]
        return any(one.end_if_idle() for one in sorted(idle, key=lambda one: one.idle_since))

    def _accept(self):
        while True:
            try:
                accepted = self.socket.accept()
            except OSError as error:
                # A reset before the accept, or no file descriptor left; both pass.
                event.log(events.ACCEPT_FAILED, error=error)
                eventlet.sleep(ACCEPT_PAUSE_S)
                continue
            self._take(*accepted)

    def _accept_waiting(self):
        """Take the connections that callers have made but that were not accepted yet.

        Closing the listening socket would reset them, though requests may have been sent on them.
        """
        self.socket.settimeout(0)
        while True:
            try:
                accepted = self.socket.accept()
            except OSError:
                return
            self._take(*accepted)

    def _take(self, accepted, address):
        """Serve a connection, or refuse it if there are too many.

        A connection that idles between two requests makes room for a new one.  Otherwise callers
        that keep many open, or hold them on purpose, would keep all others out.
        """
        metric.gauge(metrics.CONNECTIONS, self.served.running())
        if self.served.free() > 0 or self.close_longest_idle():
            self.served.spawn_n(self._serve, accepted, address)
            return
        metric.count(metrics.CONNECTIONS_REFUSED)
        event.log(events.CONNECTIONS_FULL, connections=self.served.running())
        if self.refused.free() > 0:
            self.refused.spawn_n(self._refuse, accepted)
        else:
            accepted.close()

    def _serve(self, accepted, address):
        try:
            self.wsgi.process_request([address, accepted, wsgi.STATE_IDLE])
        except Exception:
            event.log(events.CONNECTION_FAILED, exc_info=True, caller=address[0])
        finally:
            greenio.shutdown_safe(accepted)
            accepted.close()

    def _refuse(self, accepted):
        final = answer.Answer(
            "",
            code.Code.OVERLOADED,
            answer.Ran.UNKNOWN,
            detail="the instance has too many connections",
            retry_after_s=RETRY_AFTER_S,
        )
        accepted.settimeout(connection.LINGER_S)
        try:
            accepted.sendall(connection.refusal_bytes(final))
            connection.linger(accepted)
        except OSError:
            pass
        finally:
            accepted.close()

    def _close_idle(self):
        for one in list(self.connections):
            if not one.is_new():
                one.end_if_idle()
