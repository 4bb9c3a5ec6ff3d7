"""Scheduling decisions on jobs, free of network and clock access."""
