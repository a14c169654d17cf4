; The workers. Whoever writes this file replaces it whole (write beside it, then rename). A worker that is not in it is
; gone. `start` may hold the worker's own number of its present start; 0, or nothing, if the writer does not know it.
(workers
  (worker "w1" (address "run/w1.sock") (zone "dc") (kind "full") (cell 0) (cores 3) (state ready))
  (worker "w2" (address "run/w2.sock") (zone "dc") (kind "slow") (cell 0) (cores 2) (state draining)))
