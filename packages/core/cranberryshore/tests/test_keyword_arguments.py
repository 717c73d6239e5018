from importlib import import_module
from unittest import TestCase

import attrs

MODULES = (
    "cranberryshore.messages.pool",
    "cranberryshore.pool.claims",
    "cranberryshore.pool.held_worker",
    "cranberryshore.pool.lost_run",
    "cranberryshore.pool.run",
    "cranberryshore.pool.work",
    "cranberryshore.pool.worker_registration",
    "cranberryshore.pool.worker_status",
)
"""Modules of what a scheduler knows of other processes, or tells them."""

MAX_POSITIONAL_OPTIONS = 4


class KeywordArgumentsTest(TestCase):
    def test_new_attribute_takes_the_value_of_another_one(self):
        # Regression (issue 57): an attribute was put before that of the tenth positional argument.
        for name in MODULES:
            module = import_module(name)
            for item in vars(module).values():
                if isinstance(item, type) and attrs.has(item) and item.__module__ == name:
                    optional = [
                        field.name
                        for field in attrs.fields(item)
                        if field.init and field.default is not attrs.NOTHING and not field.kw_only
                    ]
                    with self.subTest(type=item.__name__):
                        self.assertLessEqual(len(optional), MAX_POSITIONAL_OPTIONS)
