"""Time constants shared by the modules of a cell's owner."""

from __future__ import annotations

# Lease of the tasks on a worker, at most the platform's limit. Tasks survive a store
# outage of LEASE_EXTENSION_WINDOW_S + LEASE_S. The tasks of an unreachable worker
# restart only after their lease has expired.
LEASE_S = 7.0

# Time after its last confirmed write during which an owner keeps extending leases. A
# new owner adds it to the lease time that it waits for workers that do not answer.
LEASE_EXTENSION_WINDOW_S = 4.0

# Longest time for which a lease of an earlier owner can last on a worker whose clock
# runs 2% slow.
MAX_EARLIER_LEASE_S = LEASE_EXTENSION_WINDOW_S + LEASE_S * 1.03

# The same after an owner that released the cell, and so stopped extending leases.
MAX_RELEASED_LEASE_S = LEASE_S * 1.03

# Longest time after its sending at which an order without an answer is carried out. A
# later incarnation of the worker may do so: it knows neither fencing tokens nor stopped
# attempts, and its clock has started anew, so that no deadline has passed.
MAX_ORDER_DELAY_S = 12.0

# Delay before a failed write is retried, doubled up to a limit.
RETRY_PAUSE_S = 0.03

# Longest time between two rounds of decisions when nothing happens, and time between
# two retries of orders whose outcome is unknown.
TICK_S = 0.25
