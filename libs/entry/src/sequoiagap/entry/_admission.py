"""Admission control: account limits, fair queueing and early refusals."""

import asyncio
import time

import expression

from sequoiagap import admission, base
from sequoiagap.entry import _target_scheduler, _usage_exchange

IDLE_ACCOUNT_CHECK_INTERVAL_S = 0.5
DEFAULT_WEIGHT = 1.0
MIN_RETRY_AFTER_S = 1.0

_log = base.get_logger("admission")


class EntryAdmission:
    """Passes requests to the dispatcher in weighted fair shares per account.

    :param sequoiagap.settings.EntrySettings settings: validated settings.
    :param str incarnation: incarnation of this entry.
    :param CountedDispatcher dispatcher: executes admitted requests.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param sequoiagap.base.Metrics metrics: metrics of the process.
    :param random.Random random_state: source of randomness.
    :param PeerMesh mesh: connections to other entries.

    :ivar sequoiagap.admission.UsageTable usage_: usage of accounts at this entry
        and at others.
    :ivar UsageExchange exchange_: exchanges usage with the other entries.
    """

    def __init__(
        self, settings, incarnation, dispatcher, holder, metrics, random_state, mesh
    ):
        self.settings = settings
        self.dispatcher = dispatcher
        self.links = dispatcher.links
        self.holder = holder
        self.metrics = metrics
        self.random_state = random_state
        self.usage_ = admission.UsageTable(settings.node_id, incarnation)
        self.exchange_ = _usage_exchange.UsageExchange(
            settings, self.usage_, mesh, self._charge
        )
        self._scheduler_by_target = {}
        self._tasks = base.TaskSet()

    async def dispatch(self, request, sink):
        """Execute a request once a slot is expected to be free, or refuse it.

        If the agent has no free slot after all, the request is queued again until
        the longest queueing time is over.

        :param Request request: the request.
        :param sink: see :meth:`Dispatcher.dispatch`.
        :rtype: expression.Result[None, sequoiagap.base.Refusal]
        """
        limit_refusal = self._check_account_limit(request)
        if limit_refusal is not None:
            return expression.Error(limit_refusal)
        started_at = time.monotonic()
        self.usage_.record_arrival(request.account)
        used_s = 0.0
        try:
            is_requeued = False
            while True:
                refusal = await self._wait_for_slot(request, started_at, is_requeued)
                if refusal is not None:
                    return expression.Error(refusal)
                result, seconds = await self._run_once(request, sink)
                used_s += seconds
                if not self._should_requeue(result, sink):
                    return result
                is_requeued = True
        finally:
            self.usage_.record_end(request.account, used_s)

    def abort_all(self):
        """Abort all queued and running requests immediately with a refusal."""
        for scheduler in self._scheduler_by_target.values():
            scheduler.stop()
        self.dispatcher.abort_all()

    async def forget_idle_accounts(self):
        """Remove idle accounts from the queues until cancelled."""
        while True:
            await asyncio.sleep(IDLE_ACCOUNT_CHECK_INTERVAL_S)
            for scheduler in self._scheduler_by_target.values():
                scheduler.queue.forget_idle()

    def describe(self):
        """Return the queues and the usage for the state dump.

        :rtype: dict
        """
        return {
            "waiting": {
                target: scheduler.queue.waiting_by_account()
                for target, scheduler in self._scheduler_by_target.items()
            },
            "running": {
                target: scheduler.running_
                for target, scheduler in self._scheduler_by_target.items()
            },
            "first_attempts": self.dispatcher.budget.first_attempts_,
            "retries": self.dispatcher.budget.retries_,
            "in_flight_by_account": dict(self.usage_.in_flight_),
            **self.exchange_.describe(),
        }

    def collect_metrics(self):
        """Update the gauges and counters of admission."""
        waiting = sum(
            scheduler.queue.size_ for scheduler in self._scheduler_by_target.values()
        )
        budget = self.dispatcher.budget
        self.metrics.set_gauge("requests_waiting", waiting)
        self.metrics.counters_by_name["first_attempts_total"] = budget.first_attempts_
        self.metrics.counters_by_name["retries_total"] = budget.retries_

    async def close(self):
        """Stop the tasks that wake queued requests."""
        await self._tasks.close()

    async def _run_once(self, request, sink):
        """Dispatch once; return the result and the slot time used, in seconds."""
        scheduler = self._scheduler(request.target)
        charged_s = scheduler.queue.service_time_s_
        started_at = time.monotonic()
        self.usage_.record_start(request.account)
        try:
            result = await self.dispatcher.dispatch(request, sink)
        finally:
            self.usage_.record_stop(request.account)
            scheduler.finish()
        if result.is_error():
            scheduler.queue.refund(request.account, charged_s)
            return result, 0.0
        used_s = time.monotonic() - started_at
        scheduler.queue.correct_charge(request.account, charged_s, used_s)
        return result, used_s

    async def _wait_for_slot(self, request, started_at, is_requeued):
        """Wait until the request may start; return a refusal if it may not.

        A request that is queued again goes first among those of its account, as
        soon as the next slot is expected to be free.
        """
        account = request.account
        scheduler = self._scheduler(request.target)
        weight = self._account_weight(account)
        candidates = scheduler.candidates()
        if not is_requeued and scheduler.try_start(account, weight, candidates):
            return None
        waiter = asyncio.get_running_loop().create_future()
        if is_requeued:
            scheduler.queue.requeue(account, waiter, weight)
        else:
            slots = scheduler.slots(candidates)
            shed = scheduler.queue.offer(account, waiter, weight, slots)
            if shed is not None:
                return self._refuse(request, shed.predicted_wait_s, shed.retry_after_s)
        queued_at = time.monotonic()
        until = min(started_at + self.settings.max_queue_wait_s, request.deadline)
        wait_result = await scheduler.wait(account, waiter, until - queued_at)
        self.metrics.observe("queue_seconds", time.monotonic() - queued_at)
        if wait_result == _target_scheduler.WaitResult.GIVEN:
            return None
        if wait_result == _target_scheduler.WaitResult.STOPPED:
            return self._stopping_refusal()
        wait_s = self.settings.max_queue_wait_s
        return self._refuse(request, wait_s, scheduler.queue.retry_after_s(wait_s))

    def _should_requeue(self, result, sink):
        if result.is_ok() or sink.started:
            return False
        refusal = result.error
        return (
            refusal.kind == base.RefusalKind.OVERLOADED
            and refusal.outcome == base.Outcome.NOT_RUN
        )

    def _check_account_limit(self, request):
        account_settings = self.holder.current_.document.client_accounts.get(
            request.account
        )
        if account_settings is None:
            return None
        local_count = self.usage_.in_flight_.get(request.account, 0)
        remote_count = self.exchange_.remote_in_flight(request.account)
        if local_count + remote_count < account_settings.max_in_flight:
            return None
        return base.Refusal(
            base.RefusalKind.ACCOUNT_LIMIT,
            f"{local_count + remote_count} requests of {request.account} are in flight",
            "Wait for running requests to end, or request a higher limit",
            retry_after_s=self._scheduler(request.target).queue.retry_after_s(0.0)
            + MIN_RETRY_AFTER_S,
            config_version=self.holder.current_.number,
            setting=f"client_accounts.{request.account}.max_in_flight",
        )

    def _refuse(self, request, wait_s, retry_after_s):
        self.metrics.count("shed_total")
        return base.Refusal(
            base.RefusalKind.OVERLOADED,
            f"{request.target} has no free slot; the wait would be {wait_s:.1f} s",
            "Retry after the given delay",
            retry_after_s=round(retry_after_s, 3),
            config_version=self.holder.current_.number,
            setting=f"client_accounts.{request.account}.weight",
        )

    def _stopping_refusal(self):
        return base.Refusal(
            base.RefusalKind.DRAINING,
            "this entry is shutting down",
            "Send the request again",
            retry_after_s=MIN_RETRY_AFTER_S,
            config_version=self.holder.current_.number,
        )

    def _account_weight(self, account):
        account_settings = self.holder.current_.document.client_accounts.get(account)
        if account_settings is None:
            return DEFAULT_WEIGHT
        return admission.effective_weight(
            account_settings.weight, account_settings.priority
        )

    def _scheduler(self, target):
        scheduler = self._scheduler_by_target.get(target)
        if scheduler is None:
            queue = admission.FairQueue(
                self.settings.max_queue_wait_s, self.random_state
            )
            scheduler = _target_scheduler.TargetScheduler(
                target,
                queue,
                self.links.candidates,
                self._tasks,
                lambda: 1 + self.exchange_.count_remote_entries(),
            )
            self._scheduler_by_target[target] = scheduler
        return scheduler

    def _charge(self, used_by_account):
        """Charge accounts for the slot time that they used at other entries."""
        for scheduler in self._scheduler_by_target.values():
            slots = scheduler.slots(scheduler.candidates())
            for account, used_s in used_by_account.items():
                weight = self._account_weight(account)
                scheduler.queue.record_remote_usage(account, used_s, weight, slots)
