"""Orders that grant leases on a worker and that it has not answered yet.

Another incarnation than the one that an order was for may carry it out.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class LeaseOrders:
    """Orders without an answer of the incarnation that they were for.

    :ivar open_sent_s: send times of the orders that are under way, by number
    :ivar unanswered_sent_s: latest send time of an order that failed without an answer,
        0 if there was none
    """

    open_sent_s: dict[int, float] = field(default_factory=dict)
    unanswered_sent_s: float = 0.0
    _number: int = 0

    @property
    def last_sent_s(self) -> float:
        """Latest send time of an order without an answer, 0 if there is none."""
        return max([self.unanswered_sent_s, *self.open_sent_s.values()])

    def begin(self, sent_at_s: float) -> int:
        """Record that an order is sent; return the number to end it with."""
        self._number += 1
        self.open_sent_s[self._number] = sent_at_s
        return self._number

    def end(self, number: int, answered: bool) -> None:
        """Record the end of an order.

        :param answered: whether it certainly has no effect in another incarnation
        """
        sent_at_s = self.open_sent_s.pop(number, 0.0)
        if not answered:
            self.unanswered_sent_s = max(self.unanswered_sent_s, sent_at_s)
