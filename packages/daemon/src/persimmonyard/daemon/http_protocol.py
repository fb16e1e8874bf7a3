"""HTTP/1.1 for one connection, with limits on memory and time."""

import asyncio
import json
from typing import Any

import h11
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.h11_impl import H11Protocol

from persimmonyard.daemon.errors import RETRY_AFTER_S, error_body, http_status
from persimmonyard.daemon.http_parser import CountingConnection
from persimmonyard.daemon.intake import CONNECTION_COST_BYTES, Intake
from persimmonyard.daemon.request_arrival import RequestArrival
from persimmonyard.model import ResultCode

__all__ = ["ARRIVAL_KEY", "REFUSED_KEY", "LimitedProtocol"]

# The ``RequestArrival`` of a request in the state of its scope.
ARRIVAL_KEY = "arrival"

# Set in the state of a scope whose request was refused while it arrived.
REFUSED_KEY = "refused"

# The largest read from a socket, in bytes.  A connection holds up to one read
# of requests that it has sent ahead.  asyncio reads 256 KiB by default.
_READ_BYTES = 64 << 10
# A connection is charged anew when it holds this much more or less, in bytes,
# so that small requests cost no accounting.
_CHARGE_STEP_BYTES = 4 << 10
# During a shutdown, a connection that has not sent a call yet has this time,
# in seconds, to send its first one.  It is short, because a shutdown waits
# for connections that were opened long ago and never used.
FIRST_CALL_TIMEOUT_S = 1.0
# A connection also has this time from its start.  With 1.0, callers without
# processor time were cut off between connecting and sending at load 14.
NEW_CONNECTION_TIMEOUT_S = 5.0
# After a refusal, what the caller still sends is read and dropped for this
# time and up to this size.  A connection that is closed with unread data is
# reset, and the caller may lose the refusal.
_LINGER_S = 1.0
_LINGER_BYTES = 4 << 20


class _GatedFlow(FlowControl):
    """Flow control that the protocol can keep from reading."""

    def __init__(self, transport: asyncio.Transport, protocol: "LimitedProtocol"):
        super().__init__(transport)
        self._protocol = protocol

    def resume_reading(self) -> None:
        """Resume reading unless the connection holds all that it may."""
        if self.read_paused and not self._protocol.holds_enough():
            super().resume_reading()


class LimitedProtocol(H11Protocol):
    """One connection of a listener, which reports what it holds to an intake.

    A refusal is sent only for a request whose body has not been passed on as
    a whole.
    """

    conn: CountingConnection

    def __init__(
        self, intake: Intake, listener: str, body_bytes: int, *args: Any, **options: Any
    ):
        super().__init__(*args, **options)
        self._intake = intake
        self._listener = listener
        self._limits = intake.limits
        self.conn = CountingConnection(self._limits.head_bytes, body_bytes)
        self.charged_bytes = 0
        self.opened_number = 0
        self._opened_at = 0.0
        self._refused = False
        self._close_after_call = False
        self._lingered_bytes = 0
        # The state of a parser that waits for data, or None.
        self._awaited: Any = None
        self._arrival_timer: asyncio.TimerHandle | None = None
        self._unread_timer: asyncio.TimerHandle | None = None
        self._unread_bytes = 0

    # The connection as its intake sees it.

    def held_bytes(self) -> int:
        """Return the bytes that this connection holds."""
        held = CONNECTION_COST_BYTES + self.conn.unparsed_bytes()
        if not self._refused:
            held += self.conn.request_bytes
        return held + self.transport.get_write_buffer_size()

    def shed(self) -> None:
        """Refuse the request that is being received, or disconnect."""
        if self._refused or self._is_passed_on() or self._unread_timer is not None:
            self._intake.count_refusal(self._listener, "memory")
            self.transport.abort()
            return
        self._refuse(
            ResultCode.OVERLOADED, "this process has too much to receive", "memory"
        )

    def holds_enough(self) -> bool:
        """Return whether no more may be read now.

        This is so while requests that were sent ahead wait for the one in
        progress, and while a response over the allotment is unread.  A body
        is always read, because the request would otherwise never end; its
        limit bounds it.
        """
        if self._refused:
            return False
        state = self.conn.their_state
        if state is h11.DONE and self.conn.unparsed_bytes():
            return True
        return state is not h11.SEND_BODY and self._is_over_allotment()

    # Events of the transport.

    def connection_made(self, transport: Any) -> None:
        """Begin to count the connection, or refuse one too many."""
        super().connection_made(transport)
        self.flow = _GatedFlow(transport, self)
        transport.max_size = _READ_BYTES
        # Every byte that the kernel does not take at once counts as unread.
        transport.set_write_buffer_limits(high=0)
        self._opened_at = self.loop.time()
        self._arrival = RequestArrival(transport, is_first=True)
        self._intake.open(self)
        if self._refused:
            return
        if len(self.connections) > self._limits.connections:
            self._refuse(
                ResultCode.TOO_MANY_CONNECTIONS,
                f"this process has {self._limits.connections} connections open",
                "connections",
            )
            return
        if self._intake.has_too_many():
            self._refuse(
                ResultCode.TOO_MANY_CONNECTIONS,
                "this process has too few descriptors for more connections",
                "descriptors",
            )
            return
        self._watch_arrival()

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the connection no longer."""
        self._cancel_arrival_timer()
        self._cancel_unread_timer()
        self._intake.close(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what was received, and charge what is kept of it."""
        if self._refused:
            self._drop(data)
            return
        if self.conn.their_state is h11.MUST_CLOSE:
            # After "Connection: close", h11 would take more data as an error
            # of the request in progress.
            return
        super().data_received(data)
        self._describe_arrival()
        if self._close_after_call and self._is_handling_call():
            self.cycle.keep_alive = False
            self._close_after_call = False
            self._cancel_arrival_timer()
        self._watch_arrival()
        self._charge()

    def pause_writing(self) -> None:
        """Abort unless the caller reads some of the response in time."""
        super().pause_writing()
        self._charge()
        self._watch_unread()

    def resume_writing(self) -> None:
        """Go on once the caller has read everything."""
        super().resume_writing()
        self._cancel_unread_timer()
        self._charge()
        self.flow.resume_reading()

    def on_response_complete(self) -> None:
        """Go on with the next request, if it was sent ahead."""
        super().on_response_complete()
        if self.transport.is_closing():
            return
        self._describe_arrival()
        self._watch_arrival()
        self._charge()
        # Reading was held for requests that were sent ahead.
        self.flow.resume_reading()

    def shutdown(self) -> None:
        """Close the connection, but a new one only after its first call.

        A new connection was opened before the listener closed, so its
        first call may be in transit and would fail if it were closed now.
        One that sends no call in time gets a refusal.  A caller that then
        sends its call in one piece still reads it.
        """
        if self._refused:
            return
        if self.cycle is not None:
            super().shutdown()
            return
        self._cancel_arrival_timer()
        self._close_after_call = True
        self._arrival_timer = self.loop.call_at(
            max(
                self.loop.time() + FIRST_CALL_TIMEOUT_S,
                self._opened_at + NEW_CONNECTION_TIMEOUT_S,
            ),
            self._refuse,
            ResultCode.STOPPING,
            "this process is stopping",
            "stopping",
        )

    def send_400_response(self, msg: str) -> None:
        """Refuse a request that is not HTTP or over a limit."""
        error = self.conn.error
        status = 400 if error is None else error.error_status_hint
        if status == 413:
            self._refuse(ResultCode.BODY_TOO_LARGE, str(error), "body")
        elif status == 431:
            message = f"the headers have more than {self._limits.head_bytes} bytes"
            self._refuse(ResultCode.BAD_JSON, message, "head", 431)
        else:
            message = f"the call is not HTTP: {msg}"
            self._refuse(ResultCode.BAD_JSON, message, "not http", 400)

    # Time limits.

    def _watch_arrival(self) -> None:
        """Start the timer for what the connection waits for, if it changed."""
        awaited = self._find_awaited()
        if awaited is self._awaited or self._refused or self._close_after_call:
            return
        self._cancel_arrival_timer()
        self._awaited = awaited
        if awaited is not None:
            limits = self._limits
            limit_s = limits.head_s if awaited is h11.IDLE else limits.body_s
            self._arrival_timer = self.loop.call_later(
                limit_s, self._on_late_arrival, awaited, limit_s
            )

    def _find_awaited(self) -> Any:
        """Return the state of a parser that waits for data, or None."""
        state = self.conn.their_state
        if state is h11.SEND_BODY:
            return state
        # Between requests the keep-alive timeout applies instead.
        if state is h11.IDLE and (self.cycle is None or self.conn.unparsed_bytes()):
            return state
        return None

    def _on_late_arrival(self, awaited: Any, limit_s: float) -> None:
        part, reason = "headers", "head time"
        if awaited is h11.SEND_BODY:
            part, reason = "body", "body time"
        message = f"the {part} did not arrive within {limit_s:g} s"
        self._refuse(ResultCode.CALL_TOO_SLOW, message, reason)

    def _cancel_arrival_timer(self) -> None:
        self._awaited = None
        if self._arrival_timer is not None:
            self._arrival_timer.cancel()
            self._arrival_timer = None

    def _watch_unread(self) -> None:
        self._unread_bytes = self.transport.get_write_buffer_size()
        self._unread_timer = self.loop.call_later(
            self._limits.unread_answer_s, self._check_unread
        )

    def _check_unread(self) -> None:
        """Abort if the caller has read nothing since the last check."""
        if self.transport.get_write_buffer_size() < self._unread_bytes:
            self._watch_unread()
            return
        self._intake.count_refusal(self._listener, "unread answer")
        self.transport.abort()

    def _cancel_unread_timer(self) -> None:
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None

    def _describe_arrival(self) -> None:
        """Tell the application how the request in progress has arrived."""
        if self.cycle is None or ARRIVAL_KEY in self.cycle.scope["state"]:
            return
        self.cycle.scope["state"][ARRIVAL_KEY] = self._arrival
        self._arrival = RequestArrival.of_later_request(self.transport)

    # Accounting and refusals.

    def _charge(self) -> None:
        change = self.held_bytes() - self.charged_bytes
        if -_CHARGE_STEP_BYTES < change < _CHARGE_STEP_BYTES:
            return
        self._intake.charge(self)
        if self._is_over_allotment() and self.holds_enough():
            self.flow.pause_reading()

    def _is_over_allotment(self) -> bool:
        return self.charged_bytes > self._limits.connection_bytes

    def _is_handling_call(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _is_passed_on(self) -> bool:
        """Return whether a request is in progress that has arrived as a whole.

        A request that was answered before its body arrived counts as well.
        """
        cycle = self.cycle
        if cycle is None or (cycle.response_complete and not cycle.more_body):
            return False
        return cycle.response_started or not cycle.more_body

    def _refuse(
        self, code: ResultCode, message: str, reason: str, status: int | None = None
    ) -> None:
        """Answer that the request was not passed on, and close."""
        self._cancel_arrival_timer()
        self._unset_keepalive_if_required()
        if self._refused or self.transport.is_closing():
            return
        self._refused = True
        self._intake.count_refusal(self._listener, reason)
        if self._is_passed_on():
            self.transport.close()
            return
        if self._is_handling_call():
            self._end_call()
        body = json.dumps(error_body(code, message)).encode()
        head = (
            f"HTTP/1.1 {status or http_status(code)} Refused\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"Retry-After: {RETRY_AFTER_S}\r\n"
            "Connection: close\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
        self._intake.charge(self)
        if self.conn.their_state is h11.IDLE and not self.conn.unparsed_bytes():
            self.transport.close()
            return
        self.transport.write_eof()
        self.transport.resume_reading()
        self._arrival_timer = self.loop.call_later(_LINGER_S, self.transport.abort)

    def _end_call(self) -> None:
        """Let the application see that the request has ended, and free it."""
        cycle = self.cycle
        cycle.scope["state"][REFUSED_KEY] = True
        cycle.disconnected = True
        cycle.waiting_for_100_continue = False
        cycle.body = bytearray()
        cycle.message_event.set()

    def _drop(self, data: bytes) -> None:
        self._lingered_bytes += len(data)
        if self._lingered_bytes > _LINGER_BYTES:
            self.transport.abort()
