"""Membership of endpoints and entries: lists, heartbeats and incarnations."""
