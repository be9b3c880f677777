//! Members of database groups.
