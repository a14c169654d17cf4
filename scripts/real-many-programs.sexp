; Two hundred functions on wickdyke workers that have memory for forty replicas in all.
(script "real workers, many programs"
  (seed 1) (length 20 s) (gateways 4) (workers 10) (cores 4) (rate 100) (memory 170 MB) (idle-life 6 s) (runtime yes)
  (method "suggest-tags" (effect idempotent) (soft-deadline 900 ms) (deadline 4 s) (work 30 ms) (memory 40 MB)
    (load 100 ms) (programs 180))
  (method "seal-alert" (effect side-effecting) (soft-deadline 1 s) (deadline 4 s) (part 0.2) (work 30 ms) (memory 40 MB)
    (load 100 ms) (programs 20))
  (at 6 s (burst (factor 1.5) (for 4 s)))
  (at 12 s (kill-copy "w1" "w2" "w3" "w4")))
