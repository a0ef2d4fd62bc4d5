//! A client of the control leader for entries and the command line.
