"""Command line of the load balancer: roles and operators' commands."""

from sequoiagap.cli._main import main

__all__ = ["main"]
