"""Run a stand-in: ``python -m sequoiagap.standins KIND [JSON]``."""

import asyncio
import json
import sys

from sequoiagap.standins import (
    _engine,
    _platform,
    _ranks,
    _serve,
    _service,
    _weights,
)

_CLASS_BY_KIND = {
    "engine": _engine.EngineStandIn,
    "platform": _platform.PlatformStandIn,
    "ranks": _ranks.RankGroupStandIn,
    "service": _service.ServiceStandIn,
    "weights": _weights.WeightStoreStandIn,
}


def main():
    """Run the stand-in given by the arguments until SIGTERM or SIGINT."""
    kind = sys.argv[1]
    parameters = json.loads(sys.argv[2]) if len(sys.argv) > 2 else {}
    asyncio.run(_serve.serve(_CLASS_BY_KIND[kind](**parameters)))


main()
