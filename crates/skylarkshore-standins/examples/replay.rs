//! Replays a recorded trace under several policies and compares the outcomes.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use getopts::{Matches, Options};
use skylarkshore_standins::replay::{
    Deployment, Expectations, InvariantViolated, Outcome, Policy, Profile, Trace, generate, plot, replay,
    table,
};

const MAX_CONCURRENT_REPLAYS: usize = 4;

type Failure = Box<dyn std::error::Error + Send + Sync>;

fn options() -> Options {
    let mut options = Options::new();
    options.optmulti("p", "policy", "a policy to replay beside the baselines (default: rules)", "NAME");
    options.optopt(
        "o",
        "plot",
        "the SVG file to write (default: beside the trace, in the current folder)",
        "FILE",
    );
    options.optflag("", "no-baselines", "replay the named policies alone");
    options.optopt("g", "generate", "write a new trace for lagerraum or huon to TRACE", "WORKLOAD");
    options.optopt("s", "seed", "the seed of the new trace (default: 1)", "NUMBER");
    options.optflag("h", "help", "print this text");
    options
}

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(err) => {
            eprintln!("replay: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<ExitCode, Failure> {
    let matches = options().parse(std::env::args().skip(1))?;
    let usage = "usage: replay TRACE [options]";
    if matches.opt_present("help") {
        println!("{}", options().usage(usage));
        return Ok(ExitCode::SUCCESS);
    }
    let [file] = &*matches.free else { return Err(format!("name one trace; {usage}").into()) };
    let file = Path::new(file);
    match matches.opt_str("generate") {
        Some(profile) => write_trace(file, profile.parse()?, &matches),
        None => compare(file, &matches),
    }
}

/// Writes a generated trace for the workload's deployment file in the same folder.
fn write_trace(file: &Path, profile: Profile, matches: &Matches) -> Result<ExitCode, Failure> {
    let seed = matches.opt_str("seed").map_or(Ok(1), |seed| seed.parse())?;
    let name = format!("{profile}.json");
    let deployment = read_deployment(&file.with_file_name(&name))?;
    let trace = generate(profile, &name, &deployment, seed);
    std::fs::write(file, trace.to_text())?;
    println!("{} requests written to {}", trace.entries.len(), file.display());
    Ok(ExitCode::SUCCESS)
}

fn compare(file: &Path, matches: &Matches) -> Result<ExitCode, Failure> {
    let policies = policies(matches)?;
    let trace = Trace::parse(&read(file)?).map_err(|err| format!("{}: {err}", file.display()))?;
    let deployment = read_deployment(&file.with_file_name(&trace.deployment))?;
    trace.check(&deployment).map_err(|err| format!("{}: {err}", file.display()))?;
    let expectations = read_expectations(&file.with_extension("outcomes"))?;
    let outcomes = replay_all(&trace, &deployment, &policies)?;
    print!("{}", table(&outcomes));
    let name = file.file_stem().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
    let svg = matches.opt_str("plot").map_or_else(|| PathBuf::from(format!("{name}.svg")), PathBuf::from);
    plot(&svg, &format!("{name}: {} requests", trace.entries.len()), &outcomes)?;
    println!("plot written to {}", svg.display());
    Ok(report(&expectations, &outcomes))
}

/// Prints the expectations that the outcome under the deployment's own rules doesn't meet.
fn report(expectations: &Expectations, outcomes: &[Outcome]) -> ExitCode {
    let Some(own) = outcomes.iter().find(|outcome| outcome.policy == Policy::Rules) else {
        return ExitCode::SUCCESS;
    };
    let unmet = expectations.unmet(own);
    for line in &unmet {
        println!("not as expected: {line}");
    }
    if !unmet.is_empty() {
        return ExitCode::FAILURE;
    }
    println!("the outcome is as expected");
    ExitCode::SUCCESS
}

fn policies(matches: &Matches) -> Result<Vec<Policy>, Failure> {
    let mut policies = Vec::new();
    for name in matches.opt_strs("policy") {
        policies.push(name.parse()?);
    }
    if policies.is_empty() {
        policies.push(Policy::Rules);
    }
    if !matches.opt_present("no-baselines") {
        policies.extend(Policy::BASELINES);
    }
    Ok(policies)
}

fn replay_all(
    trace: &Trace,
    deployment: &Deployment,
    policies: &[Policy],
) -> Result<Vec<Outcome>, InvariantViolated> {
    let next = AtomicUsize::new(0);
    let done: Mutex<Vec<(usize, Result<Outcome, InvariantViolated>)>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..MAX_CONCURRENT_REPLAYS {
            scope.spawn(|| {
                loop {
                    let i = next.fetch_add(1, Ordering::Relaxed);
                    let Some(policy) = policies.get(i) else { return };
                    eprintln!("replaying under {policy}");
                    let outcome = replay(trace, deployment, *policy);
                    done.lock().expect("no replay panics while it holds the lock").push((i, outcome));
                }
            });
        }
    });
    let mut done = done.into_inner().expect("no replay panics while it holds the lock");
    done.sort_by_key(|(i, _)| *i);
    done.into_iter().map(|(_, outcome)| outcome).collect()
}

fn read(file: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(file)
        .map_err(|err| format!("{}: {err}; name a readable file", file.display()).into())
}

fn read_deployment(file: &Path) -> Result<Deployment, Failure> {
    Deployment::parse(&read(file)?).map_err(|err| format!("{}: {err}", file.display()).into())
}

/// Reads the expected outcomes; a trace without such a file has none.
fn read_expectations(file: &Path) -> Result<Expectations, Failure> {
    if !file.exists() {
        return Ok(Expectations::default());
    }
    Expectations::parse(&read(file)?).map_err(|err| format!("{}: {err}", file.display()).into())
}
