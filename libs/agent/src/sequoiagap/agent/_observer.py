"""Records the result of each attempt at the gate of the endpoint."""

import time

START_ID_HEADER = "X-Start-Id"
EVENT_STREAM = "text/event-stream"
FIRST_SERVER_ERROR = 500


class AttemptObserver:
    """Records the course of one attempt at the endpoint.

    :param sequoiagap.admission.EndpointGate gate: gate of the endpoint.
    """

    def __init__(self, gate):
        self.gate = gate
        self._began = time.monotonic()
        self._first_byte_s = None
        self._is_stream = False
        self._is_server_error = False

    def record_head(self, status, headers):
        """Record status and headers of the endpoint's answer.

        :param int status: HTTP status.
        :param headers: HTTP headers; they contain the start id if the endpoint sends
            one.
        """
        self.gate.check_start_id(headers.get(START_ID_HEADER, ""), time.monotonic())
        self._is_stream = headers.get("Content-Type", "").startswith(EVENT_STREAM)
        self._is_server_error = status >= FIRST_SERVER_ERROR

    def record_data(self):
        """Record that bytes of the answer arrived."""
        if self._first_byte_s is None:
            self._first_byte_s = time.monotonic() - self._began

    def record_complete(self):
        """Record the end of a complete answer."""
        now = time.monotonic()
        if self._is_server_error:
            self.gate.record_error(now)
        else:
            self.gate.record_answer(self._first_byte_s if self._is_stream else 0.0, now)

    def record_failure(self):
        """Record that the endpoint gave no complete answer.

        An attempt that ends because the caller's deadline passes is cancelled and not
        recorded: it says nothing about the endpoint.
        """
        self.gate.record_error(time.monotonic())
