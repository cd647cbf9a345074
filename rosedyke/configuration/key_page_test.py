import pathlib
import re
import tomllib
import unittest

from rosedyke.configuration import diagnostic, file, key, key_page

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs" / "CONFIGURATION.md"


class Page(unittest.TestCase):
    def test_tables_are_those_of_the_code(self):
        text = PAGE.read_text()
        start = text.index("<!-- keys:")
        section = text[text.index("\n", start) : text.index("<!-- end of keys -->")]
        self.assertEqual(section.strip(), key_page.render_keys())

    def test_codes_are_those_of_the_code(self):
        text = PAGE.read_text()
        self.assertIn(f"\n\n{key_page.render_codes(diagnostic.ERRORS)}\n\n", text)
        self.assertIn(f"\n\n{key_page.render_codes(diagnostic.WARNINGS)}\n\n", text)

    def test_example_in_the_page_is_right(self):
        (example,) = re.findall(r"```toml\n(.*?)```", PAGE.read_text(), re.DOTALL)
        self.assertEqual(len(file.loads(example).services[0].servers), 8)


class Keys(unittest.TestCase):
    def test_examples_are_within_type_and_bounds(self):
        for each in key.KEYS:
            value = tomllib.loads(f"value = {each.example}")["value"]
            if each.low is not None:
                self.assertTrue(each.low <= value <= each.high, each.path)
            else:
                self.assertIsInstance(value, str, each.path)


class Examples(unittest.TestCase):
    def test_example_files_have_no_fault(self):
        for folder, servers, data_centres in (
            ("examples", 24, {"weighbridge": 3, "press-line": 4}),
            ("examples/demo", 6, {"weighbridge": 3, "press-line": 3}),
        ):
            for path in sorted((ROOT / folder).glob("*.toml")):
                parsed = file.parse(str(path), path.read_bytes())
                self.assertEqual(parsed.diagnostics, ())
                (service,) = parsed.team.services
                self.assertEqual(len(service.servers), servers)
                places = {server.data_centre for server in service.servers}
                self.assertEqual(len(places), data_centres[service.name])
