"""Budgets for the content of messages, so that all connections together stay within the memory limit.

A connection may hold `FREE_BYTES` without charging its budget. An ordinary message is smaller, so it is
received and sent however full the budget is.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from math import inf
from typing import NamedTuple

from dunecove.limits import FREE_BYTES

SURPLUS_FRACTION = 0.5  # of the limit; while less is used, more than the next message may be received


class MemoryBudget:
    """Bytes that several accounts share; MemoryAccount charges them."""

    def __init__(self, limit_bytes: float = inf) -> None:
        """Create an unused budget, by default without a limit."""
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._waiting: deque[MemoryAccount] = deque()

    def has_surplus(self) -> bool:
        """Return whether there is memory for more than the messages that must be held now."""
        return self.used_bytes < self.limit_bytes * SURPLUS_FRACTION

    def has_waiting(self) -> bool:
        """Return whether an account waits until others have released memory."""
        return bool(self._waiting)

    def may_charge(self, byte_count: int) -> bool:
        """Return whether so many bytes are left, and no account has waited for them longer."""
        return not self._waiting and self.used_bytes + byte_count <= self.limit_bytes

    def charge(self, byte_count: int) -> None:
        """Charge bytes, or release them if the number is negative; grant what accounts are waiting for."""
        self.used_bytes += byte_count
        if byte_count < 0:
            self._grant()

    def add_waiting(self, account: MemoryAccount) -> None:
        """Add an account to those that wait, which are granted memory in this order."""
        self._waiting.append(account)

    def remove_waiting(self, account: MemoryAccount) -> None:
        """Remove an account that no longer needs the memory that it waits for."""
        self._waiting.remove(account)
        self._grant()

    def _grant(self) -> None:
        while self._waiting and self.used_bytes + self._waiting[0].missing_bytes() <= self.limit_bytes:
            self._waiting.popleft().grant()


class MemoryAccount:
    """What one connection holds of a budget. Sizes are in bytes and include the free ones."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.held_bytes = 0
        self._wanted_bytes = 0
        self._on_granted: Callable[[], None] | None = None  # set while the account waits

    def is_waiting(self) -> bool:
        """Return whether the account waits for memory."""
        return self._on_granted is not None

    def missing_bytes(self) -> int:
        """Return what the account waits for, as a charge to the budget."""
        return _charge_of(self._wanted_bytes) - _charge_of(self.held_bytes)

    def try_hold(self, held_bytes: int) -> bool:
        """Hold a number of bytes; return False, and change nothing, if the budget does not have them."""
        charge = _charge_of(held_bytes) - _charge_of(self.held_bytes)
        if charge > 0 and not self.budget.may_charge(charge):
            return False
        self.hold(held_bytes)
        return True

    def hold(self, held_bytes: int) -> None:
        """Hold a number of bytes that have been received or written already, whatever the budget has."""
        charge = _charge_of(held_bytes) - _charge_of(self.held_bytes)
        self.held_bytes = held_bytes
        if charge:
            self.budget.charge(charge)

    def hold_later(self, held_bytes: int, on_granted: Callable[[], None]) -> None:
        """Wait until the budget has the bytes; then hold them and call `on_granted`."""
        self._wanted_bytes = held_bytes
        self._on_granted = on_granted
        self.budget.add_waiting(self)

    def grant(self) -> None:
        """End the wait: hold the bytes and tell the owner."""
        on_granted = self._on_granted
        self._on_granted = None
        self.hold(self._wanted_bytes)
        if on_granted is not None:
            on_granted()

    def release(self) -> None:
        """Hold nothing, and wait for nothing."""
        if self.is_waiting():
            self._on_granted = None
            self.budget.remove_waiting(self)
        self.hold(0)


def _charge_of(held_bytes: int) -> int:
    return max(held_bytes - FREE_BYTES, 0)


class ContentBudgets(NamedTuple):
    """The budgets for the content of all messages."""

    requests: MemoryBudget
    responses: MemoryBudget

    @staticmethod
    def unlimited() -> ContentBudgets:
        """Return budgets that never end."""
        return ContentBudgets(MemoryBudget(), MemoryBudget())
