"""The errors that the program raises and expects. The text of each is for a person, on one line."""

from __future__ import annotations


class DunecoveError(Exception):
    """Base of all errors of this program."""


class MalformedInputError(DunecoveError):
    """JSON that breaks its format; the text names the key, and the value where that is short."""


class MissingFieldError(MalformedInputError):
    """An object lacks a required field."""

    def __init__(self, key: str) -> None:
        """`key` is the field's name in JSON."""
        super().__init__(f"{key} is missing")


class InvalidFieldError(MalformedInputError):
    """A field has a value that is not allowed."""


class MalformedMessageError(MalformedInputError):
    """A line on the simulator's wire can't be used."""


class ConfigurationError(DunecoveError):
    """The proxy's configuration can't be used."""


class UnreadableFileError(ConfigurationError):
    """The configuration file could not be read at all; `errno` says why."""

    def __init__(self, path: str, error: OSError) -> None:
        """Name the file and the system's reason."""
        super().__init__(f"{path}: {error.strerror}")
        self.errno = error.errno
