"""Measurements of dunecove at sizes that one machine can not run for real."""
