"""The worker: loads packages on demand into replica processes, runs requests there, and measures their memory."""
