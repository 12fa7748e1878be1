"""Measures what a proxy costs as its surroundings grow. A tool apart: the proxy imports nothing of it."""
