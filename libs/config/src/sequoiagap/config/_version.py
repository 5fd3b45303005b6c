"""Numbered configuration versions and the steps between them."""

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
    """Configuration document with its version number.

    :param int number: version number, from 1; 0 is the empty configuration.
    :param ConfigDocument document: content of the version.

    >>> ConfigVersion(1).to_json()
    '{}'
    """

    number: int = 0
    document: _document.ConfigDocument = dataclasses.field(
        default_factory=_document.ConfigDocument
    )

    @functools.cached_property
    def raw(self):
        """The document as plain data, without default values."""
        raw = self.document.model_dump(mode="json", exclude_defaults=True)
        for section in _ITEM_SECTIONS & raw.keys():
            raw[section] = {
                key: _sharing.intern(dict, item, item)
                for key, item in raw[section].items()
            }
        return raw

    @functools.cached_property
    def checksum(self):
        """Sum of the checksums of the document's items, modulo 2 to the 64.

        A sum can be updated at a cost that is proportional to the patch and not to
        the document.
        """
        return sum(_checksum(*item) for item in _items(self.raw)) % _MODULUS

    @property
    def digest(self):
        """Digest of the content; equal content has equal digests."""
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
        """Return the version with a document in JSON.

        :param int number: version number.
        :param str text: JSON text of the document.
        :rtype: ConfigVersion
        :raises ValueError: if the document is not valid.
        """
        return cls(number, _document.ConfigDocument.model_validate(json.loads(text)))

    def apply(self, patches):
        """Return the version that results from successive patches.

        :param list[dict] patches: merge patches, one for each later version.
        :rtype: ConfigVersion
        :raises ValueError: if the resulting document is not valid.
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
        """Return the next version, at a cost proportional to the changed items.

        :param dict patch: patch whose keys are the changed items, by section.
        :param dict changed: new content of these items without the removed ones, by
            section.
        """
        changed_part = ConfigVersion(
            0, _document.ConfigDocument.model_validate(changed)
        )
        raw = dict(self.raw)
        sections = {}
        checksum = self.checksum
        for section, items in patch.items():
            kept = getattr(self.document, section)
            kept = {key: value for key, value in kept.items() if key not in items}
            sections[section] = kept | getattr(changed_part.document, section)
            old = self.raw.get(section, {})
            new = changed_part.raw.get(section, {})
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
    """Step from one version to the next.

    :param int number: number of the resulting version.
    :param dict patch: merge patch of the step.
    """

    number: int
    patch: dict


def _changes_items_only(patch):
    """Return whether a patch changes only items of sections."""
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
