; A gateway, with every setting. Those marked * have the values shown if left out. Paths are relative to this file.
(gateway
  (name "g1")                                   ; * "gateway": workers and logs know it by this
  (listen (json-rpc "run/wickdyke.sock"))       ; a Unix socket, or a loopback address: "127.0.0.1:7070"
  (workers (file "workers.sexp") (reread 100 ms)) ; * reread: how often it is polled for changes
  (routes (file "routes.sexp") (reread 100 ms)) ; policies of routes; left out, the router decides without any
  ; (log "run/gateway.log")                       else standard error
  ; (tape "run/gateway.tape")                     records the inputs and decisions of the router, for wickdyke replay
  ; (seed 7)                                      else drawn at each start
  (seat (number 0) (of 1))                      ; * index of this gateway, and how many there are
  (zone "dc") (at "dc")                         ; the zones, and the one that this gateway is in
  (kind "full" (memory 68 GB))                  ; kinds of machine, and their memory for functions
  (kind "slow" (memory 68 GB))
  (method "suggest-tags"
    (effect idempotent)                         ; or tokened, with (window TIME) and (scope all|zone|cell); or
                                                ; side-effecting, which never runs twice
    (soft-deadline 750 ms) (deadline 4 s)       ; when an answer is wanted; when the client gives up
    (soft-stretch 0)                            ; * the latency objective grows by so many times the work
    (gain 1) (late-gain 0.2))                   ; * priority weight; part of it when late (0 if left out)
  (program "tags/*" (memory 4 GB) (lanes 2) (load 1.2 s)) ; defaults of requests; the longest match wins
  (report busy queue loads)                     ; fields of load reports (* busy held)
  (by-work no)                                  ; * whether gain counts for each ms of work, not each request
  (call-outs (most 3) (overlap no)              ; * attempts of a request; whether two may overlap
    (cancel yes) (probe yes) (retry-after 0 ms) (dial 250 ms)
    (idle-close 15 s))                          ; * idle timeout of connections to workers
  (stock (idle-life 8 s)                        ; idle timeout of a replica
    (may-hold yes) (loads-on-call yes) (hold-wait 10 s) (tells-standing yes) (tells-company yes)) ; *
  (warmup (start-share 0.25) (ramp 14 s)        ; slow start: share of capacity at first, and its length
    (multiple 3) (window 1500 ms))              ; it is overloaded by so many times that in a window
  (ration (free 0) (share 0) (window 0 s))      ; * quota of prewarms: so many, and a share of the requests
  (drain-grace 1 s)                             ; nothing new to a draining worker later than this
  (tariff (waste 0) (late 0) (fetch 0) (probe 0) (crossing 0) (idle-memory 0)) ; *
  ; (tenant "a" (quota 500))                     a tenant and its quota: requests a second, over all gateways
  (answer-way 20 ms)                            ; * reserved of each deadline for the answer's transit
  (isolation                                    ; * circuit breakers (docs/oncall.md)
    (loads (workers 2) (window 30 s) (first 1 s) (most 1 min))   ; functions whose load failed at so many workers
    (calls (copies 3) (window 1 min) (first 10 s) (most 10 min))) ; requests that ended so many replicas
  (probe-wait 250 ms)                           ; * timeout of a health check
  (bounds (connections 1024) (open-rpcs 32768) (open-each 4096) (line 16 MB) (unread 32 MB) (events 100000))) ; *
