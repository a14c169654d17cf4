; A load takes as long as an attempt: first attempts end just as replicas are ready. Idle replicas end early.
(script "load as long as attempt"
  (seed 1) (length 12 s) (gateways 2) (workers 6) (rate 90) (idle-life 1500 ms)
  (method "suggest-tags" (effect idempotent) (soft-deadline 900 ms) (deadline 4 s) (work 40 ms) (load 700 ms)
    (programs 60))
  (method "seal-alert" (effect side-effecting) (soft-deadline 1 s) (deadline 4 s) (part 0.3) (work 40 ms) (load 700 ms)
    (programs 20))
  (route "tags" (takes (method "suggest-tags")) (attempt 700 ms) (attempts 3) (again full miss unreached unsent timeout cut)
    (queue 400 ms))
  (route "seal" (takes (method "seal-alert")) (attempt 740 ms) (attempts 3) (queue 300 ms))
  (at 3 s (stall (for 1500 ms)))
  (at 6 s (release)))
