; A package: `wickdyke pack deploy/packages/greet --into store` makes the archive NAME@VERSION.zip of it.
(package "greet"
  (version "1.0") (entry "main:run") (memory 32 MB) (lanes 2) (run-time 5 s)
  (environment (set "GREETING" "Hello")))
