"""A randomized fault soak of ``greengage-host`` on the operators' platform protocol."""
