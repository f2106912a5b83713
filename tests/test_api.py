"""The published interface and the routes that are served agree."""

import json
import pathlib

import testtools

from chervilwheel import api
from chervilwheel import operatorapi
from chervilwheel import settingsapi

OPENAPI = pathlib.Path(__file__).parent.parent / "docs" / "openapi.json"
KINDS = (
    api.JobApi,
    api.EndpointApi,
    operatorapi.OperatorApi,
    settingsapi.SettingsApi,
)


class OpenApiTest(testtools.TestCase):
    def test_every_route_is_described_and_nothing_else(self):
        served = set()
        for kind in KINDS:
            for route in kind.routes(kind.__new__(kind)):
                served.add((route.method, "/" + "/".join(route.pattern)))
        described = set()
        for path, verbs in json.loads(OPENAPI.read_text())["paths"].items():
            parts = ["*" if p.startswith("{") else p for p in path.split("/")]
            for verb in verbs:
                described.add((verb.upper(), "/".join(parts)))
        self.assertEqual(described, served)
