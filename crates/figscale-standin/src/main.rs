//! The `figscale-standin` program: runs each stand-in in its own process.
//!
//! Every stand-in prints `listening on ADDRESS` as soon as it listens, and runs
//! until Ctrl-C or a termination signal.

use std::net;
use std::path;
use std::process;
use std::time;

use eyre::WrapErr as _;
use figscale::settings::document;
use figscale_standin::cell;
use figscale_standin::experiment;
use figscale_standin::load;
use figscale_standin::platform;
use figscale_standin::proxy;
use figscale_standin::runner;
use figscale_standin::worker;
use figscale_types::ids;
use figscale_types::instances;
use figscale_types::sizes;
use tokio::signal;

/// Stand-ins for everything around figscale, and tools to test it.
#[derive(argh::FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Command {
    Platform(Platform),
    Runner(Runner),
    Worker(Worker),
    Proxy(Proxy),
    Load(Load),
    Cell(Cell),
    Experiment(Experiment),
}

/// Runs the key-value service and the instance list.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "platform")]
struct Platform {
    /// address to listen on
    #[argh(option, default = "any_port()")]
    listen: net::SocketAddr,
    /// file with the lines of the instance list, JSON with comments
    #[argh(option)]
    instances: Option<path::PathBuf>,
    /// lag of the list in ms (default 1000)
    #[argh(option, default = "1_000")]
    lag_ms: u64,
    /// rate limit of writes per second (default 300)
    #[argh(option, default = "300.0")]
    writes_per_s: f64,
    /// rate limit of reads per second (default 2000)
    #[argh(option, default = "2_000.0")]
    reads_per_s: f64,
}

/// Runs an upstream of a service.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "runner")]
struct Runner {
    /// address to listen on
    #[argh(option, default = "any_port()")]
    listen: net::SocketAddr,
    /// its instance id
    #[argh(option)]
    id: ids::InstanceId,
    /// number of requests run concurrently (default 8)
    #[argh(option, default = "8")]
    slots: u32,
    /// number of concurrent connections allowed (default 60)
    #[argh(option, default = "60")]
    connections: u32,
    /// mean run time in ms of a request that does not specify one (default 20)
    #[argh(option, default = "20")]
    run_ms: u64,
    /// draw run times exponentially distributed around the mean
    #[argh(switch)]
    exponential: bool,
    /// seed of the run times (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

/// Runs a worker.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "worker")]
struct Worker {
    /// address to listen on
    #[argh(option, default = "any_port()")]
    listen: net::SocketAddr,
    /// its instance id
    #[argh(option)]
    id: ids::InstanceId,
    /// number of cores (default 64)
    #[argh(option, default = "64")]
    cores: u64,
    /// memory in MiB (default 131072)
    #[argh(option, default = "131_072")]
    memory_mib: u64,
    /// number of accelerators (default 0)
    #[argh(option, default = "0")]
    accelerators: u32,
    /// lag of the usage in its reports in ms (default 500)
    #[argh(option, default = "500")]
    usage_lag_ms: u64,
}

/// Runs a fault-injecting TCP proxy.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "proxy")]
struct Proxy {
    /// address to listen on
    #[argh(option, default = "any_port()")]
    listen: net::SocketAddr,
    /// address to connect to
    #[argh(option)]
    target: net::SocketAddr,
    /// address for control calls
    #[argh(option)]
    control: Option<net::SocketAddr>,
}

/// Makes open-loop load and verifies every response.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "load")]
struct Load {
    /// address of an entry instance, optionally with its share: 127.0.0.1:1234=2.5
    #[argh(option, from_str_fn(target))]
    entry: Vec<load::Target>,
    /// mix of requests: fraser-reach or firth-shore (default fraser-reach)
    #[argh(option, default = "cell::User::FraserReach")]
    user: cell::User,
    /// file with a custom mix, JSON with comments
    #[argh(option)]
    mix: Option<path::PathBuf>,
    /// arrivals per second (default 100)
    #[argh(option, default = "100.0")]
    rate_per_s: f64,
    /// period in seconds in which requests arrive (default 10)
    #[argh(option, default = "10.0")]
    seconds: f64,
    /// time limit of one request in ms (default 60000)
    #[argh(option, default = "60_000")]
    patience_ms: u64,
    /// seed of the arrivals (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Runs a complete cell in one process and prints its progress.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "cell")]
struct Cell {
    /// user whose cell is run: fraser-reach or firth-shore (default fraser-reach)
    #[argh(option, default = "cell::User::FraserReach")]
    user: cell::User,
    /// today's sizes: 50 runners, 50 workers, 8 entry instances, 4 failure domains
    #[argh(switch)]
    full: bool,
    /// exit after the scenario, with exit code 0 if no guarantee was violated
    #[argh(switch)]
    once: bool,
    /// duration in seconds of the load in the scenario (default 5)
    #[argh(option, default = "5.0")]
    seconds: f64,
    /// seed of the load (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

/// Runs a measured scenario by name, or lists them.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "experiment")]
struct Experiment {
    /// name of the scenario; without it the scenarios are listed
    #[argh(positional)]
    name: Option<String>,
    /// seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// measure at small sizes only; available for `capacity`
    #[argh(switch)]
    quick: bool,
}

fn any_port() -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0))
}

fn target(text: &str) -> Result<load::Target, String> {
    let (address, weight) = text.split_once('=').unwrap_or((text, "1"));
    let invalid = |_| format!("{text}: expected ADDRESS or ADDRESS=SHARE");
    Ok(load::Target {
        address: address
            .parse()
            .map_err(|error: net::AddrParseError| invalid(error.to_string()))?,
        weight: weight
            .parse()
            .map_err(|error: std::num::ParseFloatError| invalid(error.to_string()))?,
    })
}

fn main() -> process::ExitCode {
    let arguments: Arguments = argh::from_env();
    match start(arguments.command) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("figscale-standin: {error:#}");
            process::ExitCode::FAILURE
        }
    }
}

fn start(command: Command) -> eyre::Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        match command {
            Command::Platform(arguments) => run_platform(arguments).await,
            Command::Runner(arguments) => run_runner(arguments).await,
            Command::Worker(arguments) => run_worker(arguments).await,
            Command::Proxy(arguments) => run_proxy(arguments).await,
            Command::Load(arguments) => run_load(arguments).await,
            Command::Cell(arguments) => run_cell(arguments).await,
            Command::Experiment(arguments) => run_experiment(arguments).await,
        }
    })
}

/// Prints the address of a stand-in and waits for Ctrl-C or a termination signal.
async fn serve(address: net::SocketAddr) -> eyre::Result<()> {
    // Installed before the line is printed: its reader may send a signal at once.
    let mut terminate = signal::unix::signal(signal::unix::SignalKind::terminate())?;
    println!("listening on {address}");
    tokio::select! {
        interrupted = signal::ctrl_c() => interrupted?,
        _ = terminate.recv() => {}
    }
    Ok(())
}

async fn run_platform(arguments: Platform) -> eyre::Result<()> {
    let instances: Vec<instances::Instance> = match &arguments.instances {
        Some(file) => document::Document::read(file)?.parse()?,
        None => Vec::new(),
    };
    let platform = platform::start(platform::Config {
        listen: arguments.listen,
        writes_per_s: arguments.writes_per_s,
        reads_per_s: arguments.reads_per_s,
        instance_lag: time::Duration::from_millis(arguments.lag_ms),
        instances,
        ..platform::Config::default()
    })
    .await?;
    serve(platform.address()).await
}

async fn run_runner(arguments: Runner) -> eyre::Result<()> {
    let mean = time::Duration::from_millis(arguments.run_ms);
    let run_time = if arguments.exponential {
        runner::RunTime::Exponential(mean)
    } else {
        runner::RunTime::Fixed(mean)
    };
    let runner = runner::start(runner::Config {
        listen: arguments.listen,
        id: arguments.id,
        slots: arguments.slots,
        connections: arguments.connections,
        run_time,
        seed: arguments.seed,
        ..runner::Config::default()
    })
    .await?;
    serve(runner.address()).await
}

async fn run_worker(arguments: Worker) -> eyre::Result<()> {
    let worker = worker::start(worker::Config {
        listen: arguments.listen,
        id: arguments.id,
        capacity: sizes::Resources {
            cpu_millis: sizes::CpuMillis(arguments.cores * 1_000),
            memory_bytes: sizes::Bytes(arguments.memory_mib * sizes::MIB),
            accelerators: arguments.accelerators,
        },
        usage_lag: time::Duration::from_millis(arguments.usage_lag_ms),
        ..worker::Config::default()
    })
    .await?;
    serve(worker.address()).await
}

async fn run_proxy(arguments: Proxy) -> eyre::Result<()> {
    let proxy = proxy::start(proxy::Config {
        listen: arguments.listen,
        target: arguments.target,
        control: arguments.control,
    })
    .await?;
    serve(proxy.address()).await
}

async fn run_load(arguments: Load) -> eyre::Result<()> {
    eyre::ensure!(!arguments.entry.is_empty(), "--entry is missing");
    eyre::ensure!(
        arguments.rate_per_s > 0.0,
        "--rate-per-s: expected more than 0"
    );
    let classes = match &arguments.mix {
        Some(file) => document::Document::read(file)?.parse()?,
        None => arguments.user.classes()?,
    };
    let duration = time::Duration::try_from_secs_f64(arguments.seconds).wrap_err("--seconds")?;
    let report = load::run(&load::Config {
        targets: arguments.entry,
        classes,
        rate_per_s: arguments.rate_per_s,
        duration,
        response_timeout: time::Duration::from_millis(arguments.patience_ms),
        seed: arguments.seed,
    })
    .await;
    if arguments.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        print!("{report}");
    }
    eyre::ensure!(report.all.wrong == 0, "{} wrong answers", report.all.wrong);
    Ok(())
}

async fn run_cell(arguments: Cell) -> eyre::Result<()> {
    let size = if arguments.full {
        cell::Size::FULL
    } else {
        cell::Size::SMALL
    };
    let load = time::Duration::try_from_secs_f64(arguments.seconds).wrap_err("--seconds")?;
    cell::run(cell::Options {
        user: arguments.user,
        size,
        once: arguments.once,
        load,
        seed: arguments.seed,
    })
    .await
}

async fn run_experiment(arguments: Experiment) -> eyre::Result<()> {
    let Some(name) = arguments.name else {
        for scenario in experiment::SCENARIOS {
            println!("{:<24} {}", scenario.name, scenario.help);
        }
        return Ok(());
    };
    let name = if arguments.quick {
        format!("{name}-quick")
    } else {
        name
    };
    for line in experiment::run(&name, arguments.seed).await? {
        println!("{line}");
    }
    Ok(())
}
