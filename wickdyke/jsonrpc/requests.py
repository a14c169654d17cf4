"""Checks what clients send: a call becomes a request with all its figures, or a fault that says what is wrong."""

from dataclasses import dataclass

from wickdyke.config.effective_policy import EffectivePolicy
from wickdyke.config.gateway_config import GatewayConfig
from wickdyke.config.route_config import Routes
from wickdyke.protocol import client_messages, jsonrpc
from wickdyke.routing.model import Effect, RequestClass, RoutePolicy

WORD_SHOWN = 60  # characters of a client's word that an error message repeats


@dataclass(slots=True, frozen=True)
class CheckedRequest:
    """A call that names a known request class and has all its figures; `time_left` is ms."""

    ident: jsonrpc.Ident
    request_class: RequestClass
    call: client_messages.CallRequest
    time_left: float
    route_policy: RoutePolicy | None


class RequestChecker:
    """Checks requests against the settings, and against the routes in force. Faults are raised as jsonrpc.Fault."""

    def __init__(self, config: GatewayConfig) -> None:
        self.request_classes = {each.name: each for each in config.request_classes}
        self.stated, self.tenants = config.function_settings, config.tenants
        self.routes: Routes | None = None

    def cancelled_id(self, request: jsonrpc.Request) -> jsonrpc.Ident:
        """The id that a `cancel` is about."""
        cancel = jsonrpc.parse_params(client_messages.CancelRequest, request.params, request.ident)
        if not request.told:
            raise jsonrpc.MalformedRequestError(
                jsonrpc.INVALID_REQUEST, "cancel: expected a notification, without an id", request.ident
            )
        return cancel.id

    def check(self, request: jsonrpc.Request, time_left_most: float | None) -> CheckedRequest:
        """A `call`, with what it leaves out taken from the settings; `time_left_most` (ms) bounds its time."""
        ident = request.ident
        if request.method != "call":
            raise jsonrpc.MalformedRequestError(
                jsonrpc.METHOD_NOT_FOUND, f"{request.method[:WORD_SHOWN]}: expected call or cancel", ident
            )
        if request.told or ident is None:
            raise jsonrpc.MalformedRequestError(
                jsonrpc.INVALID_REQUEST, "call: expected an id that is a string or a number", ident
            )
        call = jsonrpc.parse_params(client_messages.CallRequest, request.params, ident)
        request_class = self._request_class(call, ident)
        self._fill_in(call, ident)
        self._check_tenant(call, ident)
        route = self._route(call)
        most = route.policy.deadline if route else request_class.deadline
        time_left = min(call.time_left_ms or most, most, time_left_most or most)
        return CheckedRequest(ident, request_class, call, time_left, route.router_policy if route else None)

    def time_left(self, request: jsonrpc.Request | jsonrpc.MalformedRequestError) -> float:
        """The time stated in a request (ms), as far as it can be read; else the greatest."""
        most = max((each.deadline for each in self.request_classes.values()), default=0.0)
        if isinstance(request, jsonrpc.MalformedRequestError) or request.method != "call":
            return most
        try:
            call = jsonrpc.parse_params(client_messages.CallRequest, request.params, None)
        except jsonrpc.MalformedRequestError:
            return most
        request_class = self.request_classes.get(call.method)
        if request_class is None:
            return min(call.time_left_ms or most, most)
        route = self._route(call)
        return min(call.time_left_ms or most, route.policy.deadline if route else request_class.deadline)

    def _request_class(self, call: client_messages.CallRequest, ident: jsonrpc.Ident) -> RequestClass:
        request_class = self.request_classes.get(call.method)
        if request_class is None:
            known = ", ".join(self.request_classes)
            why = f"method: {call.method[:WORD_SHOWN]}, expected one of {known}"
            raise jsonrpc.MalformedRequestError(jsonrpc.INVALID_PARAMS, why, ident)
        if request_class.effect == Effect.KEYED and not call.idempotency_key:
            why = f"token: missing, and {request_class.name} is tokened"
            raise jsonrpc.MalformedRequestError(jsonrpc.INVALID_PARAMS, why, ident)
        return request_class

    def _fill_in(self, call: client_messages.CallRequest, ident: jsonrpc.Ident) -> None:
        stated = self.stated(call.function)
        if call.memory_mb is None:
            if stated is None:
                why = f"memory_mb: missing, and the settings state none for {call.function[:WORD_SHOWN]}"
                raise jsonrpc.MalformedRequestError(jsonrpc.INVALID_PARAMS, why, ident)
            call.memory_mb = stated.memory
        if call.concurrency is None:
            call.concurrency = stated.concurrency if stated else 1
        if call.load_ms is None and stated:
            call.load_ms = stated.load_time

    def _check_tenant(self, call: client_messages.CallRequest, ident: jsonrpc.Ident) -> None:
        if call.tenant and self.tenants and call.tenant not in self.tenants:
            known = ", ".join(self.tenants)
            why = f"tenant: {call.tenant[:WORD_SHOWN]}, expected one of {known}"
            raise jsonrpc.MalformedRequestError(jsonrpc.INVALID_PARAMS, why, ident)

    def _route(self, call: client_messages.CallRequest) -> EffectivePolicy | None:
        return self.routes.find(call.method, call.function, call.tenant) if self.routes else None
