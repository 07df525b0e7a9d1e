//! Decisions under load, without clock, network or randomness of their own.
