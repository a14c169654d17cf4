; Ten wickdyke workers are replaced one after another under load, and replicas are killed meanwhile.
(script "real workers, replacement"
  (seed 1) (length 26 s) (gateways 4) (workers 10) (cores 4) (rate 120) (memory 1 GB) (idle-life 6 s) (runtime yes)
  (method "suggest-tags" (effect idempotent) (soft-deadline 900 ms) (deadline 4 s) (work 40 ms) (memory 40 MB)
    (load 300 ms) (programs 40))
  (method "seal-alert" (effect side-effecting) (soft-deadline 1 s) (deadline 4 s) (part 0.2) (work 40 ms) (memory 40 MB)
    (load 300 ms) (programs 8))
  (at 3 s (deploy "w1" "w2" "w3" "w4" "w5" "w6" "w7" "w8" "w9" "w10" (each 2 s)))
  (at 5 s (kill-copy "w8")) (at 7 s (kill-copy "w9")) (at 9 s (kill-copy "w10")) (at 15 s (kill-copy "w1" "w2")))
