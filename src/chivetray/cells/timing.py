"""Times that the parts of a cell's owner share."""

from __future__ import annotations

# Lease of what runs on a worker, at most the platform's bound. It outlasts an
# outage of the store of OWNERSHIP_S + LEASE_S, and a dark worker's tasks wait
# for it.
LEASE_S = 7.0

# Time after the last confirmed write during which an owner goes on extending
# leases. A new owner waits for it at workers that do not answer.
OWNERSHIP_S = 4.0

# Longest time that the lease of an earlier owner can last, with a clock that runs
# 2% slow.
EARLIER_LEASE_S = OWNERSHIP_S + LEASE_S * 1.03

# The same after an owner that gave the cell up, and so stopped extending leases.
RELEASED_LEASE_S = LEASE_S * 1.03

# Pause after a write that failed, doubled up to a bound.
RETRY_PAUSE_S = 0.03

# Longest time between two rounds of decisions when nothing happens, and between two
# tries of orders that are still open.
TICK_S = 0.25
