"""The settings that the coordinator reads; both gateways' own settings have them."""

from typing import Protocol

from wickdyke.routing.model import RequestClass
from wickdyke.routing.settings import (
    AttemptLimits,
    CostWeights,
    Discovery,
    FunctionCache,
    GatewayInstance,
    PrewarmQuota,
    SlowStart,
    TenantQuotas,
)


class CoordinatorLimits(Protocol):
    """What bounds the coordinator's memory."""

    @property
    def open_requests(self) -> int:
        """How many requests may be open."""

    @property
    def events(self) -> int:
        """How many events may wait, until requests are rejected."""


class CoordinatorConfig(Protocol):
    """The settings of one coordinator. Times are ms."""

    @property
    def request_classes(self) -> list[RequestClass]:
        """The request classes that clients may name."""

    @property
    def instance(self) -> GatewayInstance:
        """Which of how many gateways this is."""

    @property
    def attempt_limits(self) -> AttemptLimits:
        """What bounds attempts."""

    @property
    def function_cache(self) -> FunctionCache:
        """How functions are loaded and unloaded at workers."""

    @property
    def slow_start(self) -> SlowStart:
        """How workers warm up."""

    @property
    def prewarm_quota(self) -> PrewarmQuota:
        """How many prewarms may be sent."""

    @property
    def discovery(self) -> Discovery:
        """How changes of the endpoint list are followed."""

    @property
    def cost_weights(self) -> CostWeights:
        """What the router's costs are weighted with."""

    @property
    def tenant_quotas(self) -> TenantQuotas:
        """What each tenant may use."""

    @property
    def bounds(self) -> CoordinatorLimits:
        """What bounds the coordinator's memory."""

    @property
    def answer_margin(self) -> float:
        """The time that an answer may take to its client."""

    @property
    def health_check_timeout(self) -> float:
        """The time until a health check times out."""
