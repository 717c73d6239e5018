"""Typed refusals and failures, shared by all packages."""

from cranberryshore.errors.refusal import ErrorType, ExecutionStatus, Refusal, malformed
from cranberryshore.errors.settings_error import SettingsError

__all__ = ["ErrorType", "ExecutionStatus", "Refusal", "SettingsError", "malformed"]
