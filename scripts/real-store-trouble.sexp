; The store of wickdyke workers stalls, then is down, then stalls again while restarted workers load anew.
(script "real workers, store in trouble"
  (seed 1) (length 20 s) (gateways 2) (workers 5) (cores 4) (rate 80) (memory 300 MB) (idle-life 1500 ms) (runtime yes)
  (method "suggest-tags" (effect idempotent) (soft-deadline 900 ms) (deadline 4 s) (work 30 ms) (memory 40 MB)
    (load 100 ms) (programs 60))
  (method "seal-alert" (effect side-effecting) (soft-deadline 1 s) (deadline 4 s) (part 0.2) (work 30 ms) (memory 40 MB)
    (load 100 ms) (programs 10))
  (at 3 s (stall (for 2 s)))
  (at 8 s (store-down (back 2 s)))
  (at 13 s (die "w1" "w2" "w3" (back 300 ms)))
  (at 13 s (stall (for 2 s))))
