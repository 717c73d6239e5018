from unittest import TestCase

from cranberryshore.settings import load_daemon_settings

SETTINGS_TEMPLATE = """{
  "instance": "entry-1", "zone": "zone-a", // names
  "listen": {"host": "127.0.0.1", "port": 8080},
  "peer_listen": {"host": "127.0.0.1", "port": %s},
  "platform": {"store_url": "http://127.0.0.1:1", "instance_list_url": "http://127.0.0.1:2"},
  "tokens": [%s]
}"""
TOKEN = '{"name": "desk", "sha256": "%s"}' % ("0" * 64)


class SettingsTest(TestCase):
    def error_paths(self, text):
        return [fault.path for fault in load_daemon_settings(text).unwrap_err()]

    def test_valid_settings_load(self):
        settings = load_daemon_settings(SETTINGS_TEMPLATE % (8081, TOKEN)).unwrap()
        self.assertEqual(str(settings.peer_listen), "127.0.0.1:8081")

    def test_all_errors_are_reported_with_their_paths(self):
        token = '{"name": "Desk", "sha256": "0", "role": "king"}'
        text = SETTINGS_TEMPLATE % (99999, token)
        self.assertEqual(
            self.error_paths(text),
            [
                "$.peer_listen.port",
                "$.tokens[0].name",
                "$.tokens[0].sha256",
                "$.tokens[0].role",
            ],
        )

    def test_fields_are_checked_against_each_other(self):
        self.assertEqual(
            self.error_paths(SETTINGS_TEMPLATE % (8080, f"{TOKEN}, {TOKEN}")),
            ["$.tokens[1].name", "$.peer_listen"],
        )
