; Ten wickdyke workers: all are killed at once, later three while three others are cold. Loads and work sleep.
(script "real workers, mass restart"
  (seed 1) (length 26 s) (gateways 4) (workers 10) (cores 4) (rate 120) (memory 1 GB) (idle-life 6 s) (runtime yes)
  (method "suggest-tags" (effect idempotent) (soft-deadline 900 ms) (deadline 4 s) (work 40 ms) (memory 40 MB)
    (load 300 ms) (programs 40))
  (method "seal-alert" (effect side-effecting) (soft-deadline 1 s) (deadline 4 s) (part 0.2) (work 40 ms) (memory 40 MB)
    (load 300 ms) (programs 8))
  (at 6 s (die "w1" "w2" "w3" "w4" "w5" "w6" "w7" "w8" "w9" "w10" (back 1 s)))
  (at 16 s (die "w1" "w2" "w3" (back 500 ms)))
  (at 18 s (die "w4" "w5" "w6" (back 500 ms))))
