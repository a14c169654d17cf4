; The attempt timeout is shorter than a load takes, and some answers arrive just after their attempt's timeout.
(script "attempts just missed"
  (seed 1) (length 12 s) (gateways 2) (workers 8) (rate 140)
  (method "suggest-tags" (effect idempotent) (soft-deadline 750 ms) (deadline 4 s) (work 50 ms) (load 600 ms))
  (method "seal-alert" (effect side-effecting) (soft-deadline 1 s) (deadline 4 s) (part 0.3) (work 50 ms) (programs 6))
  (route "tags" (takes (method "suggest-tags")) (attempt 600 ms) (attempts 3) (pause (first 20 ms) (growth 2))
    (again full miss unreached unsent timeout cut error) (queue 400 ms))
  (route "seal" (takes (method "seal-alert")) (attempt 1300 ms) (attempts 2) (queue 500 ms))
  (on (call-out "w1" 30) (late "w1" (past 5 ms)))
  (on (call-out "w2" 30) (late "w2" (past 1 ms)))
  (at 3 s (lose "w3" (share 0.5) (for 5 s)))
  (at 5 s (slow "w4" (factor 8) (for 4 s))))
