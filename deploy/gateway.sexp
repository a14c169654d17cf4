; A gateway with every setting. Settings marked * have the values shown if left out. Paths are relative to this file.
(gateway
  (name "g1")                                   ; * "gateway": its name for workers and in logs
  (listen (json-rpc "run/wickdyke.sock"))       ; a Unix socket, or a loopback address: "127.0.0.1:7070"
  (workers (file "workers.sexp") (reread 100 ms)) ; * reread: interval at which the file is polled
  (routes (file "routes.sexp") (reread 100 ms)) ; policies of routes; if left out, none apply
  ; (log "run/gateway.log")                       if left out: standard error
  ; (tape "run/gateway.tape")                     records the inputs and decisions of the router, for wickdyke replay
  ; (seed 7)                                      if left out: drawn at each start
  (seat (number 0) (of 1))                      ; * index of this gateway, and number of gateways
  (zone "dc") (at "dc")                         ; the zones, and the zone of this gateway
  (kind "full" (memory 68 GB))                  ; machine types, and their memory for functions
  (kind "slow" (memory 68 GB))
  (method "suggest-tags"
    (effect idempotent)                         ; or tokened, with (window TIME) and (scope all|zone|cell); or
                                                ; side-effecting, which never runs twice
    (soft-deadline 750 ms) (deadline 4 s)       ; latency objective; time after which the client gives up
    (soft-stretch 0)                            ; * this multiple of the work extends the latency objective
    (gain 1) (late-gain 0.2))                   ; * priority weight; fraction of it when late (0 if left out)
  (program "tags/*" (memory 4 GB) (lanes 2) (load 1.2 s)) ; defaults for requests; the longest match wins
  (report busy queue loads)                     ; fields of load reports (* busy held)
  (by-work no)                                  ; * whether weights apply per ms of work, not per request
  (call-outs (most 3) (overlap no)              ; * most attempts of a request; whether two may overlap
    (cancel yes) (probe yes) (retry-after 0 ms) (dial 250 ms)
    (idle-close 15 s))                          ; * idle timeout of connections to workers
  (stock (idle-life 8 s)                        ; idle timeout of a replica
    (may-hold yes) (loads-on-call yes) (hold-wait 10 s) (tells-standing yes) (tells-company yes)) ; *
  (warmup (start-share 0.25) (ramp 14 s)        ; slow start: initial share of the capacity; duration
    (multiple 3) (window 1500 ms))              ; work above this multiple of it in a window is overload
  (ration (free 0) (share 0) (window 0 s))      ; * prewarms in a window: a number, and a share of the requests
  (drain-grace 1 s)                             ; after this time a draining worker gets no new work
  (tariff (waste 0) (late 0) (fetch 0) (probe 0) (crossing 0) (idle-memory 0)) ; *
  ; (tenant "a" (quota 500))                     a tenant and its quota in requests per second, over all gateways
  (answer-way 20 ms)                            ; * part of each deadline reserved for the transit of the answer
  (isolation                                    ; * circuit breakers (docs/oncall.md)
    (loads (workers 2) (window 30 s) (first 1 s) (most 1 min))   ; functions whose loads failed at this many workers
    (calls (copies 3) (window 1 min) (first 10 s) (most 10 min))) ; requests that ended this many replicas
  (probe-wait 250 ms)                           ; * timeout of a health check
  (bounds (connections 1024) (open-rpcs 32768) (open-each 4096) (line 16 MB) (unread 32 MB) (events 100000))) ; *
