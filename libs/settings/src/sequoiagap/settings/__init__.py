"""Validated models of settings files, in JSON with comments."""
