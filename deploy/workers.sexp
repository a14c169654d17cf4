; The endpoint file. Replace it atomically (write beside it, then rename). A worker that is not in it is
; gone. `start` is the worker's incarnation; 0, or nothing, if unknown.
(workers
  (worker "w1" (address "run/w1.sock") (zone "dc") (kind "full") (cell 0) (cores 3) (state ready))
  (worker "w2" (address "run/w2.sock") (zone "dc") (kind "slow") (cell 0) (cores 2) (state draining)))
