"""Runs the attempts that entries send and returns their answers."""

import asyncio

from sequoiagap import base, outcome, wire
from sequoiagap.agent import (
    _answers,
    _attempt_control,
    _endpoint,
    _refusals,
    _run_claims,
    _run_table,
    _runs,
    _slots,
)

SERVICE_TIME_WEIGHT = 0.2
CLAIM_END_MARGIN_S = 60.0
MILLISECONDS = 1000

_log = base.get_logger("executor")


class Executor:
    """Runs attempts at the endpoint, within its limit and after claiming their keys.

    :param EndpointClient client: client of the endpoint.
    :param sequoiagap.admission.EndpointGate gate: limit on concurrent attempts.
    :param sequoiagap.outcome.Ledger ledger: attempts of this incarnation.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param str node_id: id of the endpoint.
    :param str failure_domain: failure domain of the endpoint.
    :param sequoiagap.platform.PlatformClient platform_client: stores claims.

    :ivar sequoiagap.base.Metrics metrics_: counts and durations of attempts.
    :ivar float service_time_s_: moving average of the time of an attempt, in
        seconds.
    :ivar bool stopping_: whether new attempts are refused because of a shutdown.
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
        self.claims_ = _run_claims.RunClaims(
            platform_client, node_id, ledger.incarnation
        )
        self.answers_ = _answers.AnswerSenders(self.load)
        self.slots_ = _slots.SlotQueue(gate, self.answers_.load_updates_.record_change)
        self._task_by_run = {}
        self._attempt_control = _attempt_control.AttemptControl(
            ledger, self.table_, self.answers_, self._stop_run
        )

    def attach(self, handlers):
        """Register the message handlers of attempts.

        :param sequoiagap.wire.HandlerTable handlers: table to fill.
        """
        handlers.add(wire.Execute, self._on_execute)
        self._attempt_control.attach(handlers)

    async def send_clock_and_load(self, connection):
        """Send the agent's clock and load to a newly connected entry.

        :param sequoiagap.wire.Connection connection: the entry.
        """
        await connection.send(wire.AgentClock(int(_now() * MILLISECONDS)))
        await connection.send(self.load())

    def forget_connection(self, connection):
        """Release what belongs to a lost connection, see :class:`AttemptControl`.

        :param sequoiagap.wire.Connection connection: the entry.
        """
        self.answers_.load_updates_.unsubscribe(connection)
        self._attempt_control.forget_connection(connection)

    def load(self):
        """Return the load of the endpoint as reported to entries.

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
        """Return the state of attempts and claims as plain data.

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

    async def wait_idle(self, timeout_s):
        """Wait until no attempt runs.

        After the timeout, the entries that still wait for an answer get a refusal.

        :param float timeout_s: longest wait, in seconds.
        """
        if self._task_by_run:
            await asyncio.wait(list(self._task_by_run.values()), timeout=timeout_s)
        for run in self.table_.running():
            run.refuse(self.refusals_.stopped(run.started_))
        await self.answers_.flush()

    async def close(self):
        """Cancel the attempts that still run."""
        await self._tasks.close()
        await self.answers_.close()
        await self.claims_.close()

    async def _on_execute(self, connection, order):
        expires_at = order.expires_at_ms / MILLISECONDS
        if not self.ledger.accept(order.attempt_id, expires_at, _now()):
            await self._answer_not_accepted(connection, order, expires_at)
            return
        proposal = self.claims_.make_proposal(order)
        existing_run = (
            None if proposal is None else self.table_.by_identity.get(proposal.identity)
        )
        if existing_run is not None:
            self._join(connection, order, existing_run, proposal)
            return
        refusal = self._find_refusal(order)
        if refusal is not None:
            self.ledger.finish(order.attempt_id, _now())
            await connection.send(refusal)
            await connection.send(self.load())
            return
        self._start(connection, order, proposal)

    async def _answer_not_accepted(self, connection, order, expires_at):
        attempt_state = self.ledger.state(order.attempt_id, expires_at, _now())
        if attempt_state == outcome.AttemptState.NEVER_STARTED:
            refusal = self.refusals_.too_late(order.attempt_id)
        elif attempt_state == outcome.AttemptState.UNKNOWN:
            refusal = self.refusals_.forgotten(order.attempt_id)
        else:
            # A duplicate: the entry that sent the first copy gets the answer.
            _log.emit(
                base.Event.ATTEMPT_DUPLICATE,
                request_id=order.request_id,
                attempt_id=order.attempt_id,
                config_version=order.config_version,
            )
            return
        await connection.send(refusal)

    def _join(self, connection, order, run, proposal):
        """Let a second request with the same key share the run of the first."""
        attempt_id = order.attempt_id
        self.ledger.start(attempt_id, _now())
        if proposal.digest != run.proposal.digest:
            refusal = self.refusals_.mismatch(attempt_id)
        elif not run.holds_from(0):
            refusal = self.refusals_.answer_gone(attempt_id)
        else:
            self.table_.add(run, attempt_id)
            self.answers_.start(run, connection, attempt_id)
            return
        self.ledger.finish(attempt_id, _now())
        self.answers_.send(connection, refusal)

    def _start(self, connection, order, proposal):
        run = _runs.Run(order, proposal)
        run.slot_request_ = self.slots_.request_slot(_now())
        self.table_.add(run, order.attempt_id)
        self.answers_.start(run, connection, order.attempt_id)
        task = self._tasks.start(self._run(run), order.attempt_id)
        self._task_by_run[run] = task
        task.add_done_callback(lambda _: self._finish_unstarted(run))

    def _finish_unstarted(self, run):
        """Finish a run whose task was cancelled before its first step."""
        if run in self._task_by_run:
            run.refuse(self.refusals_.stopped(run.started_))
            self._finish(run)

    def _stop_run(self, run):
        task = self._task_by_run.get(run)
        if task is not None:
            task.cancel()

    def _find_refusal(self, order):
        if self.stopping_ or self.is_drained():
            return self.refusals_.draining(order.attempt_id, self._blocking_setting())
        if not self.slots_.can_accept(_now()):
            return self.refusals_.no_slot(order.attempt_id)
        return None

    def is_drained(self):
        """Return whether operators drained the endpoint or its failure domain.

        :rtype: bool
        """
        return bool(self._blocking_setting())

    def _blocking_setting(self):
        return self.holder.blocking_setting(self.failure_domain, self.node_id)

    async def _run(self, run):
        """Wait for a slot, claim the key, and execute the run."""
        slot_request = run.slot_request_
        try:
            refusal = (
                await self._claim_and_start(run) if await slot_request.wait() else None
            )
            if not slot_request.is_granted_:
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

    async def _claim_and_start(self, run):
        """Claim the key and mark the attempt as started.

        Return a refusal if either is not possible.
        """
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
            async with asyncio.timeout(self._run_timeout_s(run.order)):
                await self.client.call(run.order, run.receive_head, run.receive_data)
            run.finish()
            self._update_service_time(_now() - began)
            self.metrics_.observe("attempt_seconds", _now() - began)
        except _endpoint.EndpointError as error:
            run.started_ = error.sent
            run.refuse(self.refusals_.endpoint_failed(error))
        except TimeoutError:
            run.refuse(self.refusals_.past_deadline())

    def _run_timeout_s(self, order):
        """Return how long a run may take, in seconds.

        A run that is not repeatable may outlive its caller, but not its claim.
        """
        if not order.repeatable:
            return outcome.CLAIM_WINDOW_S - CLAIM_END_MARGIN_S
        return max(order.expires_at_ms / MILLISECONDS - _now(), 0.0)

    def _finish(self, run):
        self.metrics_.count("attempts_total", result=_result_label(run))
        self.slots_.release(run.slot_request_, _now())
        self._task_by_run.pop(run, None)
        for attempt_id in run.attempt_ids_:
            self.ledger.finish(attempt_id, _now())
        if run.is_keyed:
            self.claims_.finish(run)
            if not run.started_:
                self.table_.release_key(run)
        self.table_.record_end(run, _now())

    def _update_service_time(self, seconds):
        if self.service_time_s_ == 0.0:
            self.service_time_s_ = seconds
        self.service_time_s_ += SERVICE_TIME_WEIGHT * (seconds - self.service_time_s_)


def _now():
    return asyncio.get_running_loop().time()


def _result_label(run):
    return str(run.end_.kind) if isinstance(run.end_, wire.Refused) else "answered"
