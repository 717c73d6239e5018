"""Failure of a settings file or a resource specification."""

import attrs


@attrs.frozen
class SettingsError:
    """One fault in a document that a person wrote.

    Parameters
    ----------
    path : str
        Place in the document, such as ``$.peers[0].address``.
    value : str
        Text form of the value found there.
    expected : str
        What would have been accepted.
    """

    path: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: got {self.value}, expected {self.expected}"
