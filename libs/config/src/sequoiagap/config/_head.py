"""Configuration object in the platform: parsing and serialization."""

import dataclasses

from sequoiagap import base
from sequoiagap.config import _document, _history, _version

CONFIG_OBJECT = "sequoiagap-config"
MAX_DOCUMENT_BYTES = 400_000


@dataclasses.dataclass(frozen=True)
class Head:
    """Content of the configuration object.

    :param int object_version: version of the platform object; 0 if there is none.
    :param ConfigVersion version: current configuration.
    :param list history: each :class:`HistoryEntry` of the latest patches, oldest
        first.
    """

    object_version: int = 0
    version: _version.ConfigVersion = _version.ConfigVersion()
    history: list = dataclasses.field(default_factory=list)

    def steps(self):
        """Return the steps of the history whose patches are stored.

        :rtype: list[Step]
        """
        return [
            _version.Step(entry.number, entry.patch)
            for entry in self.history
            if entry.patch is not None and entry.kind == "patch"
        ]

    def find_patch(self, patch_id):
        """Return the history entry of a patch, or ``None`` if there is none.

        :param str patch_id: id of the patch.
        :rtype: HistoryEntry | None
        """
        matches = [item for item in self.history if item.patch_id == patch_id]
        return matches[0] if matches else None


def parse_head(stored):
    """Return the content of the configuration object.

    :param sequoiagap.platform.StoredObject stored: platform object, or ``None``.
    :rtype: Head
    :raises sequoiagap.base.ConfigError: if the object is malformed.
    """
    if stored is None:
        return Head()
    try:
        number = stored.value["number"]
        if type(number) is not int or number < 1:
            raise ValueError(f"number: {number!r} is not a version number")
        document = _document.ConfigDocument.model_validate(stored.value["document"])
        history = _history.parse_entries(stored.value.get("history", []))
    except (ValueError, TypeError, AttributeError) as error:
        raise _malformed(error) from error
    except KeyError as error:
        raise _malformed(f"{error} is missing") from error
    version = _version.ConfigVersion(number, document)
    return Head(stored.version, version, history)


def head_value(version, history):
    """Return the value of the configuration object.

    :param ConfigVersion version: configuration to store.
    :param list[HistoryEntry] history: latest patches, oldest first.
    :rtype: dict
    """
    return {
        "number": version.number,
        "document": version.raw,
        "history": [dataclasses.asdict(entry) for entry in history],
    }


def _malformed(problem):
    return base.ConfigError(
        f"object {CONFIG_OBJECT!r} in the platform is malformed: {problem}",
        "Correct the object, or write the version in force back with "
        "'sequoiagap config restore'",
    )
