//! The binary `drumshore-lab`.

fn main() -> std::process::ExitCode {
    drumshore_testbed::main(std::env::args_os().skip(1).collect())
}
