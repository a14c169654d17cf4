; As cold-eight-gateways, with two gateways: each sends so much that it could overload a cold worker alone.
(script "cold, two gateways"
  (seed 1) (length 14 s) (gateways 2) (workers 8) (zones 2) (rate 260)
  (warmup (start-share 0.1) (ramp 6 s) (multiple 2) (window 2 s))
  (method "suggest-tags" (effect idempotent) (soft-deadline 750 ms) (deadline 4 s) (work 50 ms))
  (at 3 s (lose-zone "z2" (back 1500 ms)))
  (at 5 s (burst (factor 1.5) (for 3 s)))
  (at 6 s (die "w1" (back 1 s))))
