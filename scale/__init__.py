"""Measures what a proxy costs as its surroundings grow. The proxy imports nothing of it."""
