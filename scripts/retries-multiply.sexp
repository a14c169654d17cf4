; One and a half times the load that the workers can serve, for 20 s. Timeouts cancel nothing: workers finish what was
; given up. Without the retry budget, further attempts keep the workers busy with answers that nobody waits for.
(script "retries multiply"
  (seed 1) (length 40 s) (gateways 2) (workers 4) (cores 2) (rate 93) (overlap yes) (cancel no) (call-outs 6)
  (method "suggest-tags" (effect idempotent) (soft-deadline 2 s) (deadline 5 s) (work 60 ms) (programs 10))
  (route "tags" (attempt 500 ms) (attempts 4) (again full miss unreached unsent timeout cut error)
    (budget (window 5 s) (share 0.05) (floor 2)))
  (at 8 s (burst (factor 2.15) (for 20 s))))
