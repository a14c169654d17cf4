; The routes file changes under load: to an invalid one, to fewer attempts, to more.
(script "routes changed"
  (seed 1) (length 12 s) (gateways 2) (workers 8) (rate 140)
  (method "suggest-tags" (effect idempotent) (soft-deadline 750 ms) (deadline 4 s) (work 50 ms))
  (route "tags" (attempt 700 ms) (attempts 3) (again full miss unreached unsent timeout cut error))
  (at 2 s (fail "w1" "w2" (share 0.8) (for 8 s)))
  (at 3 s (reroute (route "tags" (attempt 3 s) (attempts 3))))
  (at 5 s (reroute (route "tags" (attempt 2 s) (attempts 1))))
  (at 7 s (reroute (route "tags" (attempts 3) (again full error cut) (budget (window 4 s) (share 0.05) (floor 2)))))
  (at 8 s (die "w3" "w4" (back 1 s))))
