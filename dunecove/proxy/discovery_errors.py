"""Errors of calls to the discovery service and of endpoint lists."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import orjson

from dunecove.errors import DunecoveError, MalformedInputError


class DiscoveryError(DunecoveError):
    """A call to the discovery service failed; the message gives the reason."""


class DiscoveryStatusError(DiscoveryError):
    """The service responded with a status other than 200."""


class DiscoveryConnectionError(DiscoveryError):
    """The connection ended before it delivered a valid response."""


class DiscoveryTimeoutError(DiscoveryError):
    """The service did not respond in time."""


class MalformedListError(DiscoveryError, MalformedInputError):
    """An endpoint list, from the discovery service or cached, breaks its format."""


@contextmanager
def malformed_list_errors() -> Iterator[None]:
    """Convert KeyError and ValueError raised while a list is read to MalformedListError.

    Other errors, such as InvalidFieldError, pass unchanged.
    """
    try:
        yield
    except KeyError as error:
        raise MalformedListError(f"invalid endpoint list: {error.args[0]} is missing") from None
    except orjson.JSONDecodeError as error:
        raise MalformedListError(f"endpoint list is not JSON: {error}") from None
    except ValueError as error:
        raise MalformedListError(f"invalid endpoint list: {error}") from None
