; The endpoint file. Replace it atomically (write a new file, then rename it). A worker that is not listed counts as
; gone. `start` is the worker's incarnation number; 0 or left out if unknown.
(workers
  (worker "w1" (address "run/w1.sock") (zone "dc") (kind "full") (cell 0) (cores 3) (state ready))
  (worker "w2" (address "run/w2.sock") (zone "dc") (kind "slow") (cell 0) (cores 2) (state draining)))
