//! Raw configuration as operators write it, and its checking.
