; One and a half times the load that the workers can serve, with a retry budget.
(script "retries in overload"
  (seed 1) (length 20 s) (gateways 2) (workers 4) (cores 2) (rate 90)
  (method "suggest-tags" (effect idempotent) (soft-deadline 750 ms) (deadline 4 s) (work 60 ms) (programs 10))
  (route "tags" (attempt 800 ms) (attempts 3) (again full miss unreached unsent timeout cut error)
    (budget (window 5 s) (share 0.1) (floor 3)))
  (at 4 s (burst (factor 2.2) (for 8 s)))
  (at 6 s (fail "w1" (share 0.5) (for 3 s))))
