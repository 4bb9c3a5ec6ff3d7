"""Time constants shared by the modules of a cell's owner."""

from __future__ import annotations

# Lease of the tasks on a worker, at most the platform's limit. The tasks of an
# unreachable worker restart only after their lease has expired.
LEASE_S = 7.0

# Longest time from the last confirmed write of an owner to the end of any lease that it
# grants. Tasks survive a store outage of this time. A new owner waits for it before it
# restarts the tasks of workers that do not answer; long-running ones have to run again
# within 9 s of their end, including the take-over.
CONFIRMED_LEASE_S = 7.4

# Time after its last confirmed write during which an owner sends orders that grant
# leases.
LEASE_EXTENSION_WINDOW_S = 4.0

# Allowance for a worker's clock that runs 2% slow, and for rounding.
SLOW_CLOCK_FACTOR = 1.03

# Longest time for which a lease of an earlier owner can last after the last write that
# proved its ownership.
MAX_EARLIER_LEASE_S = CONFIRMED_LEASE_S * SLOW_CLOCK_FACTOR

# The same after an owner has released the cell, and so stopped granting leases.
MAX_RELEASED_LEASE_S = LEASE_S * SLOW_CLOCK_FACTOR

# Longest time after its sending at which an order without an answer is carried out. A
# later incarnation of the worker may do so: it knows neither fencing tokens nor stopped
# attempts, and its clock has started anew, so that no deadline has passed.
MAX_ORDER_DELAY_S = 12.0

# Longest time after its sending at which an order that got no answer is delivered, once
# its connection is closed: the timeout of an order, and a repetition of its packets.
MAX_DELIVERY_S = 1.0

# Pause of placements on a worker where an older attempt may still start, renewed until
# its stop is answered.
UNANSWERED_STOP_PAUSE_S = 0.3

# Delay before a failed write is retried, doubled up to a limit.
RETRY_PAUSE_S = 0.03

# Upper bound of that delay.
RETRY_PAUSE_MAX_S = 0.5

# Longest time between two rounds of decisions when nothing happens, and time between
# two retries of orders whose outcome is unknown.
TICK_S = 0.25
