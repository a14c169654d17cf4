; Routes: the timing of RPCs, the most specific that takes one wins. `wickdyke check gateway.sexp` says what could break
; a rule, `wickdyke routes show gateway.sexp METHOD PROGRAM` what holds and from which line.
(routes
  (route "all"
    (takes (method "*") (program "*") (tenant "*"))       ; a name, a beginning with a star, or left out
    (attempt 800 ms) (attempts 3)                         ; time for one attempt; attempts in all
    (pause (first 20 ms) (growth 2) (most 100 ms) (spread 0.5)) ; before a further attempt
    (again full miss unreached unsent timeout cut error)  ; outcomes that may be tried again
    (second never)                                        ; or (second (after 300 ms) (at-once 2) (part 0.05))
    (budget (window 10 s) (share 0.1) (floor 5))          ; further attempts in all: so many and a share of the RPCs
    (queue 400 ms)                                        ; greatest wait for a first place
    (priority 0))                                         ; under overload the highest goes first
  (route "urgent" (like "all") (takes (method "suggest-tags") (program "tags/urgent*")) (priority 5)))
