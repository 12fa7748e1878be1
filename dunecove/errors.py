"""Exceptions whose messages are written for operators, on one line."""

from __future__ import annotations


class DunecoveError(Exception):
    """Base class of the exceptions whose messages are written for operators."""


class MalformedInputError(DunecoveError):
    """JSON input is invalid.

    Most messages name the key; those about a string, number or choice also contain the value.
    """


class MissingFieldError(MalformedInputError):
    """A JSON object lacks a required field."""

    def __init__(self, key: str) -> None:
        """Initialize the error with the key of the field in JSON."""
        super().__init__(f"{key} is missing")


class InvalidFieldError(MalformedInputError):
    """A field has a value that is not allowed."""


class MalformedMessageError(MalformedInputError):
    """A message of the simulator is invalid."""


class ConfigurationError(DunecoveError):
    """The proxy's configuration is invalid."""


class UnreadableFileError(ConfigurationError):
    """The configuration file cannot be read; `errno` has the reason."""

    def __init__(self, path: str, error: OSError) -> None:
        """Initialize the error with the path of the file and the error of the system call."""
        super().__init__(f"cannot read {path}: {error.strerror}")
        self.errno = error.errno
