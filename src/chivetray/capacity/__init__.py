"""Capacity of pools: VM moves and maintenance waves."""
