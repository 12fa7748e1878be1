"""Rendezvous hashing: each key orders all backends; removing some keeps the order of the others."""

from __future__ import annotations

from zlib import crc32

_MASK_64 = 0xFFFFFFFFFFFFFFFF


def name_hash(backend_id: str) -> int:
    """Return the 32-bit hash that identifies a backend in ranks and in gossip."""
    return crc32(backend_id.encode())


def hash_pair(key: int, number: int) -> int:
    """Return a well-mixed 64-bit hash of two integers, the same in every process."""
    mixed = (key * 0x9E3779B97F4A7C15 ^ number * 0xC2B2AE3D27D4EB4F) & _MASK_64
    mixed = ((mixed ^ mixed >> 29) * 0xBF58476D1CE4E5B9) & _MASK_64
    return mixed ^ mixed >> 32


def proxy_key(proxy_index: int) -> int:
    """Return the key by which a proxy ranks the backends."""
    return proxy_index + 1
