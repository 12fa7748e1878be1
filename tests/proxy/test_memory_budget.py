"""The budgets of memory that connections share."""

from __future__ import annotations

from dunecove.limits import FREE_BYTES
from dunecove.proxy.memory_budget import MemoryAccount, MemoryBudget

LIMIT_BYTES = 1000


def test_free_bytes_are_not_charged() -> None:
    budget = MemoryBudget(LIMIT_BYTES)
    account = MemoryAccount(budget)
    assert account.try_hold(FREE_BYTES) and budget.used_bytes == 0
    assert account.try_hold(FREE_BYTES + 10) and budget.used_bytes == 10
    account.release()
    assert budget.used_bytes == 0


def test_account_that_exceeds_the_budget_keeps_what_it_held() -> None:
    budget = MemoryBudget(LIMIT_BYTES)
    first, second = MemoryAccount(budget), MemoryAccount(budget)
    assert first.try_hold(FREE_BYTES + 600)
    assert second.try_hold(FREE_BYTES + 300)
    assert not second.try_hold(FREE_BYTES + 401)
    assert second.held_bytes == FREE_BYTES + 300 and budget.used_bytes == 900
    assert second.try_hold(FREE_BYTES + 400)


def test_waiting_accounts_are_granted_memory_in_order() -> None:
    """Failure: short messages that arrive later would take the memory that a long one waits for."""
    budget = MemoryBudget(LIMIT_BYTES)
    holder, long, short, late = (MemoryAccount(budget) for _ in range(4))
    granted: list[str] = []
    holder.hold(FREE_BYTES + LIMIT_BYTES)
    long.hold_later(FREE_BYTES + 900, lambda: granted.append("long"))
    short.hold_later(FREE_BYTES + 50, lambda: granted.append("short"))
    holder.hold(FREE_BYTES + 200)
    assert granted == [] and not late.try_hold(FREE_BYTES + 1)
    holder.release()
    assert granted == ["long", "short"] and budget.used_bytes == 950
    assert not budget.has_waiting() and late.try_hold(FREE_BYTES + 50)


def test_account_that_is_released_no_longer_waits() -> None:
    budget = MemoryBudget(LIMIT_BYTES)
    holder, first, second = (MemoryAccount(budget) for _ in range(3))
    granted: list[str] = []
    holder.hold(FREE_BYTES + 500)
    first.hold_later(FREE_BYTES + 900, lambda: granted.append("first"))
    second.hold_later(FREE_BYTES + 100, lambda: granted.append("second"))
    first.release()
    assert granted == ["second"] and budget.used_bytes == 600
    holder.release()
    second.release()
    assert granted == ["second"] and budget.used_bytes == 0


def test_surplus_ends_when_half_of_the_budget_is_used() -> None:
    budget = MemoryBudget(LIMIT_BYTES)
    account = MemoryAccount(budget)
    account.hold(FREE_BYTES + LIMIT_BYTES // 2 - 1)
    assert budget.has_surplus()
    account.hold(FREE_BYTES + LIMIT_BYTES // 2)
    assert not budget.has_surplus()
