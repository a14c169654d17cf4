; Settings that differ at another deployment, for `wickdyke move` (docs/migration.md): fields as in a gateway's
; file. Fields of an existing section are changed one by one; zones, kinds and tenants are replaced as a whole.
(shape
  (zone "east") (zone "west") (at "east")
  (kind "plain" (memory 16 GB))
  (tenant "shops" (quota 400))                  ; quota in requests per second, over all gateways
  (tenant "depots" (quota 150))
  (report held loads pinned)                    ; fields of load reports; held is used where busy is missing
  (call-outs (most 5) (retry-after 1 s) (idle-close 20 s))
  (stock (loads-on-call no) (tells-company no)) ; a worker without a replica answers miss; only prewarms load functions
  (ration (free 4) (share 0.15) (window 5 s))
  (drain-grace 1500 ms)
  (tariff (crossing 0.05) (fetch 0.1)))         ; with a cost of crossing, functions are placed per zone
