"""Checks the requests of clients: a `call` becomes a request with all parameters set, or an error with the reason."""

from collections.abc import Iterable
from dataclasses import dataclass

from wickdyke.config.effective_policy import EffectivePolicy
from wickdyke.config.gateway_config import GatewayConfig
from wickdyke.config.route_config import Routes
from wickdyke.protocol import client_messages, jsonrpc
from wickdyke.protocol.client_messages import CallRequest
from wickdyke.routing.model import Effect, RequestClass, RoutePolicy

MAX_QUOTED = 60  # characters of a client's value that are quoted in an error message


@dataclass(slots=True)
class RequestParams:
    """The parameters of a `call`, with those it leaves out taken from the settings. Times are ms, memory is MB.

    `input` is JSON, and is set to None once the request is answered.
    """

    function: str
    input: bytes | None
    memory_mb: float
    concurrency: int
    load_ms: float | None
    work_ms: float | None
    is_repeat: bool
    idempotency_key: str | None


@dataclass(slots=True, frozen=True)
class CheckedRequest:
    """A `call` that names a known request class and has all parameters set; `time_left` is ms."""

    ident: jsonrpc.Ident
    request_class: RequestClass
    params: RequestParams
    time_left: float
    route_policy: RoutePolicy | None


class RequestChecker:
    """Checks requests against the settings, and against the routes in force."""

    def __init__(self, config: GatewayConfig) -> None:
        self.config = config
        self.request_classes = {request_class.name: request_class for request_class in config.request_classes}
        self.tenants = config.tenants
        self.routes: Routes | None = None

    def cancelled_id(self, request: jsonrpc.Request) -> jsonrpc.Ident:
        """Returns the id of the request that a `cancel` refers to. Raises MalformedRequestError."""
        cancel = jsonrpc.parse_params(client_messages.CancelRequest, request.params, request.ident)
        if not request.is_notification:
            raise jsonrpc.MalformedRequestError(
                jsonrpc.INVALID_REQUEST, "cancel: expected a notification, without an id", request.ident
            )
        return cancel.id

    def check(self, request: jsonrpc.Request, max_time_left: float | None) -> CheckedRequest:
        """Checks a `call` and returns it with the parameters that it leaves out taken from the settings.

        `max_time_left` (ms) bounds its remaining time. Raises MalformedRequestError.
        """
        ident = request.ident
        if request.method != "call":
            raise jsonrpc.MalformedRequestError(
                jsonrpc.METHOD_NOT_FOUND, f"{request.method[:MAX_QUOTED]}: expected call or cancel", ident
            )
        if request.is_notification or ident is None:
            raise jsonrpc.MalformedRequestError(
                jsonrpc.INVALID_REQUEST, "call: expected an id that is a string or a number", ident
            )
        call = jsonrpc.parse_params(CallRequest, request.params, ident)
        request_class = self._request_class(call, ident)
        params = self._params(call, ident)
        self._check_tenant(call, ident)
        effective = self._effective_policy(call)
        deadline = effective.policy.deadline if effective else request_class.deadline
        time_left = min(call.time_left_ms or deadline, deadline, max_time_left or deadline)
        return CheckedRequest(ident, request_class, params, time_left, effective.router_policy if effective else None)

    def shortest_time_left(self, requests: Iterable[jsonrpc.Request | jsonrpc.MalformedRequestError]) -> float | None:
        """Returns the shortest time left (ms) of the requests, as far as they can be parsed; None if there are none."""
        return min(map(self._time_left, requests), default=None)

    def _time_left(self, request: jsonrpc.Request | jsonrpc.MalformedRequestError) -> float:
        longest = max((request_class.deadline for request_class in self.request_classes.values()), default=0.0)
        if isinstance(request, jsonrpc.MalformedRequestError) or request.method != "call":
            return longest
        try:
            call = jsonrpc.parse_params(CallRequest, request.params, None)
        except jsonrpc.MalformedRequestError:
            return longest
        request_class = self.request_classes.get(call.method)
        if request_class is None:
            return min(call.time_left_ms or longest, longest)
        effective = self._effective_policy(call)
        return min(call.time_left_ms or longest, effective.policy.deadline if effective else request_class.deadline)

    def _request_class(self, call: CallRequest, ident: jsonrpc.Ident) -> RequestClass:
        request_class = self.request_classes.get(call.method)
        if request_class is None:
            expected = ", ".join(self.request_classes)
            reason = f"method: {call.method[:MAX_QUOTED]}, expected one of {expected}"
            raise jsonrpc.MalformedRequestError(jsonrpc.INVALID_PARAMS, reason, ident)
        if request_class.effect == Effect.KEYED and not call.idempotency_key:
            reason = f"token: missing, and {request_class.name} is tokened"
            raise jsonrpc.MalformedRequestError(jsonrpc.INVALID_PARAMS, reason, ident)
        return request_class

    def _params(self, call: CallRequest, ident: jsonrpc.Ident) -> RequestParams:
        settings = self.config.function_settings(call.function)
        memory_mb = call.memory_mb
        if memory_mb is None:
            if settings is None:
                reason = f"memory_mb: missing, and the settings state none for {call.function[:MAX_QUOTED]}"
                raise jsonrpc.MalformedRequestError(jsonrpc.INVALID_PARAMS, reason, ident)
            memory_mb = settings.memory
        concurrency = call.concurrency
        if concurrency is None:
            concurrency = settings.concurrency if settings else 1
        load_ms = call.load_ms
        if load_ms is None and settings:
            load_ms = settings.load_time
        return RequestParams(
            function=call.function,
            input=call.input,
            memory_mb=memory_mb,
            concurrency=concurrency,
            load_ms=load_ms,
            work_ms=call.work_ms,
            is_repeat=call.is_repeat,
            idempotency_key=call.idempotency_key,
        )

    def _check_tenant(self, call: CallRequest, ident: jsonrpc.Ident) -> None:
        if call.tenant and self.tenants and call.tenant not in self.tenants:
            expected = ", ".join(self.tenants)
            reason = f"tenant: {call.tenant[:MAX_QUOTED]}, expected one of {expected}"
            raise jsonrpc.MalformedRequestError(jsonrpc.INVALID_PARAMS, reason, ident)

    def _effective_policy(self, call: CallRequest) -> EffectivePolicy | None:
        return self.routes.find(call.method, call.function, call.tenant) if self.routes else None
