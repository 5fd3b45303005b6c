"""Entry point of ``python -m sequoiagap.cli``."""

import sys

from sequoiagap import cli

sys.exit(cli.main())
