"""Settings files: JSON with comments, checked against a schema."""

from cranberryshore.settings.check import check_document, parse_document
from cranberryshore.settings.intake import IntakeSettings
from cranberryshore.settings.schema import (
    Address,
    DaemonSettings,
    LimitSettings,
    LogSettings,
    PlatformSettings,
    Role,
    TimingSettings,
    TokenSettings,
    load_daemon_settings,
)

__all__ = [
    "Address",
    "DaemonSettings",
    "IntakeSettings",
    "LimitSettings",
    "LogSettings",
    "PlatformSettings",
    "Role",
    "TimingSettings",
    "TokenSettings",
    "check_document",
    "load_daemon_settings",
    "parse_document",
]
