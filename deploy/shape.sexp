; What is different at a deployment of another build, for `wickdyke move` (docs/migration.md): fields as in a gateway's
; file. Those of a form that is there already are changed one by one; zones, kinds and tenants are replaced whole.
(shape
  (zone "hall-a") (zone "hall-b") (zone "hall-c") (at "hall-a")
  (kind "std-5core" (memory 16 GB))
  (tenant "kingston-stores" (quota 635))        ; RPCs a second of all gateways within its share
  (tenant "montego-stores" (quota 261))
  (report held loads pinned)                    ; what the workers' reports tell; where busy is missing, held stands in
  (call-outs (most 6) (retry-after 1 s) (idle-close 30 s))
  (stock (loads-on-call no) (tells-company no)) ; a worker without a copy answers miss, and only a hold loads
  (ration (free 3) (share 0.2) (window 5 s))
  (drain-grace 2 s)
  (tariff (crossing 0.052) (fetch 0.1)))        ; where crossing costs, each zone is placed for itself
