"""Shows the gate what becomes of each attempt at the endpoint."""

import time

START_ID_HEADER = "X-Start-Id"
EVENT_STREAM = "text/event-stream"
FIRST_SERVER_ERROR = 500


class AttemptObserver:
    """Follows one attempt at the endpoint.

    :param sequoiagap.admission.EndpointGate gate: what is told.
    """

    def __init__(self, gate):
        self.gate = gate
        self._began = time.monotonic()
        self._first_byte_s = None
        self._is_stream = False
        self._failed = False

    def head(self, status, headers):
        """Take status and headers of the endpoint's answer.

        :param int status: HTTP status.
        :param headers: HTTP headers, with the start id where the endpoint
            gives one.
        """
        self.gate.check_start_id(headers.get(START_ID_HEADER, ""), time.monotonic())
        self._is_stream = headers.get("Content-Type", "").startswith(EVENT_STREAM)
        self._failed = status >= FIRST_SERVER_ERROR

    def data(self):
        """Note that bytes of the answer came."""
        if self._first_byte_s is None:
            self._first_byte_s = time.monotonic() - self._began

    def done(self):
        """Note the end of a whole answer."""
        now = time.monotonic()
        if self._failed:
            self.gate.record_error(now)
        else:
            self.gate.record_answer(self._first_byte_s if self._is_stream else 0.0, now)

    def failed(self):
        """Note that the endpoint gave no whole answer.

        The end of the caller's own time comes as a cancellation and is not noted:
        it says nothing about the endpoint.
        """
        self.gate.record_error(time.monotonic())
