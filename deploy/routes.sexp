; Routes: policies of requests; the most specific match wins. `wickdyke check gateway.sexp` reports violations of rules,
; `wickdyke routes show gateway.sexp METHOD PROGRAM` shows the effective policy and the lines that set it.
(routes
  (route "all"
    (takes (method "*") (program "*") (tenant "*"))       ; a name, or a prefix with *; may be left out
    (attempt 800 ms) (attempts 3)                         ; timeout of an attempt; most attempts of a request
    (pause (first 20 ms) (growth 2) (most 100 ms) (spread 0.5)) ; backoff before a retry
    (again full miss unreached unsent timeout cut error)  ; retryable outcomes
    (second never)                                        ; hedging; or (second (after 300 ms) (at-once 2) (part 0.05))
    (budget (window 10 s) (share 0.1) (floor 5))          ; retry budget: a number, and a share of the requests
    (queue 400 ms)                                        ; longest wait in the queue
    (priority 0))                                         ; under overload the highest priority is served first
  (route "urgent" (like "all") (takes (method "suggest-tags") (program "tags/urgent*")) (priority 5)))
