; Workers grow slower and then die; meanwhile another tenant takes most of the cores of another worker.
(script "ageing"
  (seed 1) (length 14 s) (gateways 3) (workers 8) (rate 150)
  (method "suggest-tags" (effect idempotent) (soft-deadline 750 ms) (deadline 4 s) (work 50 ms))
  (method "seal-alert" (effect side-effecting) (soft-deadline 1500 ms) (deadline 4 s) (gain 5) (part 0.2) (work 60 ms)
    (programs 6))
  (at 2 s (age "w1" "w2" (factor 8) (for 5 s) (back 2 s)))
  (at 3 s (neighbour "w3" (share 0.8) (for 6 s)))
  (at 8 s (age "w4" (factor 12) (for 3 s) (back 2 s))))
