"""What one VM knows of the usage of a capped account."""

from __future__ import annotations

from dataclasses import dataclass, field

from gooseberryrun._internal.state.serving.accounts import (
    AccountCredit,
    DemandMeter,
    SeparatedUsage,
    UsageCap,
    UsageUnit,
)

GRANTED = "granted"
REFUSED = "refused"
NOT_ALLOCATOR = "not_allocator"
UNANSWERED = "unanswered"


@dataclass(frozen=True, slots=True)
class UsageQuestion:
    """Question to the allocator of a domain, and its result.

    It was for ``cost`` units of ``cap``. If it was refused, a request could be admitted
    at ``retry_at``. Times are ``boottime`` seconds.
    """

    domain: str
    vm: str
    cap: UsageCap
    cost: float
    asked_at: float
    outcome: str
    retry_at: float = 0.0

    def refuses(self, vm: str, cap: UsageCap, cost: float, now: float) -> bool:
        """Return whether the answer still stands, and also for a request like this."""
        is_same = (self.vm, self.cap) == (vm, cap) and self.cost <= cost
        return is_same and self.outcome == REFUSED and now < self.retry_at


@dataclass(slots=True)
class AccountUsage:
    """What this VM knows of the usage of one account.

    ``ranking`` are the domains that have a part of the cap, in the account's order, and
    ``divided`` the cap and the domains that it follows from. ``questions`` are the last
    ones by domain, the latest at the end.
    """

    unit: UsageUnit
    credit: AccountCredit
    demand: DemandMeter = field(default_factory=DemandMeter)
    separated: SeparatedUsage = field(default_factory=SeparatedUsage)
    refused_until: dict[str, float] = field(default_factory=dict)
    divided: tuple[UsageCap, list[str]] | None = None
    ranking: list[str] = field(default_factory=list)
    used_at: float = 0.0
    questions: dict[str, UsageQuestion] = field(default_factory=dict)

    def record(self, question: UsageQuestion) -> None:
        """Record the result of a question."""
        self.questions.pop(question.domain, None)
        self.questions[question.domain] = question

    @property
    def last_question(self) -> UsageQuestion | None:
        """Return the latest question to an allocator, None without one."""
        return next(reversed(self.questions.values()), None)
