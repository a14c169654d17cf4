; For `wickdyke up`: two gateways and four workers to experiment with.
(script "small"
  (length 1 s) (gateways 2) (workers 4)
  (method "suggest-tags" (effect idempotent) (soft-deadline 750 ms) (deadline 4 s) (work 50 ms))
  (method "seal-alert" (effect side-effecting) (soft-deadline 1500 ms) (deadline 6 s) (gain 5) (work 50 ms)))
