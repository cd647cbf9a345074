"""HTTP server of an instance, with a connection limit and graceful shutdown.

It replaces the accept loop of eventlet's WSGI server, which exits when a connection is reset
before it is accepted or when file descriptors run out, leaves connections over the limit
unanswered, and drops requests that have arrived when it stops.
"""

import functools
import time

import eventlet
from eventlet import greenio, wsgi

from rosedyke import fault
from rosedyke.callers import connection, events, metrics, settings
from rosedyke.job import answer, code
from rosedyke.observe import event, metric, service
from rosedyke.overload import own_delay

LISTEN_BACKLOG = 1024
RETRY_AFTER_S = 1.0
# Connections over the limit that are answered concurrently; further ones are closed unanswered.
MAX_CONCURRENT_REFUSALS = 64
ACCEPT_RETRY_DELAY_S = 0.1
STOP_POLL_INTERVAL_S = 0.005


class AddressUnavailable(fault.RosedykeError):
    """The listening socket can't be bound to the address."""

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
        Limits on connections and requests.
    delay : OwnDelay or None
        Account of the instance's link; None if it is unlimited.
    """

    def __init__(
        self,
        address: str,
        application,
        limits: settings.CallersSettings,
        delay: own_delay.OwnDelay | None = None,
    ):
        self.limits = limits
        self.delay = delay
        self.connections: set[connection.Connection] = set()
        self.is_draining = False
        self.is_listening = True
        self.serving_pool = eventlet.GreenPool(limits.max_connections)
        self.refusal_pool = eventlet.GreenPool(MAX_CONCURRENT_REFUSALS)
        host, port = address.rsplit(":", 1)
        try:
            self.socket = eventlet.listen((host, int(port)), backlog=LISTEN_BACKLOG)
        except OSError as error:
            raise AddressUnavailable(f"{address}: {error}") from error
        self.host, self.port = self.socket.getsockname()[:2]
        self.wsgi = wsgi.Server(
            self.socket,
            (self.host, self.port),
            application,
            max_http_version="HTTP/1.1",
            capitalize_response_headers=False,  # the applications write them so already
            protocol=functools.partial(connection.Connection, self),
            log_output=False,
            debug=False,
        )
        self.accept_thread = None

    @property
    def address(self) -> str:
        """``ip:port`` that the socket is bound to."""
        return f"{self.host}:{self.port}"

    def start(self) -> None:
        """Start to accept connections."""
        self.accept_thread = eventlet.spawn(self._accept_connections)
        event.log(events.LISTENING, address=self.address)

    def drain(self) -> None:
        """Close each connection after its next response."""
        self.is_draining = True

    def stop(self, timeout_s: float) -> bool:
        """Stop accepting, finish requests in progress, and return whether all ended in time."""
        self.stop_accepting()
        return self.wait_until_closed(timeout_s)

    def stop_accepting(self) -> None:
        """Accept no more connections, and close each one after its next response."""
        self.drain()
        if self.accept_thread is not None:
            self.accept_thread.kill()
            self.accept_thread = None
        if not self.is_listening:
            return
        self.is_listening = False
        self._accept_backlog()
        self.socket.close()

    def wait_until_closed(self, timeout_s: float) -> bool:
        """Close idle connections, and return whether all were closed in time."""
        deadline = time.monotonic() + timeout_s
        while self.serving_pool.running() or self.refusal_pool.running():
            if time.monotonic() > deadline:
                return False
            self.close_idle_connections()
            eventlet.sleep(STOP_POLL_INTERVAL_S)
        return True

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest; return whether there was one."""
        idle = [conn for conn in self.connections if conn.request_count]
        return any(conn.close_if_idle() for conn in sorted(idle, key=lambda conn: conn.idle_since))

    def _accept_connections(self):
        while True:
            try:
                accepted = self.socket.accept()
            except OSError as error:
                # Both causes are temporary: a reset before the accept, or no free file descriptor.
                event.log(events.ACCEPT_FAILED, error=error)
                eventlet.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            try:
                self._serve_or_refuse(*accepted)
            except Exception as error:
                service.record_failure(self._accept_connections, error)

    def _accept_backlog(self):
        """Accept the connections in the listen backlog.

        Closing the listening socket would reset them, although they may carry requests.
        """
        self.socket.settimeout(0)
        while True:
            try:
                client_socket, address = self.socket.accept()
            except OSError:
                return
            # Without a timeout, ``accept`` returns a socket that is not green.
            self._serve_or_refuse(greenio.GreenSocket(client_socket), address)

    def _serve_or_refuse(self, client_socket, address):
        """Serve a connection, or refuse it at the connection limit.

        At the limit, the connection that has been idle longest is closed in favour of the new one,
        so that callers with many idle connections can't lock out others.
        """
        metric.gauge(metrics.CONNECTIONS, self.serving_pool.running())
        if self.serving_pool.free() > 0 or self.close_longest_idle():
            self.serving_pool.spawn_n(self._serve, client_socket, address)
            return
        metric.count(metrics.CONNECTIONS_REFUSED)
        event.log(events.CONNECTIONS_FULL, connections=self.serving_pool.running())
        if self.refusal_pool.free() > 0:
            self.refusal_pool.spawn_n(self._refuse, client_socket)
        else:
            client_socket.close()

    def _serve(self, client_socket, address):
        try:
            self.wsgi.process_request([address, client_socket, wsgi.STATE_IDLE])
        except Exception:
            event.log(events.CONNECTION_FAILED, exc_info=True, caller=address[0])
        finally:
            greenio.shutdown_safe(client_socket)
            client_socket.close()

    def _refuse(self, client_socket):
        final = answer.Answer(
            "",
            code.Code.OVERLOADED,
            answer.Ran.UNKNOWN,
            detail="the instance has too many connections",
            retry_after_s=RETRY_AFTER_S,
        )
        client_socket.settimeout(connection.LINGER_TIMEOUT_S)
        try:
            client_socket.sendall(connection.refusal_bytes(final))
            connection.linger(client_socket)
        except OSError:
            pass
        finally:
            client_socket.close()

    def close_idle_connections(self) -> None:
        """Close every connection without a request, unless its first one may still arrive."""
        for conn in list(self.connections):
            if not conn.awaits_first_request():
                conn.close_if_idle()
