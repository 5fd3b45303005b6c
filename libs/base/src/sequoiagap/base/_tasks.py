"""Background asyncio tasks that are owned, logged on failure and cancelled."""

import asyncio

from sequoiagap.base import _events

# Above this lag of the own event loop, a missing answer is no evidence that the peer
# is silent: the answer may wait unread in this process.
MAX_LOOP_LAG_S = 0.1

_log = _events.get_logger("tasks")


async def cancel_and_wait(task):
    """Cancel a task and wait until it has ended.

    :param asyncio.Task task: task to cancel; ``None`` does nothing.
    """
    if task is None:
        return
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


class TaskSet:
    """Runs background tasks of one owner and logs those that fail.

    :ivar set tasks_: tasks that have not ended.
    """

    def __init__(self):
        self.tasks_ = set()

    def start(self, coroutine, name):
        """Start a task and hold a reference to it until it ends.

        :param collections.abc.Coroutine coroutine: coroutine to run.
        :param str name: name of the task in logs.
        :rtype: asyncio.Task
        """
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self.tasks_.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def close(self):
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self.tasks_)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task):
        self.tasks_.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        _log.emit(
            _events.Event.TASK_FAILED,
            task=task.get_name(),
            error=repr(task.exception()),
        )
