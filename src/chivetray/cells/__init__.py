"""Cells: the workers of a service and the jobs on them, with one owner at a time."""
