"""Validation of settings files, the examples and the settings reference."""

import pathlib
import tempfile

import testtools

from chervilwheel import config
from chervilwheel import errors
from chervilwheel import reference

ROOT = pathlib.Path(__file__).parent.parent
VALID = """
[instance]
name = "entry-1"
zone = "a"
roles = ["entry"]
[listen]
http = "127.0.0.1:1"
peer = "127.0.0.1:2"
[cluster]
zones = ["a"]
key = "0123456789abcdef"
"""
INVALID = [
    ('name = "entry-1"', 'nmae = "entry-1"', "instance.nmae"),
    ('name = "entry-1"', "name = 1", "instance.name"),
    ('zone = "a"', 'zone = "b"', "instance.zone"),
    ('roles = ["entry"]', 'roles = ["boss"]', "instance.roles[0]"),
    ('http = "127.0.0.1:1"', 'http = "host:1"', "listen.http"),
    ('http = "127.0.0.1:1"', "", "listen.http"),
    ('peer = "127.0.0.1:2"', "", "listen.peer"),
    ('roles = ["entry"]', 'roles = ["keeper"]', "instance.data_folder"),
    ("[cluster]", "[limits]\nbody_bytes = 1\n[cluster]", "limits.body_bytes"),
    ("[cluster]", "[cluster", "line"),
]


def _load(text):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "x.toml"
        path.write_text(text)
        return config.load(path)


class ConfigTest(testtools.TestCase):
    def test_a_valid_file_is_loaded(self):
        cfg = _load(VALID)
        self.assertEqual("entry-1", cfg.instance.name)
        self.assertEqual(b"0123456789abcdef", config.cluster_key(cfg))

    def test_the_error_for_an_invalid_file_names_the_key(self):
        for old, new, expected_text in INVALID:
            text = VALID.replace(old, new)
            exc = self.assertRaises(errors.InvalidSettings, _load, text)
            self.assertIn(expected_text, exc.detail)

    def test_the_error_for_an_unknown_key_suggests_the_closest_one(self):
        text = VALID.replace("[cluster]", "[cluster]\nzonez = 1")
        exc = self.assertRaises(errors.InvalidSettings, _load, text)
        self.assertIn("'zones'", exc.detail)

    def test_a_short_cluster_key_is_rejected(self):
        cfg = _load(VALID.replace("0123456789abcdef", "short"))
        self.assertRaises(errors.InvalidSettings, config.cluster_key, cfg)


class ExamplesTest(testtools.TestCase):
    def test_the_example_layouts_are_valid(self):
        for name, entries in (("bilatorg", 7), ("consorcio", 7)):
            folder = ROOT / "examples" / name
            loaded = [config.load(path) for path in folder.glob("*.toml")]
            roles = [cfg.instance.roles[0] for cfg in loaded]
            self.assertEqual(entries, roles.count("entry"))
            cfg = loaded[0]
            self.assertEqual(1, len(cfg.initial_voters("settings")) % 2)
            for zone in cfg.cluster.zones:
                founders = cfg.initial_voters(f"ledger.{zone}")
                self.assertIn(len(founders), (1, 3))
                self.assertIn(zone, [keeper.zone for keeper in founders])

    def test_the_settings_group_keeps_a_majority_without_any_one_zone(self):
        for name in ("bilatorg", "consorcio"):
            path = next((ROOT / "examples" / name).glob("*.toml"))
            cfg = config.load(path)
            zones = [keeper.zone for keeper in cfg.initial_voters("settings")]
            for zone in cfg.cluster.zones:
                remaining = len(zones) - zones.count(zone)
                self.assertGreater(remaining * 2, len(zones))


class ReferenceTest(testtools.TestCase):
    def test_the_reference_page_is_up_to_date(self):
        path = ROOT / "docs" / "operators" / "settings.md"
        self.assertEqual(reference.page(), path.read_text())
