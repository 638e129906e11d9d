//! Runs a small deployment on loopback, sends requests and checks the answers.
//!
//! The child processes are the stand-ins (this program with a hidden argument) and
//! three `skylarkshore` processes. The exit code is 0 only if every answer was right.

mod deployment;
mod platform;
mod steps;

use std::process::ExitCode;

use deployment::Deployment;

fn main() -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(err) => return failed(&format!("can't start: {err}")),
    };
    if std::env::args().nth(1).as_deref() == Some(platform::HIDDEN_ARGUMENT) {
        return match runtime.block_on(platform::run()) {
            Ok(()) => ExitCode::SUCCESS,
            Err(err) => failed(&format!("the stand-ins failed: {err}")),
        };
    }
    runtime.block_on(async {
        tokio::select! {
            code = run_quickstart() => code,
            _ = tokio::signal::ctrl_c() => failed("interrupted; all processes were stopped"),
        }
    })
}

fn failed(reason: &str) -> ExitCode {
    eprintln!("quickstart: {reason}");
    ExitCode::FAILURE
}

/// Runs the whole quick start; dropping the future ends every child process.
async fn run_quickstart() -> ExitCode {
    let mut deployment = match Deployment::start().await {
        Ok(deployment) => deployment,
        Err(err) => return failed(&err.to_string()),
    };
    let all_right = steps::run(&deployment).await;
    let stopped = deployment.stop().await;
    match stopped {
        Ok(()) if all_right => {
            println!("\nall answers were right");
            ExitCode::SUCCESS
        }
        Ok(()) => failed("some answers were wrong, see above"),
        Err(err) => failed(&err.to_string()),
    }
}
