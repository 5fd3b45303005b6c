"""Numbered configuration versions: documents, patches, storage and spread."""
