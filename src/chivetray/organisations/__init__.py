"""Organisations that callers belong to: their keys, weights and caps."""
