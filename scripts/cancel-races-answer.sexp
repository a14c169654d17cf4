; Work takes as long as an attempt, and further attempts are sent as answers arrive: cancels cross answers.
(script "cancel races answer"
  (seed 1) (length 12 s) (gateways 2) (workers 6) (rate 60) (overlap yes)
  (method "suggest-tags" (effect idempotent) (soft-deadline 1 s) (deadline 4 s) (work 199 ms))
  (method "match-photo" (effect idempotent) (soft-deadline 1 s) (deadline 4 s) (part 0.6) (work 120 ms))
  (method "seal-alert" (effect side-effecting) (soft-deadline 1 s) (deadline 4 s) (part 0.4) (work 198 ms) (programs 6))
  (route "tags" (takes (method "suggest-tags")) (attempt 200 ms) (attempts 3) (again full miss unreached unsent timeout cut))
  (route "photo" (takes (method "match-photo")) (attempts 3) (second (after 119 ms) (part 0.5)))
  (route "seal" (takes (method "seal-alert")) (attempt 200 ms) (attempts 3))
  (on (call-out "w1" 20) (late "w1" (past 0 ms)))
  (on (call-out "w2" 20) (late "w2" (past 0 ms)))
  (on (call-out "w3" 25) (late "w3" (past 1 ms)))
  (at 5 s (slow "w4" (factor 1.5) (for 3 s))))
