; Workers fail their requests quickly, others lose answers, and clients send short deadlines.
(script "errors, lost answers, little time"
  (seed 1) (length 12 s) (gateways 2) (workers 8) (rate 160)
  (method "suggest-tags" (effect idempotent) (soft-deadline 750 ms) (deadline 4 s) (work 50 ms))
  (method "fabric-preview" (effect tokened) (scope all) (window 1500 ms) (soft-deadline 1200 ms) (deadline 4 s)
    (part 0.4) (work 60 ms) (programs 8))
  (method "seal-alert" (effect side-effecting) (soft-deadline 1500 ms) (deadline 3 s) (gain 5) (part 0.3) (work 60 ms)
    (programs 6))
  (at 2 s (fail "w1" "w2" (share 0.9) (for 5 s)))
  (at 3 s (lose "w3" "w4" (share 0.4) (for 5 s)))
  (at 4 s (short (share 0.4) (for 5 s)))
  (on (call-out "w5" 50) (late "w5" (past 5 ms))))
