"""Numbered versions of the configuration and the steps between them."""

import dataclasses
import functools
import hashlib
import json

from sequoiagap.config import _document

DIGEST_CHARACTERS = 16


@dataclasses.dataclass(frozen=True)
class ConfigVersion:
    """A numbered configuration.

    :param int number: version number, from 1; 0 is the empty configuration.
    :param ConfigDocument document: its content.

    >>> ConfigVersion(1).to_json()
    '{}'
    """

    number: int = 0
    document: _document.ConfigDocument = dataclasses.field(
        default_factory=_document.ConfigDocument
    )

    @functools.cached_property
    def raw(self):
        """The document as plain data, without values that are defaults."""
        return self.document.model_dump(mode="json", exclude_defaults=True)

    @functools.cached_property
    def digest(self):
        """Digest of the content, equal wherever the content is equal."""
        return hashlib.sha256(self.to_json().encode()).hexdigest()[:DIGEST_CHARACTERS]

    def to_json(self):
        """Return the document as JSON text with sorted keys.

        :rtype: str
        """
        return json.dumps(self.raw, sort_keys=True, separators=(",", ":"))

    @classmethod
    def from_json(cls, number, text):
        """Return the version of a JSON text.

        :param int number: version number.
        :param str text: the document.
        :rtype: ConfigVersion
        :raises ValueError: if the document is not valid.
        """
        return cls(number, _document.ConfigDocument.model_validate(json.loads(text)))

    def apply(self, patches):
        """Return the version that a line of patches leads to.

        :param list[dict] patches: merge patches, one for each number above.
        :rtype: ConfigVersion
        :raises ValueError: if the result is not valid.
        """
        raw = self.raw
        for patch in patches:
            raw = _document.merge_patch(raw, patch)
        document = _document.ConfigDocument.model_validate(raw)
        return ConfigVersion(self.number + len(patches), document)


@dataclasses.dataclass(frozen=True)
class Step:
    """The patch that led from one version to the next.

    :param int number: the version that it led to.
    :param dict patch: the merge patch.
    """

    number: int
    patch: dict
