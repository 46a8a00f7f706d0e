"""Sections of the settings: validation of all their values at once.

Made for processes that start in large numbers: a library that builds a validator for
each section takes a sixth of the processor time of a start.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping
from typing import Any, Self

import msgspec
from msgspec.structs import FieldInfo

MASK = "**********"


class IpAddress(str):
    """Text of an IPv4 or IPv6 address."""

    __slots__ = ()


class SettingsError(Exception):
    """Settings are invalid; ``errors`` has one line for each, with its key's path."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


class Secret:
    """Text that neither ``str`` nor ``repr`` shows."""

    __slots__ = ("_text",)

    def __init__(self, text: str) -> None:
        self._text = text

    def get_secret_value(self) -> str:
        """Return the text itself."""
        return self._text

    def __eq__(self, other: object) -> bool:
        """Return whether the other one is the same text."""
        return isinstance(other, Secret) and other._text == self._text

    def __hash__(self) -> int:
        """Return the hash of the text."""
        return hash(self._text)

    def __str__(self) -> str:
        """Return a mask instead of the text."""
        return MASK if self._text else ""

    def __repr__(self) -> str:
        """Return a mask instead of the text."""
        return f"Secret({str(self)!r})"


class Section(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of the settings sections; unknown keys are errors."""

    @classmethod
    def prepare(cls, raw: dict[str, Any]) -> dict[str, Any]:
        """Return the values to validate, given those of the file."""
        return raw

    @classmethod
    def model_validate(cls, raw: dict[str, Any]) -> Self:
        """Return the settings that plain values describe; raises SettingsError."""
        errors: list[str] = []
        made = _make(cls, raw, "", errors)
        if errors or not isinstance(made, cls):
            raise SettingsError(errors)
        return made

    def model_copy(self, update: Mapping[str, Any]) -> Self:
        """Return a copy with other values, which are not validated."""
        return msgspec.structs.replace(self, **update)

    def model_dump(self) -> dict[str, Any]:
        """Return the values as plain ones for JSON, with secrets masked."""
        return {name: _dump(getattr(self, name)) for name in self.__struct_fields__}


def _make(
    kind: type[Section], raw: object, path: str, errors: list[str]
) -> Section | None:
    """Return a section, None after an error in it."""
    if isinstance(raw, kind):
        return raw
    if not isinstance(raw, dict):
        errors.append(f"{path.rstrip('.') or 'settings'}: is not a table")
        return None
    raw = kind.prepare(raw)
    count = len(errors)
    fields = msgspec.structs.fields(kind)
    values = {
        field.name: _make_value(field, raw[field.name], path, errors)
        for field in fields
        if field.name in raw
    }
    for field in fields:
        if field.required and field.name not in raw:
            errors.append(f"{path}{field.name}: is missing")
    known = {field.name for field in fields}
    errors += [f"{path}{key}: unknown setting" for key in raw if key not in known]
    return kind(**values) if len(errors) == count else None


def _make_value(field: FieldInfo, raw: object, path: str, errors: list[str]) -> Any:
    """Return the value of one setting, None after an error in it."""
    if isinstance(field.type, type) and issubclass(field.type, Section):
        return _make(field.type, raw, f"{path}{field.name}.", errors)
    try:
        return msgspec.convert(raw, field.type, strict=False, dec_hook=_decode)
    except msgspec.ValidationError as exc:
        errors.append(f"{path}{field.name}: {exc}")
        return None


def _decode(kind: type, value: Any) -> Any:
    """Return a value of a type that the library does not know."""
    if not isinstance(value, str):
        raise ValueError("Expected `str`")
    if kind is Secret:
        return Secret(value)
    return IpAddress(ipaddress.ip_address(value))


def _dump(value: Any) -> Any:
    """Return a value as JSON has it."""
    if isinstance(value, Section):
        return value.model_dump()
    if value is None or isinstance(value, str | int | float | list | dict):
        return value
    return str(value)
