"""The division of memory and descriptors for all sizes that the platform allows."""

from __future__ import annotations

import pytest

from dunecove.limits import (
    BYTES_PER_MB,
    CONNECTION_BYTES,
    LIST_COPIES,
    PROCESS_BYTES,
    connection_limits,
    memory_limits,
)

MAX_REQUEST_BYTES = 64 * 1024 + 16 * 1024
MEMORY_SIZES_MB = (32, 33, 40, 48, 64, 96, 128, 160, 192)
DESCRIPTOR_SIZES = (256, 300, 512, 768, 1024)


@pytest.mark.parametrize("memory_mb", MEMORY_SIZES_MB)
@pytest.mark.parametrize("max_descriptors", DESCRIPTOR_SIZES)
def test_all_shares_together_fit_into_the_memory_limit(memory_mb: int, max_descriptors: int) -> None:
    connections = connection_limits(max_descriptors, memory_mb)
    memory = memory_limits(memory_mb, connections)
    shares = (
        PROCESS_BYTES,
        sum(connections) * CONNECTION_BYTES,
        memory.requests,
        memory.responses,
        LIST_COPIES * memory.endpoint_list,
    )
    assert sum(shares) < memory_mb * BYTES_PER_MB
    assert min(memory.requests, memory.responses) > 4 * MAX_REQUEST_BYTES


@pytest.mark.parametrize("memory_mb", MEMORY_SIZES_MB)
@pytest.mark.parametrize("max_descriptors", DESCRIPTOR_SIZES)
def test_a_third_of_the_descriptors_can_hold_requests(memory_mb: int, max_descriptors: int) -> None:
    connections = connection_limits(max_descriptors, memory_mb)
    assert sum(connections) < max_descriptors
    assert connections.clients > max_descriptors / 3


def test_limits_below_the_allowed_sizes_are_positive() -> None:
    connections = connection_limits(1024, 1)
    assert min(connections) > 0 and min(memory_limits(1, connections)) > 0
