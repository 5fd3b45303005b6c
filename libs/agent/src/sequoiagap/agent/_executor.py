"""Takes the attempts that entries send, runs them and reports their answers."""

import asyncio

from sequoiagap import base, outcome, wire
from sequoiagap.agent import (
    _answers,
    _claim_desk,
    _endpoint,
    _follow_ups,
    _refusals,
    _run_table,
    _runs,
    _slots,
)

SERVICE_TIME_WEIGHT = 0.2
CLAIM_END_MARGIN_S = 60.0
MILLISECONDS = 1000

_log = base.get_logger("executor")


class Executor:
    """Runs the attempts that entries send.

    :param EndpointClient client: the endpoint.
    :param sequoiagap.admission.EndpointGate gate: what the endpoint bears.
    :param sequoiagap.outcome.Ledger ledger: attempts of this incarnation.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param str node_id: id of the endpoint.
    :param str failure_domain: where the endpoint stands.
    :param sequoiagap.platform.PlatformClient platform_client: keeps claims.

    :ivar sequoiagap.base.Metrics metrics_: counts and times of attempts.
    :ivar float service_time_s_: recent mean time of an attempt in seconds.
    :ivar bool stopping_: whether new work is refused.
    """

    def __init__(
        self, client, gate, ledger, holder, node_id, failure_domain, platform_client
    ):
        self.client = client
        self.gate = gate
        self.ledger = ledger
        self.holder = holder
        self.node_id = node_id
        self.failure_domain = failure_domain
        self.platform_client = platform_client
        self.metrics_ = base.Metrics()
        self.service_time_s_ = 0.0
        self.stopping_ = False
        self.table_ = _run_table.RunTable()
        self.refusals_ = _refusals.Refusals(holder)
        self._tasks = base.TaskSet()
        self.claims_ = _claim_desk.ClaimDesk(
            platform_client, node_id, ledger.incarnation
        )
        self.answers_ = _answers.AnswerSenders(self.load)
        self.slots_ = _slots.SlotQueue(gate, self.answers_.news_.note_change)
        self._task_by_run = {}
        self._follow_ups = _follow_ups.FollowUps(
            ledger, self.table_, self.answers_, self._stop_run
        )

    def attach(self, handlers):
        """Register the message handlers of attempts.

        :param sequoiagap.wire.HandlerTable handlers: table to fill.
        """
        handlers.add(wire.Execute, self._on_execute)
        self._follow_ups.attach(handlers)

    async def greet(self, connection):
        """Tell a newly connected entry the agent's clock and load.

        :param sequoiagap.wire.Connection connection: the entry.
        """
        await connection.send(wire.AgentClock(int(_now() * MILLISECONDS)))
        await connection.send(self.load())

    def forget_connection(self, connection):
        """Note that a connection is lost, see :class:`FollowUps`.

        :param sequoiagap.wire.Connection connection: the entry.
        """
        self.answers_.news_.forget(connection)
        self._follow_ups.forget_connection(connection)

    def load(self):
        """Return what entries may know of the endpoint.

        :rtype: sequoiagap.wire.Load
        """
        limit = self.gate.limit(_now())
        return wire.Load(
            state=self.gate.state,
            in_flight=self.gate.in_flight_ + self.gate.inherited_,
            limit=limit,
            queued=self.slots_.size_,
            service_time_s=self.service_time_s_,
            role=self.gate.role_,
        )

    def dump_state(self):
        """Return what is known of attempts and claims as plain data.

        :rtype: dict
        """
        return {
            "running": len(self._task_by_run),
            "joined": len(self.table_.by_attempt_id),
            "keyed": len(self.table_.by_identity),
            "held_bytes": self.table_.held_bytes_,
            "remembered_ids": len(self.ledger.entry_by_id),
            "claim_writes": self.claims_.writes_,
            "claim_reads": self.claims_.reads_,
        }

    async def wait_idle(self, bound_s):
        """Wait until no attempt runs; after the bound tell those who wait so.

        :param float bound_s: longest wait, in seconds.
        """
        if self._task_by_run:
            await asyncio.wait(list(self._task_by_run.values()), timeout=bound_s)
        for run in self.table_.running():
            run.refuse(self.refusals_.stopped(run.started_))
        await self.answers_.wait_sent()

    async def close(self):
        """Cancel what still runs."""
        await self._tasks.close()
        await self.answers_.close()
        await self.claims_.close()

    async def _on_execute(self, connection, order):
        expires_at = order.expires_at_ms / MILLISECONDS
        if not self.ledger.accept(order.attempt_id, expires_at, _now()):
            await self._answer_not_accepted(connection, order, expires_at)
            return
        wish = self.claims_.wish(order)
        known = None if wish is None else self.table_.by_identity.get(wish.identity)
        if known is not None:
            self._join(connection, order, known, wish)
            return
        refusal = self._find_refusal(order)
        if refusal is not None:
            self.ledger.finish(order.attempt_id, _now())
            await connection.send(refusal)
            await connection.send(self.load())
            return
        self._start(connection, order, wish)

    async def _answer_not_accepted(self, connection, order, expires_at):
        standing = self.ledger.state(order.attempt_id, expires_at, _now())
        if standing == outcome.AttemptState.NEVER_STARTED:
            refusal = self.refusals_.too_late(order.attempt_id)
        elif standing == outcome.AttemptState.UNKNOWN:
            refusal = self.refusals_.forgotten(order.attempt_id)
        else:
            # The first order runs or ran, and its answer goes to its own entry.
            _log.emit(
                base.Event.ATTEMPT_DUPLICATE,
                request_id=order.request_id,
                attempt_id=order.attempt_id,
                config_version=order.config_version,
            )
            return
        await connection.send(refusal)

    def _join(self, connection, order, run, wish):
        """Let a second request with a key wait for the run of the first."""
        attempt_id = order.attempt_id
        self.ledger.start(attempt_id, _now())
        if wish.digest != run.wish.digest:
            refusal = self.refusals_.mismatch(attempt_id)
        elif not run.can_give_from(0):
            refusal = self.refusals_.answer_gone(attempt_id)
        else:
            self.table_.add(run, attempt_id)
            self.answers_.start(run, connection, attempt_id)
            return
        self.ledger.finish(attempt_id, _now())
        self.answers_.send(connection, refusal)

    def _start(self, connection, order, wish):
        run = _runs.Run(order, wish)
        run.place_ = self.slots_.enter(_now())
        self.table_.add(run, order.attempt_id)
        self.answers_.start(run, connection, order.attempt_id)
        task = self._tasks.start(self._run(run), order.attempt_id)
        self._task_by_run[run] = task
        task.add_done_callback(lambda _: self._finish_unbegun(run))

    def _finish_unbegun(self, run):
        """Finish a run whose task was cancelled before its first step."""
        if run in self._task_by_run:
            run.refuse(self.refusals_.stopped(run.started_))
            self._finish(run)

    def _stop_run(self, run):
        task = self._task_by_run.get(run)
        if task is not None:
            task.cancel()

    def _find_refusal(self, order):
        if self.stopping_ or self.is_out():
            return self.refusals_.draining(order.attempt_id, self._out_setting())
        if not self.slots_.has_room(_now()):
            return self.refusals_.no_slot(order.attempt_id)
        return None

    def is_out(self):
        """Return whether operators took the endpoint or its domain out.

        :rtype: bool
        """
        return bool(self._out_setting())

    def _out_setting(self):
        return self.holder.blocking_setting(self.failure_domain, self.node_id)

    async def _run(self, run):
        """Wait for a slot, claim, start and run."""
        place = run.place_
        try:
            refusal = await self._begin(run) if await place.wait() else None
            if not place.given_:
                refusal = self.refusals_.no_slot(run.order.attempt_id)
            if refusal is None:
                await self._execute(run)
            else:
                run.refuse(refusal)
        except asyncio.CancelledError:
            run.refuse(self.refusals_.stopped(run.started_))
            raise
        finally:
            self._finish(run)

    async def _begin(self, run):
        """Make the claim and start; return a refusal if either can't be done."""
        order = run.order
        if run.is_keyed:
            answer = await self.claims_.claim(run)
            if answer.decision != outcome.ClaimDecision.HELD:
                return self.refusals_.no_claim(
                    answer, self.node_id, self.ledger.incarnation
                )
        if self.stopping_ or not self.ledger.start(order.attempt_id, _now()):
            return self.refusals_.revoked(order.attempt_id)
        run.started_ = True
        return None

    async def _execute(self, run):
        began = _now()
        try:
            async with asyncio.timeout(self._run_bound_s(run.order)):
                await self.client.call(run.order, run.take_head, run.take_data)
            run.finish()
            self._learn_service_time(_now() - began)
            self.metrics_.observe("attempt_seconds", _now() - began)
        except _endpoint.EndpointError as error:
            run.started_ = error.sent
            run.refuse(self.refusals_.endpoint_failed(error))
        except TimeoutError:
            run.refuse(self.refusals_.past_deadline())

    def _run_bound_s(self, order):
        """Return how long a run may take, in seconds.

        One that may not be repeated outlives its caller, but not its claim.
        """
        if not order.repeatable:
            return outcome.CLAIM_WINDOW_S - CLAIM_END_MARGIN_S
        return max(order.expires_at_ms / MILLISECONDS - _now(), 0.0)

    def _finish(self, run):
        self.metrics_.count("attempts_total", result=_result(run))
        self.slots_.leave(run.place_, _now())
        self._task_by_run.pop(run, None)
        for attempt_id in run.attempt_ids_:
            self.ledger.finish(attempt_id, _now())
        if run.is_keyed:
            self.claims_.finish(run)
            if not run.started_:
                self.table_.unkey(run)
        self.table_.hold(run, _now())

    def _learn_service_time(self, seconds):
        if self.service_time_s_ == 0.0:
            self.service_time_s_ = seconds
        self.service_time_s_ += SERVICE_TIME_WEIGHT * (seconds - self.service_time_s_)


def _now():
    return asyncio.get_running_loop().time()


def _result(run):
    return str(run.end_.kind) if isinstance(run.end_, wire.Refused) else "answered"
