"""The OpenAPI document lists exactly the routes that are served."""

import json
import pathlib

import testtools

from chervilwheel import api
from chervilwheel import operatorapi
from chervilwheel import settingsapi
from chervilwheel.control import operatorport

OPENAPI = pathlib.Path(__file__).parent.parent / "docs" / "openapi.json"
API_CLASSES = (
    api.JobApi,
    api.EndpointApi,
    operatorapi.OperatorApi,
    settingsapi.SettingsApi,
    operatorport.OperatorPort,
)


class OpenApiTest(testtools.TestCase):
    def test_documented_paths_match_served_routes(self):
        served = set()
        for api_class in API_CLASSES:
            for route in api_class.routes(api_class.__new__(api_class)):
                served.add((route.method, "/" + "/".join(route.pattern)))
        documented = set()
        for path, verbs in json.loads(OPENAPI.read_text())["paths"].items():
            parts = ["*" if p.startswith("{") else p for p in path.split("/")]
            for verb in verbs:
                documented.add((verb.upper(), "/".join(parts)))
        self.assertEqual(documented, served)
