"""Classes whose optional attributes are set by name only.

In a class with many optional attributes, a value that is passed by position silently becomes
another attribute when one is inserted before it.
"""

import attrs


def optional_by_name(cls: type, fields: list[attrs.Attribute]) -> list[attrs.Attribute]:
    """Return the attributes of a class, of which the optional ones are keyword-only.

    For the parameter ``field_transformer`` of ``attrs.define`` and ``attrs.frozen``.

    Examples
    --------
    >>> @attrs.frozen(field_transformer=optional_by_name)
    ... class Place:
    ...     zone: str
    ...     rack: str = ""
    >>> Place("z", rack="r").rack
    'r'
    >>> Place("z", "r")
    Traceback (most recent call last):
    TypeError: Place.__init__() takes 2 positional arguments but 3 were given
    """
    return [
        field if field.default is attrs.NOTHING else field.evolve(kw_only=True) for field in fields
    ]
