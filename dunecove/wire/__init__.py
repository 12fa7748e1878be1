"""Reads settings and the simulator's messages: validates them and maps outer names to those of the code."""
