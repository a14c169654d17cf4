; A wickdyke worker. Paths are relative to this file. docs/worker.md explains each field.
(worker
  (name "w1")
  (listen "run/w1.sock")
  (store (folder "run/store"))
  (cache (folder "run/cache") (most 1 GB))
  (memory 4 GB)
  (calls-at-once 16) (loads-at-once 4) (queue 200)
  (idle-life 30 s) (run-time 60 s) (stop-within 1 s)
  (ramp (start-share 0.25) (ramp 8 s)))
