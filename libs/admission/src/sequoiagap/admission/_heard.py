"""What other entries reported, and whether it still counts."""

import dataclasses

from sequoiagap.admission import _sheets

HEARD_S = 2.0
KEPT_S = 60.0


@dataclasses.dataclass
class Heard:
    """What one entry or collector reported last.

    :param float at: when, monotonic time in seconds.
    :param int entries: how many entries it stands for.
    :param bool wants_total: whether it wants the counts of the others.
    :param dict sheet: :class:`Count` by account.
    """

    at: float = 0.0
    entries: int = 1
    wants_total: bool = False
    sheet: dict = dataclasses.field(default_factory=dict)


class HeardTable:
    """What was heard, by id of the sender.

    A sender that falls silent counts no more. Its sheet is kept for a while, as
    it sends only changes if it was merely paused.
    """

    def __init__(self):
        self._heard_by_id = {}

    def take(self, sender_id, message, now):
        """Take a message.

        :param str sender_id: the sender.
        :param message: message with the columns of a sheet.
        :param float now: monotonic time in seconds.
        :returns: what is known now, or ``None`` where changes came without what
            they change; the sender's next connection brings everything.
        :rtype: Heard | None
        """
        heard = self._heard_by_id.get(sender_id)
        if heard is None:
            if not message.is_full:
                return None
            heard = self._heard_by_id[sender_id] = Heard()
        heard.at = now
        _sheets.apply(heard.sheet, message)
        return heard

    def last_at(self, sender_id):
        """Return when a sender was heard last; 0 for never.

        :param str sender_id: the sender.
        :rtype: float
        """
        heard = self._heard_by_id.get(sender_id)
        return heard.at if heard else 0.0

    def counted(self, now):
        """Return what counts now.

        :param float now: monotonic time in seconds.
        :rtype: dict[str, Heard]
        """
        for sender_id in [
            i for i, h in self._heard_by_id.items() if now - h.at > KEPT_S
        ]:
            del self._heard_by_id[sender_id]
        return {i: h for i, h in self._heard_by_id.items() if now - h.at <= HEARD_S}
