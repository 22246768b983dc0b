//! Structured logs on standard error.

use tracing_subscriber::EnvFilter;

/// Environment variable that filters the log, for example `debug` or `drumshore_router=debug,info`.
const FILTER_VARIABLE: &str = "DRUMSHORE_LOG";

/// Installs the log subscriber. Later calls in the same process have no effect.
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
