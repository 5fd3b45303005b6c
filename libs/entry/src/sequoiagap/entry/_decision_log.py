"""Recording of decisions about requests, for the log and for ``explain``."""


class DecisionLog:
    """Writes each decision to the log and to the journal, with the same values.

    :param sequoiagap.outcome.Journal journal: stores decisions for ``explain``.
    :param sequoiagap.base.Logger logger: writes log lines.

    .. code-block:: python

        decisions = DecisionLog(journal, base.get_logger("callers"))
        decisions.record(
            base.Event.REQUEST_ADMITTED, request_id="req-1", config_version=4
        )
    """

    def __init__(self, journal, logger):
        self.journal = journal
        self.logger = logger

    def record(self, event, *, request_id, config_version, **values):
        """Record one decision.

        :param sequoiagap.base.Event event: the decision; ``explain`` derives the
            name of the step from the name of the event.
        :param str request_id: id of the request; empty if it has no record.
        :param int config_version: configuration version that the decision is based
            on.
        :param values: further values; never prompts, answers or keys.
        """
        step = event.name.lower().removeprefix("request_")
        self.journal.record(request_id, step, config_version, **values)
        self.logger.emit(
            event, request_id=request_id, config_version=config_version, **values
        )
