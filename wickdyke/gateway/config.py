"""The settings that the coordinator reads; the settings of both gateways implement these interfaces."""

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
    """The limits that bound the coordinator's memory."""

    @property
    def open_requests(self) -> int:
        """The maximum number of open requests."""

    @property
    def events(self) -> int:
        """The length of the event queue from which requests are rejected."""


class CoordinatorConfig(Protocol):
    """The settings of one coordinator. Times are ms."""

    @property
    def request_classes(self) -> list[RequestClass]:
        """The request classes that clients may select."""

    @property
    def instance(self) -> GatewayInstance:
        """The index of this gateway and the number of gateways."""

    @property
    def attempt_limits(self) -> AttemptLimits:
        """The limits of attempts."""

    @property
    def function_cache(self) -> FunctionCache:
        """How functions are loaded and unloaded at workers."""

    @property
    def slow_start(self) -> SlowStart:
        """How load is increased on workers that have just started."""

    @property
    def prewarm_quota(self) -> PrewarmQuota:
        """The limits on sending prewarms."""

    @property
    def discovery(self) -> Discovery:
        """How changes of the endpoint list are followed."""

    @property
    def cost_weights(self) -> CostWeights:
        """The weights in the router's cost function."""

    @property
    def tenant_quotas(self) -> TenantQuotas:
        """The resource quotas of the tenants."""

    @property
    def bounds(self) -> CoordinatorLimits:
        """The limits that bound the coordinator's memory."""

    @property
    def answer_margin(self) -> float:
        """The time reserved before a request's deadline for sending the answer to the client."""

    @property
    def health_check_timeout(self) -> float:
        """The time after which a health check times out."""
