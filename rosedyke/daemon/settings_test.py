import pathlib
import tempfile
import unittest

from rosedyke.daemon import argument, settings
from rosedyke.observe import log

KEY = "k" * 32


def arguments(**changes):
    required = {
        "name": "north-1",
        "region": "valley",
        "data_centre": "north",
        "data_centres": "south,north",
    }
    return argument.Arguments(**(required | changes))


class Parse(unittest.TestCase):
    def faults(self, environment=None, **changes):
        with self.assertRaises(settings.SettingsError) as raised:
            settings.parse(arguments(**changes), environment or {})
        return raised.exception.faults

    def test_defaults(self):
        instance_settings = settings.parse(arguments(), {})
        self.assertEqual(instance_settings.data_centres, ("north", "south"))
        self.assertEqual(instance_settings.callers.max_connections, 2000)
        self.assertIs(instance_settings.log_format, log.Format.TEXT)

    def test_all_faults_are_reported_together(self):
        faults = self.faults(
            name="",
            data_centre="east",
            caller_address="localhost:80",
            seeds="10.0.0.1:99999,10.0.0.1:80",
            store="ftp://x",
            max_connections="many",
            body_timeout_s="nan",
            log_level="loud",
            store_prefix="rosedyke",
            statsd_address="10.0.0.1",
        )
        setting_names = [line.split(":")[0] for line in faults]
        self.assertEqual(
            setting_names,
            [
                "--name",
                "--seeds",
                "--store",
                "--statsd-address",
                "--log-level",
                "--caller-address",
                "--max-connections",
                "--body-timeout-s",
                "--data-centre",
                "--store-prefix",
            ],
        )

    def test_key_is_required_off_loopback(self):
        self.assertIn("peer_key", self.faults(peer_address="10.0.0.1:1")[0].replace("-", "_"))
        environment = {settings.PEER_KEY_VARIABLE: KEY}
        instance_settings = settings.parse(arguments(peer_address="10.0.0.1:1"), environment)
        self.assertEqual(instance_settings.peer_key, KEY)

    def test_key_from_a_file_is_not_printed(self):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "key")
            path.write_text(KEY + "\n")
            instance_settings = settings.parse(arguments(peer_key_file=str(path)), {})
            self.assertEqual(instance_settings.peer_key, KEY)
            self.assertNotIn(KEY, repr(instance_settings))
            self.assertNotIn(KEY, str(instance_settings))
            path.write_text("short-key")
            faults = self.faults(peer_key_file=str(path))
            self.assertNotIn("short-key", " ".join(faults))

    def test_key_in_both_file_and_environment(self):
        faults = self.faults({settings.PEER_KEY_VARIABLE: KEY}, peer_key_file="/nonexistent")
        self.assertEqual(len(faults), 2)

    def test_contradictory_limits(self):
        faults = self.faults(max_body_bytes="20000", max_bodies_bytes="10000")
        self.assertEqual(len(faults), 1)

    def test_duplicate_address(self):
        faults = self.faults(caller_address="127.0.0.1:1", operator_address="127.0.0.1:1")
        self.assertEqual(len(faults), 1)


if __name__ == "__main__":
    unittest.main()
