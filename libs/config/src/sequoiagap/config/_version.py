"""Numbered versions of the configuration and the steps between them."""

import dataclasses
import functools
import hashlib
import json
import typing

from sequoiagap.config import _document, _sharing

CHECKSUM_BYTES = 8
_MODULUS = 1 << (8 * CHECKSUM_BYTES)
_ITEM_SECTIONS = frozenset(
    name
    for name, field in _document.ConfigDocument.model_fields.items()
    if typing.get_origin(field.annotation) is dict
)


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
        raw = self.document.model_dump(mode="json", exclude_defaults=True)
        for section in _ITEM_SECTIONS & raw.keys():
            raw[section] = {
                key: _sharing.share(dict, item, item)
                for key, item in raw[section].items()
            }
        return raw

    @functools.cached_property
    def checksum(self):
        """Sum of the checksums of the document's items, modulo 2 to the 64.

        A sum, so that a patch costs as much as it changes and not as much as
        the document holds.
        """
        return sum(_checksum(*item) for item in _items(self.raw)) % _MODULUS

    @property
    def digest(self):
        """Digest of the content, equal wherever the content is equal."""
        return f"{self.checksum:016x}"

    @functools.cached_property
    def _text(self):
        return json.dumps(self.raw, sort_keys=True, separators=(",", ":"))

    def to_json(self):
        """Return the document as JSON text with sorted keys.

        :rtype: str
        """
        return self._text

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
        version = self
        for patch in patches:
            version = version._apply_one(patch)
        return version

    def _apply_one(self, patch):
        if not _changes_items_only(patch):
            raw = _document.merge_patch(self.raw, patch)
            document = _document.ConfigDocument.model_validate(raw)
            return ConfigVersion(self.number + 1, document)
        changed = {
            section: _document.merge_patch(
                {k: v for k, v in self.raw.get(section, {}).items() if k in items},
                items,
            )
            for section, items in patch.items()
        }
        return self._replace_items(patch, changed)

    def _replace_items(self, patch, changed):
        """Return the next version; only the changed items are looked at.

        :param dict patch: names the items by section.
        :param dict changed: their new content; what is removed is left out.
        """
        part = ConfigVersion(0, _document.ConfigDocument.model_validate(changed))
        raw = dict(self.raw)
        sections = {}
        checksum = self.checksum
        for section, items in patch.items():
            kept = getattr(self.document, section)
            kept = {key: value for key, value in kept.items() if key not in items}
            sections[section] = kept | getattr(part.document, section)
            old = self.raw.get(section, {})
            new = part.raw.get(section, {})
            raw[section] = {k: v for k, v in old.items() if k not in items} | new
            checksum -= sum(_checksum(section, k, old[k]) for k in items if k in old)
            checksum += sum(_checksum(section, k, v) for k, v in new.items())
            if not raw[section]:
                del raw[section]
        document = self.document.model_copy(update=sections)
        version = ConfigVersion(self.number + 1, document)
        version.__dict__.update(raw=raw, checksum=checksum % _MODULUS)
        return version


@dataclasses.dataclass(frozen=True)
class Step:
    """The patch that led from one version to the next.

    :param int number: the version that it led to.
    :param dict patch: the merge patch.
    """

    number: int
    patch: dict


def _changes_items_only(patch):
    """Return whether a patch changes items of sections and nothing else."""
    return isinstance(patch, dict) and all(
        section in _ITEM_SECTIONS and isinstance(items, dict)
        for section, items in patch.items()
    )


def _items(raw):
    """Yield section, key and value of each item of a document."""
    for section, value in raw.items():
        if section in _ITEM_SECTIONS:
            yield from ((section, key, item) for key, item in value.items())
        else:
            yield section, "", value


def _checksum(section, key, value):
    text = json.dumps([section, key, value], sort_keys=True)
    digest = hashlib.blake2b(text.encode(), digest_size=CHECKSUM_BYTES).digest()
    return int.from_bytes(digest, "big")
