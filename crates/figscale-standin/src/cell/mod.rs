//! A whole cell in one process, for a newcomer.
