; Two attempts may overlap: requests to slow workers and after lost answers are hedged, and the first answer wins.
(script "second copies"
  (seed 1) (length 12 s) (gateways 2) (workers 8) (rate 140) (overlap yes)
  (method "suggest-tags" (effect idempotent) (soft-deadline 750 ms) (deadline 4 s) (work 50 ms))
  (method "seal-alert" (effect side-effecting) (soft-deadline 1 s) (deadline 4 s) (part 0.3) (work 50 ms) (programs 6))
  (route "tags" (takes (method "suggest-tags")) (attempts 3) (second (after 250 ms) (part 0.1)))
  (at 2 s (lose "w1" "w2" (share 0.4) (for 6 s)))
  (at 4 s (slow "w3" (factor 8) (for 5 s)))
  (on (call-out "w4" 60) (die "w4")))
