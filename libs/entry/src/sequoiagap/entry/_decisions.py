"""Decisions about requests, told once for the log and for ``explain``."""


class DecisionLog:
    """Writes each decision to the log and to the journal, with the same values.

    :param sequoiagap.outcome.Journal journal: remembers decisions.
    :param sequoiagap.base.Logger logger: writes log lines.

    .. code-block:: python

        decisions = DecisionLog(journal, base.get_logger("callers"))
        decisions.note(
            base.Event.REQUEST_ADMITTED, request_id="req-1", config_version=4
        )
    """

    def __init__(self, journal, logger):
        self.journal = journal
        self.logger = logger

    def note(self, event, *, request_id, config_version, **values):
        """Note one decision.

        :param sequoiagap.base.Event event: which decision; its name names the
            step that ``explain`` shows.
        :param str request_id: the request; empty if it has no record.
        :param int config_version: version that the decision rests on.
        :param values: further values; never prompts, answers or keys.
        """
        step = event.name.lower().removeprefix("request_")
        self.journal.record(request_id, step, config_version, **values)
        self.logger.emit(
            event, request_id=request_id, config_version=config_version, **values
        )
