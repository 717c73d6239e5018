"""Errors in settings files and resource specifications."""

import attrs


@attrs.frozen
class SettingsError:
    """One invalid or missing value in a document written by a person.

    Parameters
    ----------
    path : str
        Path of the value in the document, such as ``$.tokens[0].name``.
    value : str
        Text form of the value; ``nothing`` if it is missing.
    expected : str
        Description of the accepted values.
    """

    path: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: got {self.value}, expected {self.expected}"
