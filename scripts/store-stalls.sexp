; The store stalls while a release empties the workers, functions are requested once, and new functions are hot.
(script "store stalls"
  (seed 1) (length 14 s) (gateways 2) (workers 8) (rate 140) (store-pace 8)
  (ration (free 6) (share 0.2) (window 5 s))
  (method "position" (effect idempotent) (soft-deadline 750 ms) (deadline 4 s) (work 50 ms))
  (method "eta" (effect idempotent) (soft-deadline 1200 ms) (deadline 5 s) (part 0.5) (work 90 ms) (programs 10))
  (at 2 s (once (share 0.06) (for 6 s)))
  (at 3 s (release))
  (at 3 s (stall (for 2 s)))
  (at 6 s (hot (programs 3) (share 0.2) (for 5 s))))
