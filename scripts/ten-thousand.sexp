; Ten thousand requests, one attempt at a time: a worker dies during one, and one is answered too late.
(script "ten thousand"
  (seed 1) (length 40 s) (most 10000) (gateways 2) (workers 12) (rate 440) (connections 4)
  (method "suggest-tags" (effect idempotent) (soft-deadline 750 ms) (deadline 4 s) (work 40 ms))
  (on (call-out "w1" 300) (die "w1"))
  (on (call-out "w2" 200) (late "w2" (past 5 ms)))
  (on (call-out "w3" 200) (hang "w3" (for 5 s))))
