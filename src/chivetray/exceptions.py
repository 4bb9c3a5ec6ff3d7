"""Exceptions, all derived from one base class."""

from __future__ import annotations

from dataclasses import dataclass

from chivetray.results import ResultCode


class ChivetrayError(Exception):
    """An error with a result code.

    :param code: numbered result code
    :param message: one sentence for the operator or the caller
    """

    def __init__(self, code: ResultCode, message: str):
        super().__init__(message)
        self.code = code
        self.message = message

    def __str__(self) -> str:
        return f"error {self.code.number}: {self.message}"


class PlatformError(ChivetrayError):
    """A call to the platform failed.

    :param answered: whether the platform answered at all; without an answer a
        write may have taken effect
    """

    def __init__(self, code: ResultCode, message: str, answered: bool = False):
        super().__init__(code, message)
        self.answered = answered


class RefusalError(ChivetrayError):
    """A request was refused before any byte of it was sent to an endpoint.

    :param retry_after_s: time after which a retry may succeed
    """

    def __init__(
        self, code: ResultCode, message: str, retry_after_s: float | None = None
    ):
        super().__init__(code, message)
        self.retry_after_s = retry_after_s


class AttemptError(ChivetrayError):
    """An attempt at a request failed.

    :param sent: whether any byte of the request may have reached the endpoint
    """

    def __init__(self, code: ResultCode, message: str, sent: bool):
        super().__init__(code, message)
        self.sent = sent


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault in a file of objects or settings."""

    code: ResultCode
    file: str
    line: int
    object_name: str
    message: str

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}"
        return (
            f"{location}: error {self.code.number}: {self.object_name}: {self.message}"
        )


class FaultsError(ChivetrayError):
    """A file or a set of objects has faults.

    :param faults: every fault that was found
    """

    def __init__(self, faults: list[Fault]):
        super().__init__(faults[0].code, "\n".join(str(fault) for fault in faults))
        self.faults = faults

    def __str__(self) -> str:
        return self.message
