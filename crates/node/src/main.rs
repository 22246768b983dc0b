//! Entry point of the `drumshore` binary.

fn main() -> std::process::ExitCode {
    drumshore_node::main(std::env::args_os().skip(1).collect())
}
