"""A worker runtime: packages loaded on demand into processes, honest memory, and cold starts that hold."""
