import pathlib
import re
import tomllib
import unittest

from rosedyke.configuration import diagnostic, file_parser, schema, schema_page

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs" / "CONFIGURATION.md"


class DocumentationPage(unittest.TestCase):
    def test_key_tables_match_the_schema(self):
        text = PAGE.read_text()
        start = text.index("<!-- keys:")
        section = text[text.index("\n", start) : text.index("<!-- end of keys -->")]
        self.assertEqual(section.strip(), schema_page.render_keys())

    def test_code_tables_match_the_diagnostics(self):
        text = PAGE.read_text()
        self.assertIn(f"\n\n{schema_page.render_codes(diagnostic.ERRORS)}\n\n", text)
        self.assertIn(f"\n\n{schema_page.render_codes(diagnostic.WARNINGS)}\n\n", text)

    def test_example_is_valid(self):
        (example,) = re.findall(r"```toml\n(.*?)```", PAGE.read_text(), re.DOTALL)
        self.assertEqual(len(file_parser.loads(example).services[0].servers), 8)


class SchemaKeys(unittest.TestCase):
    def test_examples_match_type_and_bounds(self):
        for key in schema.KEYS:
            value = tomllib.loads(f"value = {key.example}")["value"]
            if key.low is not None:
                self.assertTrue(key.low <= value <= key.high, key.path)
            else:
                self.assertIsInstance(value, str, key.path)


class ExampleFiles(unittest.TestCase):
    def test_example_files_are_valid(self):
        for folder, server_count, data_centre_counts in (
            ("examples", 24, {"weighbridge": 3, "press-line": 4}),
            ("examples/demo", 6, {"weighbridge": 3, "press-line": 3}),
        ):
            for path in sorted((ROOT / folder).glob("*.toml")):
                parsed = file_parser.parse(str(path), path.read_bytes())
                self.assertEqual(parsed.diagnostics, ())
                (service,) = parsed.team.services
                self.assertEqual(len(service.servers), server_count)
                found_data_centres = {server.data_centre for server in service.servers}
                self.assertEqual(len(found_data_centres), data_centre_counts[service.name])
