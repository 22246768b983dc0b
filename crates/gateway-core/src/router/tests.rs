//! Tests of the router.
