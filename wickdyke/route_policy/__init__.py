"""Route policies: matching, validation, worst-case timing and changes at run time. Does no I/O, reads no clock."""
