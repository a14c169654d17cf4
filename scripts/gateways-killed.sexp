; Gateways are killed and restarted while workers die and traffic rises.
(script "gateways killed"
  (seed 1) (length 14 s) (gateways 3) (workers 8) (rate 150)
  (warmup (start-share 0.2) (ramp 6 s) (multiple 2) (window 1500 ms))
  (ration (free 6) (share 0.3) (window 5 s))
  (method "suggest-tags" (effect idempotent) (soft-deadline 750 ms) (deadline 4 s) (work 50 ms))
  (method "seal-alert" (effect side-effecting) (soft-deadline 1500 ms) (deadline 4 s) (gain 5) (part 0.2) (work 60 ms)
    (programs 6))
  (at 2 s (kill-gateway "g1" (back 1 s)))
  (at 4 s (die "w1" "w2" "w3" (back 1 s)))
  (at 5 s (kill-gateway "g2" "g3" (back 1 s)))
  (at 8 s (burst (factor 2) (for 3 s)))
  (at 9 s (kill-gateway "g1" (back 500 ms))))
