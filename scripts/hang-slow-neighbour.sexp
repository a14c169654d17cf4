; Workers that accept attempts and answer none, slow workers and one that shares its machine, all at once.
(script "hang, slow, neighbour"
  (seed 1) (length 12 s) (gateways 2) (workers 8) (rate 160)
  (method "suggest-tags" (effect idempotent) (soft-deadline 750 ms) (deadline 4 s) (work 50 ms))
  (method "seal-alert" (effect side-effecting) (soft-deadline 1500 ms) (deadline 3 s) (gain 5) (part 0.2) (work 60 ms)
    (programs 6))
  (at 2 s (hang "w1" (for 5 s)))
  (at 3 s (slow "w2" "w3" (factor 6) (for 5 s)))
  (at 4 s (neighbour "w4" (share 0.7) (for 5 s)))
  (on (call-out "w5" 60) (hang "w5" (for 2 s))))
