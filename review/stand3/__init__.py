"""Small stand-ins for the cases of the third review; standard library only."""
