"""Keeps a cell's shares of the caps of organisations: takes them and gives them back.

What the store may hold is never less than what this owner uses: a share counts from
the confirmed write on, and one that is given back no longer counts once the write is
sent. See docs/design/caps.md.
"""

from __future__ import annotations

from collections.abc import Callable

from anyio.abc import TaskGroup

from chivetray.cells.cap_use import UseCounter, fit_workers
from chivetray.cells.caps import CapRegister
from chivetray.cells.holdings import Holding
from chivetray.cells.state import CellState
from chivetray.cells.tables import share_row
from chivetray.clocks import boot_time_s
from chivetray.events import Event, log_event
from chivetray.organisations.model import Resources
from chivetray.organisations.shares import (
    EVERYTHING,
    NOTHING,
    Demand,
    Shares,
    add,
    adopt_cap,
    as_limit,
    claim,
    exceeds,
    fits,
    give_back,
    largest,
    limited,
    shrink,
    smallest,
    subtract,
    take,
)
from chivetray.platform.store import (
    ABSENT,
    Committed,
    Conflict,
    OutcomeUnknown,
    Store,
    StoreUnavailableError,
)

# Pauses before an attempt is repeated, doubled up to a limit and shortened at random by
# up to a half: after a conflict with another cell, while nothing is free, and after a
# store call that failed.
CONFLICT_PAUSE_S = 0.02
LACK_PAUSE_S = 0.1
LACK_PAUSE_MAX_S = 0.5
FAILURE_PAUSE_S = 0.1
FAILURE_PAUSE_MAX_S = 2.0

# Different demands that are considered at a time, in the order of scheduling.
MAX_DEMANDS = 50


class ShareKeeper:
    """The shares of one cell, as its owner keeps them in memory.

    :param epoch: epoch of the owner, under which it claims shares
    :param on_change: called when more may start than before
    :ivar holdings: shares by organisation
    """

    def __init__(
        self,
        state: CellState,
        epoch: int,
        store: Store,
        register: CapRegister,
        on_change: Callable[[], None] = lambda: None,
    ):
        self.holdings: dict[str, Holding] = {}
        self._state = state
        self._epoch = epoch
        self._store = store
        self._register = register
        self._on_change = on_change
        self._counter = UseCounter(state)

    # Room

    def use(self, organisation: str) -> Resources:
        """Return what may be running of an organisation in the cell."""
        return self._counter.use(organisation)

    def room(self, organisation: str) -> Resources | None:
        """Return what may start of an organisation now, ``None`` for no limit."""
        holding = self._find(organisation)
        if holding is None:
            return None
        return subtract(holding.effective(), self.use(organisation))

    def attainable_room(self, organisation: str) -> Resources | None:
        """Return the room with all that is free of the cap, ``None`` for no limit."""
        holding = self._find(organisation)
        if holding is None:
            return None
        free = (
            as_limit(holding.cap or NOTHING) if holding.free is None else holding.free
        )
        return subtract(add(holding.effective(), free), self.use(organisation))

    def note_lack(self, organisation: str, unit: Resources, count: int) -> None:
        """Record that tasks could be placed if there was room."""
        demands = self.holdings[organisation].demands
        if demands and demands[-1].unit == unit:
            demands[-1] = Demand(unit, demands[-1].count + count)
        elif len(demands) < MAX_DEMANDS:
            demands.append(Demand(unit, count))

    def is_lacking(self, organisation: str, unit: Resources) -> bool:
        """Return whether such a lack was recorded in this round."""
        demands = self.holdings[organisation].demands
        return any(demand.unit == unit for demand in demands)

    def note_waiting(self, organisation: str) -> None:
        """Record that work waits for the cap, whether or not a worker is free."""
        self.holdings[organisation].is_awaited = True

    def _find(self, organisation: str) -> Holding | None:
        """Return the holding of an organisation, ``None`` if it has no limit."""
        self._register.refresh()
        known = self._register.caps.get(organisation)
        if not organisation or (known is None and not self._register.has_caps):
            return None
        if known is not None and known.cap == NOTHING:
            return None
        holding = self.holdings.get(organisation)
        if holding is None:
            holding = self.holdings[organisation] = Holding()
        self._follow_configuration(organisation, holding)
        return None if holding.cap == NOTHING else holding

    def _follow_configuration(self, organisation: str, holding: Holding) -> None:
        known, version = self._register.caps.get(organisation), self._register.version
        if known is None or version == holding.config_version:
            return
        # Versions in between may have had a higher cap, under which others took share.
        is_next = version == holding.config_version + 1
        is_closed = boot_time_s() < known.closed_until_s
        holding.config_version = version
        if version > holding.cap_version and known.cap != holding.cap:
            if holding.cap is not None:
                log_event(
                    Event.CAP_CHANGED,
                    cell=self._state.name,
                    organisation=organisation,
                    version=version,
                    cap=_amounts(known.cap),
                    before=_amounts(holding.cap),
                )
            holding.cap, holding.cap_version = known.cap, version
            holding.tries, holding.due_s = 0, 0.0
        if is_closed or not is_next:
            holding.granted = EVERYTHING
        else:
            holding.granted = largest(holding.granted, as_limit(known.cap))

    # Attempts

    def update(self, task_group: TaskGroup) -> None:
        """Start the attempts to change shares that are due, after each placement."""
        self._register.refresh()
        if self._register.has_caps and self._state.workers:
            for name in self._register.caps:
                self._find(name)
        now_s = boot_time_s()
        for name, holding in self.holdings.items():
            holding.record_use(self.use(name), now_s)
            demands, holding.demands = holding.demands, []
            if holding.is_busy or now_s < holding.due_s or self._find(name) is None:
                continue
            if self._is_due(holding, demands, now_s):
                holding.is_busy, holding.is_awaited = True, False
                demands = fit_workers(self._state, demands, now_s)
                task_group.start_soon(self._attempt, name, holding, demands)

    def _is_due(self, holding: Holding, demands: list[Demand], now_s: float) -> bool:
        if demands or holding.is_awaited:
            return True
        if holding.cap is None or holding.cap == NOTHING:
            return False
        return (
            not holding.checked
            or holding.unknown_version >= 0
            or self._must_settle(holding)
            or holding.has_surplus(now_s)
        )

    def _must_settle(self, holding: Holding) -> bool:
        """Return whether a part of the share may not be used before another look."""
        is_used = holding.claimed or holding.last_use != NOTHING
        return is_used and holding.exceeds_cap()

    async def _attempt(
        self, organisation: str, holding: Holding, demands: list[Demand]
    ) -> None:
        """Read the row and change it once, if there is something to change."""
        try:
            await self._change_share(organisation, holding, demands)
        except StoreUnavailableError as error:
            self._fail(organisation, holding, str(error), during="read")
        finally:
            holding.is_busy = False

    async def _change_share(
        self, organisation: str, holding: Holding, demands: list[Demand]
    ) -> None:
        row_id = share_row(organisation)
        row = await self._store.read_row(row_id)
        stored = Shares() if row is None else Shares.decode(row.value)
        version = ABSENT if row is None else row.version
        if stored is None:
            log_event(Event.ROW_DAMAGED, key=f"shares of {organisation}", reason="")
            holding.retry_after(FAILURE_PAUSE_MAX_S, FAILURE_PAUSE_MAX_S)
            return
        self._follow_configuration(organisation, holding)
        if holding.cap is None:
            # Removed from the configuration: the row holds the last known cap.
            holding.cap, holding.cap_version = stored.cap, stored.version
            self._on_change()
        if holding.cap == NOTHING:
            holding.retry_after(LACK_PAUSE_MAX_S, LACK_PAUSE_MAX_S)
            return
        if not stored.may_change(self._state.name, self._epoch):
            holding.claimed, holding.share = False, NOTHING
            self._fail(organisation, holding, "a later owner has claimed the share")
            return
        self._adopt(holding, stored, version)
        changed = self._plan(organisation, holding, stored, demands)
        if row is None and not changed.cells:
            # Nobody uses anything: a row is created with the first share.
            holding.checked, holding.free = True, as_limit(holding.cap)
            return
        if changed.version > holding.cap_version:
            holding.cap, holding.cap_version = changed.cap, changed.version
        share, before = changed.share_of(self._state.name), holding.share
        looked_at = holding.config_version
        is_uncertain = holding.claimed and before != stored.share_of(self._state.name)
        if changed == stored and not is_uncertain:
            self._record_look(organisation, holding, stored, looked_at)
            self._record_progress(organisation, holding, demands, is_taken=False)
            return
        # Counts as given back from now on, whatever becomes of the write.
        holding.share = smallest(before, share)
        earlier, holding.unknown_version = holding.unknown_version, version
        outcome = await self._store.transact(
            {row_id: version}, {row_id: changed.encode()}
        )
        is_less = not fits(before, share)
        if isinstance(outcome, Committed):
            was_claimed, holding.claimed = holding.claimed, True
            holding.share, holding.unknown_version = share, -1
            self._record_look(organisation, holding, changed, looked_at)
            is_more = not fits(share, before)
            if is_more or not was_claimed:
                holding.share_since_s = boot_time_s()
                self._log(Event.SHARE_TAKEN, organisation, holding, changed)
            if is_less:
                self._log(Event.SHARE_GIVEN_BACK, organisation, holding, changed)
            self._record_progress(organisation, holding, demands, is_taken=True)
            self._on_change()
        elif isinstance(outcome, Conflict):
            # The row has another version, so that no earlier write is carried out.
            holding.unknown_version = -1
            holding.retry_after(CONFLICT_PAUSE_S, LACK_PAUSE_MAX_S)
        else:
            if not isinstance(outcome, OutcomeUnknown):
                holding.unknown_version = earlier
            self._fail(organisation, holding, outcome.reason, during="write")

    def _adopt(self, holding: Holding, stored: Shares, version: int) -> None:
        """Adopt what the row holds, unless a write without an answer may change it."""
        held = stored.cells.get(self._state.name)
        if held is None or held.epoch != self._epoch:
            holding.claimed, holding.share = False, NOTHING
        elif version != holding.unknown_version:
            holding.claimed, holding.share = True, held.share
        else:
            holding.share = smallest(holding.share, held.share)
        if version != holding.unknown_version:
            holding.unknown_version = -1

    def _plan(
        self,
        organisation: str,
        holding: Holding,
        stored: Shares,
        demands: list[Demand],
    ) -> Shares:
        """Return what the row should hold."""
        assert holding.cap is not None
        cell, epoch, use = self._state.name, self._epoch, self.use(organisation)
        must_record = holding.exceeds_cap()
        planned = adopt_cap(stored, holding.cap_version, holding.cap, must_record)
        held = planned.cells.get(cell)
        is_own = held is not None and held.epoch == epoch
        needed = limited(use, planned.cap)
        if not fits(needed, planned.share_of(cell)) or (held and not is_own):
            planned = claim(planned, cell, epoch, use)
        if exceeds(planned):
            return (
                shrink(planned, cell, epoch, use) if cell in planned.cells else planned
            )
        taken = take(planned, cell, epoch, use, demands)
        if taken != planned:
            return taken
        # Also what waits for more may not keep others waiting.
        if is_own and holding.has_surplus(boot_time_s()):
            return give_back(planned, cell, epoch, largest(use, holding.kept()))
        return planned

    def _record_look(
        self, organisation: str, holding: Holding, shares: Shares, looked_at: int
    ) -> None:
        """Record what the row held, which bounds what others may hold until a change.

        :param looked_at: version of the configuration at the time of the look
        """
        holding.checked, holding.free = True, shares.free()
        granted = largest(shares.total(), as_limit(shares.cap))
        known = self._register.caps.get(organisation)
        if known is not None and boot_time_s() < known.closed_until_s:
            granted = EVERYTHING
        if looked_at != holding.config_version:
            granted = largest(granted, holding.granted)
        holding.granted = granted

    def _record_progress(
        self,
        organisation: str,
        holding: Holding,
        demands: list[Demand],
        is_taken: bool,
    ) -> None:
        room = self.room(organisation)
        is_lacking = bool(demands) and room is not None
        if is_lacking and room is not None and fits(demands[0].unit, room):
            is_lacking = False
        if not is_lacking and not self._must_settle(holding):
            holding.tries, holding.due_s = 0, 0.0
            if demands and not is_taken:
                self._on_change()
            return
        if is_lacking:
            log_event(
                Event.SHARE_LACKING,
                cell=self._state.name,
                organisation=organisation,
                share=_amounts(holding.share),
                wanted=_amounts(demands[0].unit),
                cap=_amounts(holding.cap or NOTHING),
                granted=_amounts(holding.granted),
                use=_amounts(self.use(organisation)),
            )
        holding.retry_after(LACK_PAUSE_S, LACK_PAUSE_MAX_S)

    def _fail(
        self, organisation: str, holding: Holding, reason: str, during: str = "claim"
    ) -> None:
        log_event(
            Event.SHARE_CALL_FAILED,
            cell=self._state.name,
            organisation=organisation,
            reason=reason,
            during=during,
            tries=holding.tries,
        )
        holding.retry_after(FAILURE_PAUSE_S, FAILURE_PAUSE_MAX_S)

    def _log(
        self, event: Event, organisation: str, holding: Holding, shares: Shares
    ) -> None:
        log_event(
            event,
            cell=self._state.name,
            epoch=self._epoch,
            organisation=organisation,
            share=_amounts(holding.share),
            use=_amounts(self.use(organisation)),
            total=_amounts(shares.total()),
            cap=_amounts(shares.cap),
            version=shares.version,
        )


def _amounts(amount: Resources) -> list[int]:
    """Return an amount for the log: thousandths of a core, MB and GPUs."""
    return [amount.cpu_milli, amount.mem_mb, amount.gpu]
