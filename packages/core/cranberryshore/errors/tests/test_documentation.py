from pathlib import Path
from unittest import TestCase

from cranberryshore.config import ResourceKind, check_resource
from cranberryshore.errors import ErrorType
from cranberryshore.errors.refusal import HTTP_STATUS
from cranberryshore.settings import check_document, load_daemon_settings, parse_document
from cranberryshore.work import JobRequest

ROOT = Path(__file__).resolve().parents[5]


class DocumentationTest(TestCase):
    def test_every_error_is_documented_with_its_status(self):
        page = (ROOT / "docs/API.md").read_text(encoding="utf-8")
        for type_ in ErrorType:
            self.assertIn(f"| `{type_.value}` | {HTTP_STATUS[type_]} |", page)

    def test_examples_are_accepted(self):
        for path in sorted((ROOT / "examples").glob("*.json")):
            text = path.read_text(encoding="utf-8")
            document = parse_document(text).unwrap()
            if path.name.endswith("entry.json"):
                checked = load_daemon_settings(text)
            elif path.name.startswith("job"):
                checked = check_document(document, JobRequest)
            else:
                kind = ResourceKind(document["kind"])
                checked = check_resource(kind, document["name"], document["spec"])
            self.assertTrue(checked.is_ok(), (path.name, checked))
