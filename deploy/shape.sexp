; What is different at a deployment of another build, for `wickdyke move` (docs/migration.md): fields as in a gateway's
; file. Those of a form that is there already are changed one by one; zones, kinds and tenants are replaced whole.
(shape
  (zone "east") (zone "west") (at "east")
  (kind "plain" (memory 16 GB))
  (tenant "shops" (quota 400))                  ; RPCs a second of all gateways within its share
  (tenant "depots" (quota 150))
  (report held loads pinned)                    ; what the workers' reports tell; where busy is missing, held stands in
  (call-outs (most 5) (retry-after 1 s) (idle-close 20 s))
  (stock (loads-on-call no) (tells-company no)) ; a worker without a copy answers miss, and only a hold loads
  (ration (free 4) (share 0.15) (window 5 s))
  (drain-grace 1500 ms)
  (tariff (crossing 0.05) (fetch 0.1)))         ; where crossing costs, each zone is placed for itself
