"""Whether a new routes file would strand RPCs that were taken under an earlier one.

An RPC keeps the terms it was taken with, so only one thing it hangs on can be taken away: what other RPCs of its route
pay into the budget for further attempts. A budget with a floor of an attempt or more can always pay one; one that lives
by its share alone can pay none once no RPC of the route comes any more. Pure: times are ms of the caller's clock.
"""

from dataclasses import dataclass

from wickdyke.route_policy.matching import Pattern
from wickdyke.route_policy.policy import RetryBudgetPolicy


@dataclass(slots=True, frozen=True)
class RetryBudgetUser:
    """A route as far as its budget goes. `lives` is how long an RPC of it may take, in ms."""

    name: str
    takes: Pattern
    budget: RetryBudgetPolicy | None
    attempts: int
    lives: float

    @property
    def hangs(self) -> bool:
        """Whether its RPCs in flight need others to pay for their further attempts."""
        return self.attempts > 1 and self.budget is not None and self.budget.floor < 1


@dataclass(slots=True, frozen=True)
class StrandedRequest:
    """Whose RPCs would be stranded and why; `until` is when the last of them is answered, None while more come."""

    payer: RetryBudgetUser
    why: str
    until: float | None


class PolicyTransition:
    """The routes in force, and those of earlier files whose RPCs may be in flight still."""

    def __init__(self) -> None:
        self.now_held: list[RetryBudgetUser] = []
        self.earlier: list[tuple[float, RetryBudgetUser]] = []

    def strands(self, new: list[RetryBudgetUser], now: float) -> list[StrandedRequest]:
        """What would be stranded if `new` came into force now."""
        named = {payer.name: payer for payer in new}
        found = [
            StrandedRequest(payer, why, until)
            for payer, until in [
                *((payer, None) for payer in self.now_held),
                *((payer, until) for until, payer in self.earlier if until > now),
            ]
            if payer.hangs and (why := _cut_off(payer, named.get(payer.name), new))
        ]
        return list({(each.payer, each.until): each for each in found}.values())

    def follow(self, new: list[RetryBudgetUser], now: float) -> None:
        """`new` is in force from now on."""
        self.earlier = [(until, payer) for until, payer in self.earlier if until > now]
        self.earlier += [(now + payer.lives, payer) for payer in self.now_held if payer.hangs and payer not in new]
        self.now_held = list(new)


def _cut_off(old: RetryBudgetUser, heir: RetryBudgetUser | None, new: list[RetryBudgetUser]) -> str:
    """Why nothing would be paid in for the old route's RPCs any more; empty where something still is."""
    if heir is None:
        return "is gone"
    if heir.budget is None or heir.attempts < 2:
        return "has a budget no more"
    if heir.budget.window != old.budget.window:
        return f"counts its budget over {heir.budget.window:g} ms instead of {old.budget.window:g} ms"
    both = old.takes.meets(heir.takes)
    if both is None:
        return "takes none of the RPCs it took"
    if any(
        payer.name != old.name
        and payer.takes.covers(both)
        and heir.takes.covers(payer.takes)
        and payer.takes != heir.takes
        for payer in new
    ):
        return "leaves all the RPCs it took to others"
    return ""
