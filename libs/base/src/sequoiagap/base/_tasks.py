"""Owned background tasks."""

import asyncio

from sequoiagap.base import _events

MAX_LOOP_LAG_S = 0.1  # a process this late itself has not shown that others are silent

_log = _events.get_logger("tasks")


async def cancel_and_wait(task):
    """Cancel a task and wait until it has ended.

    :param asyncio.Task task: the task, or ``None``.
    """
    if task is None:
        return
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


class TaskSet:
    """Background tasks of one owner; failures are logged, never lost."""

    def __init__(self):
        self.tasks_ = set()

    def start(self, coroutine, name):
        """Start a task and keep it until it ends.

        :param collections.abc.Coroutine coroutine: what to run.
        :param str name: name of the task, for logs.
        :rtype: asyncio.Task
        """
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self.tasks_.add(task)
        task.add_done_callback(self._finished)
        return task

    async def close(self):
        """Cancel every task and wait for them."""
        tasks = list(self.tasks_)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finished(self, task):
        self.tasks_.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        _log.emit(
            _events.Event.TASK_FAILED,
            task=task.get_name(),
            error=repr(task.exception()),
        )
