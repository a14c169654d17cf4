; Workers die during requests and come back cold, while the endpoint list lags and traffic rises.
(script "crash, lagging list"
  (seed 1) (length 12 s) (gateways 2) (workers 8) (rate 160)
  (method "suggest-tags" (effect idempotent) (soft-deadline 750 ms) (deadline 4 s) (work 50 ms))
  (method "seal-alert" (effect side-effecting) (soft-deadline 1500 ms) (deadline 5 s) (gain 5) (part 0.3) (work 60 ms)
    (programs 6))
  (at 2 s (list-lag (by 3 s) (for 8 s)))
  (on (call-out "w1" 40) (die "w1"))
  (on (load "w2" 3) (die "w2"))
  (at 3 s (die "w3" "w4" (back 2 s)))
  (at 4 s (burst (factor 2) (for 3 s))))
