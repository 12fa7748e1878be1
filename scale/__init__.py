"""Measures what a proxy costs as the deployment grows. The proxy does not import this package."""
