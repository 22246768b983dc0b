//! Structured logs on standard error.

use tracing_subscriber::EnvFilter;

/// Variable that selects what is logged, as in `debug` or `drumshore_router=debug,info`.
const FILTER_VARIABLE: &str = "DRUMSHORE_LOG";

/// Starts logging; once per process, later calls change nothing.
pub(crate) fn start() {
    let filter =
        EnvFilter::try_from_env(FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new("info"));
    let _ = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_target(false)
        .with_ansi(false)
        .try_init();
}
