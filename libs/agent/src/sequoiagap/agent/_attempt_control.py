"""Messages of entries about attempts already sent: credit, cancel, attach."""

import asyncio

from sequoiagap import base, outcome, wire

REATTACH_GRACE_S = 3.0
MILLISECONDS = 1000

_log = base.get_logger("executor")


class AttemptControl:
    """Handles messages about running attempts and stops runs that no entry needs.

    :param sequoiagap.outcome.Ledger ledger: attempts of this incarnation.
    :param RunTable table: runs by attempt.
    :param AnswerSenders answers: sends the answers.
    :param stop_run: function that stops a run.
    """

    def __init__(self, ledger, table, answers, stop_run):
        self.ledger = ledger
        self.table = table
        self.answers = answers
        self.stop_run = stop_run

    def attach(self, handlers):
        """Register the message handlers.

        :param sequoiagap.wire.HandlerTable handlers: table to fill.
        """
        handlers.add(wire.Cancel, self._on_cancel)
        handlers.add(wire.Attach, self._on_attach)
        handlers.add(wire.Credit, self._on_credit)

    def forget_connection(self, connection):
        """Close the streams of a lost connection.

        Repeatable runs to which no entry reattaches within :data:`REATTACH_GRACE_S` are
        stopped; other runs complete and their answers are kept.

        :param sequoiagap.wire.Connection connection: the entry.
        """
        for run in self.table.running():
            streams = list(run.stream_by_attempt_id.values())
            for stream in streams:
                if stream.connection is connection:
                    run.close_stream(stream)
            if streams and not run.stream_by_attempt_id:
                loop = asyncio.get_running_loop()
                loop.call_later(REATTACH_GRACE_S, self._stop_if_unattended, run)

    async def _on_credit(self, connection, item):
        run = self.table.by_attempt_id.get(item.attempt_id)
        stream = run and run.stream_by_attempt_id.get(item.attempt_id)
        if stream is not None:
            stream.record_credit(item.next_sequence)

    async def _on_cancel(self, connection, order):
        expires_at = order.expires_at_ms / MILLISECONDS
        incarnation = self.ledger.incarnation
        attempt_state = self.ledger.revoke(
            order.attempt_id, incarnation, expires_at, _now()
        )
        _log.emit(
            base.Event.ATTEMPT_REVOKED,
            attempt_id=order.attempt_id,
            standing=str(attempt_state),
        )
        run = self.table.by_attempt_id.get(order.attempt_id)
        if run is None:
            return
        stream = run.stream_by_attempt_id.get(order.attempt_id)
        if stream is not None:
            run.close_stream(stream)
        never_starts = attempt_state == outcome.AttemptState.NEVER_STARTED
        is_unneeded = run.order.repeatable and not run.stream_by_attempt_id
        if is_unneeded or (never_starts and not run.started_):
            self.stop_run(run)

    async def _on_attach(self, connection, order):
        run = self.table.by_attempt_id.get(order.attempt_id)
        attempt_state = self._state_for_attach(order, run)
        _log.emit(
            base.Event.ATTEMPT_REATTACHED,
            attempt_id=order.attempt_id,
            standing=str(attempt_state),
            next_sequence=order.next_sequence,
        )
        is_held = run is not None and run.holds_from(order.next_sequence)
        if attempt_state == outcome.AttemptState.UNKNOWN or not is_held:
            await connection.send(wire.Revoked(order.attempt_id, str(attempt_state)))
            return
        previous = run.stream_by_attempt_id.get(order.attempt_id)
        if previous is not None:
            run.close_stream(previous)
        self.answers.start(run, connection, order.attempt_id, order.next_sequence)

    def _state_for_attach(self, order, run):
        expires_at = order.expires_at_ms / MILLISECONDS
        if run is None or order.incarnation != self.ledger.incarnation:
            return self.ledger.revoke(
                order.attempt_id, order.incarnation, expires_at, _now()
            )
        return self.ledger.state(order.attempt_id, expires_at, _now())

    def _stop_if_unattended(self, run):
        is_wanted = run.stream_by_attempt_id or not run.order.repeatable
        if run.end_ is None and not is_wanted:
            _log.emit(
                base.Event.RUN_ABANDONED,
                request_id=run.order.request_id,
                attempt_id=run.order.attempt_id,
                config_version=run.order.config_version,
            )
            self.stop_run(run)


def _now():
    return asyncio.get_running_loop().time()
