; A store that workers fetch packages from. Paths are relative to this file.
(store
  (listen "run/store.sock")
  (folder "run/store")      ; archives, as `wickdyke pack` writes them
  (pace 100 MB)             ; bandwidth in bytes per second, shared by all readers
  (readers 64))             ; more are rejected, and their loads fail temporarily
