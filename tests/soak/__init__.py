"""A rig of real front ends over loopback, in which discovery fails, workers drain and front ends restart."""
