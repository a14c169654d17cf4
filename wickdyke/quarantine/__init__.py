"""What is not tried for a while: programs that do not load, calls that end copies. Events in, answers out."""
