; A rolling deployment; meanwhile functions are released anew, and another worker is drained.
(script "deploy, release"
  (seed 1) (length 14 s) (gateways 2) (workers 8) (rate 140) (drain-grace 500 ms) (transit 200 ms)
  (method "position" (effect idempotent) (soft-deadline 600 ms) (deadline 4 s) (work 50 ms))
  (method "seal-alert" (effect side-effecting) (soft-deadline 1500 ms) (deadline 4 s) (gain 5) (part 0.2) (work 60 ms)
    (programs 6))
  (at 2 s (deploy "w1" "w2" "w3" "w4" (each 2 s)))
  (at 5 s (release))
  (at 6 s (drain "w8" (for 2 s))))
