"""Front ends as processes whose system answers one kind of call oddly: refused, short, empty, implausible."""
