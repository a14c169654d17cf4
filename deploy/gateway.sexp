; A gateway, with every setting. Those marked * hold as written here if left out. Paths hang on this file's folder.
(gateway
  (name "g1")                                   ; * "gateway": workers and logs know it by this
  (listen (json-rpc "run/wickdyke.sock"))       ; a Unix socket, or a loopback address: "127.0.0.1:7070"
  (workers (file "workers.sexp") (reread 100 ms)) ; * reread: how often it is looked at for a change
  (routes (file "routes.sexp") (reread 100 ms)) ; the timing of RPCs; left out, the module goes by its own lights
  ; (log "run/gateway.log")                       else standard error
  ; (tape "run/gateway.tape")                     records what the module is told and decides, for wickdyke replay
  ; (seed 7)                                      else drawn at each start
  (seat (number 0) (of 1))                      ; * which of how many gateways this is
  (zone "dc") (at "dc")                         ; the zones, and where this gateway stands
  (kind "full" (memory 68 GB))                  ; kinds of machine, and their memory for programs
  (kind "slow" (memory 68 GB))
  (method "suggest-tags"
    (effect idempotent)                         ; or tokened, with (window TIME) and (scope all|zone|cell); or
                                                ; side-effecting, which never runs twice
    (soft-deadline 750 ms) (deadline 4 s)       ; when an answer is wanted; when the client gives up
    (soft-stretch 0)                            ; * the soft deadline grows by so many times the RPC's work
    (gain 1) (late-gain 0.2))                   ; * what an answer is worth; part of it when late (0 if left out)
  (program "tags/*" (memory 4 GB) (lanes 2) (load 1.2 s)) ; for RPCs that don't say; the longest name that fits wins
  (report busy queue loads)                     ; the figures of workers' reports (* busy held)
  (by-work no)                                  ; * whether gain is counted by work instead of by RPC
  (call-outs (most 3) (overlap no)              ; * call-outs of an RPC; whether two may be out at once
    (cancel yes) (probe yes) (retry-after 0 ms) (dial 250 ms)
    (idle-close 15 s))                          ; * for how long an idle connection to a worker stands
  (stock (idle-life 8 s)                        ; how long an idle copy stays loaded
    (may-hold yes) (loads-on-call yes) (hold-wait 10 s) (tells-standing yes) (tells-company yes)) ; *
  (warmup (start-share 0.25) (ramp 14 s)        ; a cold worker's first share of its capacity, and when it is warm
    (multiple 3) (window 1500 ms))              ; sent more than so many times what it stands, it falls over
  (ration (free 0) (share 0) (window 0 s))      ; * load orders: so many, and a share of the RPCs taken, a window
  (drain-grace 1 s)                             ; nothing new to a draining worker later than this
  (tariff (waste 0) (late 0) (fetch 0) (probe 0) (crossing 0) (idle-memory 0)) ; *
  ; (tenant "a" (quota 500))                     a tenant: RPCs a second of all gateways within its share
  (answer-way 20 ms)                            ; * kept back of each client's time for the answer's way
  (isolation                                    ; * what is kept from being tried (docs/oncall.md)
    (loads (workers 2) (window 30 s) (first 1 s) (most 1 min))   ; programs that fail to load at so many workers
    (calls (copies 3) (window 1 min) (first 10 s) (most 10 min))) ; calls under which so many copies ended
  (probe-wait 250 ms)                           ; * a probe without an answer by then counts as timed out
  (bounds (connections 1024) (open-rpcs 32768) (open-each 4096) (line 16 MB) (unread 32 MB) (events 100000))) ; *
