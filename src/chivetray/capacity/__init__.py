"""Capacity of pools: moves of VMs between pools, and maintenance waves."""
