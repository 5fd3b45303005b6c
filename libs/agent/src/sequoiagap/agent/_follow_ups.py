"""What entries do about attempts that they have sent: credit, cancel, attach."""

import asyncio

from sequoiagap import base, outcome, wire

GRACE_S = 3.0
MILLISECONDS = 1000

_log = base.get_logger("executor")


class FollowUps:
    """Follows who waits for runs, and stops those that nobody wants.

    :param sequoiagap.outcome.Ledger ledger: attempts of this incarnation.
    :param RunTable table: runs by attempt.
    :param AnswerSenders answers: sends answers.
    :param stop_run: function of a run that stops it.
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
        """Note that a connection is lost.

        Repeatable runs that nobody takes up again within :data:`GRACE_S` are
        stopped; the others run to their end and hold their answer.

        :param sequoiagap.wire.Connection connection: the entry.
        """
        for run in self.table.running():
            listeners = list(run.listener_by_attempt_id.values())
            for listener in listeners:
                if listener.connection is connection:
                    run.leave(listener)
            if listeners and not run.listener_by_attempt_id:
                loop = asyncio.get_running_loop()
                loop.call_later(GRACE_S, self._abandon, run)

    async def _on_credit(self, connection, item):
        run = self.table.by_attempt_id.get(item.attempt_id)
        listener = run and run.listener_by_attempt_id.get(item.attempt_id)
        if listener is not None:
            listener.take_credit(item.next_sequence)

    async def _on_cancel(self, connection, order):
        expires_at = order.expires_at_ms / MILLISECONDS
        incarnation = self.ledger.incarnation
        standing = self.ledger.revoke(order.attempt_id, incarnation, expires_at, _now())
        _log.emit(
            base.Event.ATTEMPT_REVOKED,
            attempt_id=order.attempt_id,
            standing=str(standing),
        )
        run = self.table.by_attempt_id.get(order.attempt_id)
        if run is None:
            return
        listener = run.listener_by_attempt_id.get(order.attempt_id)
        if listener is not None:
            run.leave(listener)
        never_starts = standing == outcome.AttemptState.NEVER_STARTED
        is_wasted = run.order.repeatable and not run.listener_by_attempt_id
        if is_wasted or (never_starts and not run.started_):
            self.stop_run(run)

    async def _on_attach(self, connection, order):
        run = self.table.by_attempt_id.get(order.attempt_id)
        standing = self._standing_for_attach(order, run)
        _log.emit(
            base.Event.ATTEMPT_REATTACHED,
            attempt_id=order.attempt_id,
            standing=str(standing),
            next_sequence=order.next_sequence,
        )
        is_held = run is not None and run.can_give_from(order.next_sequence)
        if standing == outcome.AttemptState.UNKNOWN or not is_held:
            await connection.send(wire.Revoked(order.attempt_id, str(standing)))
            return
        old = run.listener_by_attempt_id.get(order.attempt_id)
        if old is not None:
            run.leave(old)
        self.answers.start(run, connection, order.attempt_id, order.next_sequence)

    def _standing_for_attach(self, order, run):
        expires_at = order.expires_at_ms / MILLISECONDS
        if run is None or order.incarnation != self.ledger.incarnation:
            return self.ledger.revoke(
                order.attempt_id, order.incarnation, expires_at, _now()
            )
        return self.ledger.state(order.attempt_id, expires_at, _now())

    def _abandon(self, run):
        is_wanted = run.listener_by_attempt_id or not run.order.repeatable
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
