"""Membership of endpoints and entries: lists, heartbeats and incarnations."""

from sequoiagap.members._directory import Directory, Member

__all__ = ["Directory", "Member"]
