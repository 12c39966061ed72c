//! The laboratory's command line.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use magpiemoor_lab::gateway::crashes;
use magpiemoor_lab::gateway::limits;
use magpiemoor_lab::gateway::rollout::{self, Case, Fault, Report, Traffic};
use magpiemoor_lab::gateway::spread::{Plan, spread};
use magpiemoor_lab::gateway::stops;
use magpiemoor_lab::gateway::versions;
use magpiemoor_lab::keyed::engine::{self, Engine};
use magpiemoor_lab::keyed::platform::Platform;
use magpiemoor_lab::keyed::service::Service;
use magpiemoor_lab::keyed::{demo, measure};
use magpiemoor_lab::{gateway, r#gen, journal};
use serde_json::json;
use tokio::net::TcpListener;

fn command() -> Command {
    let listen = || {
        Arg::new("listen")
            .long("listen")
            .value_name("IP:PORT")
            .required(true)
            .help("Where to listen")
    };
    let behaviour = || {
        Arg::new("behaviour")
            .long("behaviour")
            .value_name("JSON")
            .default_value("{}")
            .help("How it behaves")
    };
    Command::new("magpiemoor-lab")
        .about("Stand-ins, demonstration and measurements for magpiemoor; never shipped")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("demo")
                .about("Kill an engine and an entry box in the middle of an answer, and check what comes of it")
                .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print the findings as JSON"))
                .arg(Arg::new("platform").long("platform").action(ArgAction::SetTrue).help("Show the whole path in the users' platform's protocol instead"))
                .arg(Arg::new("rollout").long("rollout").action(ArgAction::SetTrue).conflicts_with_all(["json", "platform"]).help("Show a bad and a good version being rolled out instead")),
        )
        .subcommand(
            Command::new("gateway")
                .about("A gateway box, as magpiemoor-platform runs it")
                .arg(Arg::new("settings").long("settings").required(true).value_parser(value_parser!(PathBuf)).help("Settings file")),
        )
        .subcommand(Command::new("platform").about("Stand-in for the platform").arg(listen()))
        .subcommand(Command::new("engine").about("Stand-in for a model engine").arg(listen()).arg(behaviour()))
        .subcommand(Command::new("service").about("Stand-in for a plain service").arg(listen()))
        .subcommand(
            Command::new("box")
                .about("An entry box, as magpiemoord runs it")
                .arg(Arg::new("settings").long("settings").required(true).value_parser(value_parser!(PathBuf)).help("Settings file")),
        )
        .subcommand(
            Command::new("soak")
                .about("Run real boxes before stand-ins under random faults and check the promises")
                .arg(Arg::new("seed").long("seed").value_name("N").default_value("1").value_parser(value_parser!(u64)).help("First seed"))
                .arg(Arg::new("seeds").long("seeds").value_name("N").default_value("1").value_parser(value_parser!(u64)).help("How many seeds, one after the other"))
                .arg(Arg::new("minutes").long("minutes").value_name("N").default_value("1").value_parser(value_parser!(f64)).help("How long each seed runs")),
        )
        .subcommand(
            Command::new("scores")
                .about("Print and draw the scores of a journal of the users' bench")
                .arg(Arg::new("journal").long("journal").value_name("FOLDER").default_value("journal").value_parser(value_parser!(PathBuf)).help("The journal"))
                .arg(Arg::new("out").long("out").value_name("FILE").default_value("docs/scores.svg").help("The picture")),
        )
        .subcommand(measure_command())
        .subcommand(spread_command())
        .subcommand(rollout_command())
        .subcommand(crashes::command::command())
        .subcommand(limits::command::command())
        .subcommand(stops::command::command())
        .subcommand(versions::command::command())
        .subcommand(versions::retries::command())
        .subcommand(Command::new("gen").about("Generate src/schema/generated.rs from schema/"))
}

fn rollout_command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("rollout")
        .about("Play orders of roll-outs on made-up time and judge what came of them")
        .arg(number("seed", "1", "Seed of the first order"))
        .arg(number("orders", "100", "How many orders"))
        .arg(number("boxes", "90", "Boxes, in three failure domains"))
        .arg(number("threads", "4", "Orders that are played at once"))
        .arg(
            Arg::new("fault")
                .long("fault")
                .value_name("NAME")
                .value_parser(PossibleValuesParser::new(Fault::all().map(Fault::name)))
                .help("The fault beside each order, in place of the one that its seed draws"),
        )
        .arg(
            Arg::new("traffic")
                .long("traffic")
                .value_name("NAME")
                .default_value("even")
                .value_parser(PossibleValuesParser::new(
                    Traffic::NAMED.map(|(name, _)| name),
                ))
                .help("What callers ask of the service"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the report as JSON"),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Draw exposure and time to the verdict as SVG"),
        )
}

fn measure_command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u32))
            .help(help)
    };
    Command::new("measure")
        .about(
            "Measure what the users' bench doesn't: pauses after kills, and shares under overload",
        )
        .arg(number("seed", "1", "Seed of everything random"))
        .arg(number(
            "rounds",
            "20",
            "Engines that are killed, one after the other",
        ))
        .arg(number("seconds", "10", "Seconds of overload"))
}

fn spread_command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(usize))
            .help(help)
    };
    Command::new("spread")
        .about("Measure how a configuration spreads over boxes with thin links")
        .arg(number("boxes", "29", "Boxes of each failure domain"))
        .arg(number("domains", "3", "Failure domains"))
        .arg(number("endpoints", "280", "Endpoints that are listed"))
        .arg(number(
            "replaced",
            "4",
            "Endpoints that are replaced each half second",
        ))
        .arg(number(
            "kilobytes",
            "1250",
            "Kilobytes that a box's link takes each second",
        ))
        .arg(number("seed", "1", "Seed of names and choices"))
        .arg(
            Arg::new("routes")
                .long("routes")
                .value_name("N,...")
                .default_value("100,1400,14000")
                .value_delimiter(',')
                .value_parser(value_parser!(usize))
                .help("Routes of each configuration, given one after the other"),
        )
}

fn run_spread(matches: &ArgMatches) -> Result<bool, String> {
    let number = |name: &str| matches.get_one::<usize>(name).copied().unwrap_or(1);
    let routes = matches.get_many::<usize>("routes").unwrap_or_default();
    let plan = Plan {
        boxes_per_domain: number("boxes"),
        domains: number("domains"),
        link_rate: number("kilobytes") as f64 * 1e3,
        routes: routes.copied().collect(),
        endpoints: number("endpoints"),
        replaced: number("replaced"),
        most_failures: 20,
        seed: number("seed") as u64,
    };
    let spreading = async { spread(&plan).await.map_err(|e| e.to_string()) };
    let spreads = block_on(spreading)?;
    println!("routes text_kb median_ms p90_ms last_ms missing fetched turned_away failed links_kb");
    for (routes, spread) in plan.routes.iter().zip(&spreads) {
        let at = |share: f64| {
            let place = (spread.in_force.len() as f64 * share) as usize;
            let last = spread.in_force.len().saturating_sub(1);
            let at = spread.in_force.get(place.min(last)).copied();
            at.unwrap_or_default().as_millis()
        };
        println!(
            "{routes} {} {} {} {} {} {} {} {} {}",
            spread.text_bytes / 1_000,
            at(0.5),
            at(0.9),
            at(1.0),
            spread.missing,
            spread.fetched,
            spread.turned_away,
            spread.failed,
            spread.link_bytes / 1_000,
        );
    }
    Ok(spreads.iter().all(|spread| spread.missing == 0))
}

fn run_measure(matches: &ArgMatches) -> Result<bool, String> {
    let number = |name: &str| matches.get_one::<u32>(name).copied().unwrap_or(1);
    let overload = Duration::from_secs(number("seconds").into());
    let figures = measure::run(number("seed").into(), number("rounds"), overload);
    println!("{:#}", block_on(figures)?);
    Ok(true)
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let done = match matches.subcommand() {
        Some(("demo", sub)) => run_demo(sub),
        Some(("measure", sub)) => run_measure(sub),
        Some(("spread", sub)) => run_spread(sub),
        Some(("rollout", sub)) => run_rollout(sub),
        Some(("crashes", sub)) => crashes::command::run(sub),
        Some(("limits", sub)) => Ok(limits::command::run(sub)),
        Some(("stops", sub)) => Ok(stops::command::run(sub)),
        Some(("versions", sub)) => Ok(versions::command::run(sub)),
        Some(("retries", sub)) => Ok(versions::retries::run(sub)),
        Some(("gen", _)) => write_generated(),
        Some(("box", sub)) => run_box(sub),
        Some(("scores", sub)) => run_scores(sub),
        Some(("soak", sub)) => run_soak(sub),
        Some(("gateway", sub)) => run_gateway(sub),
        Some((stand_in, sub)) => run_stand_in(stand_in, sub),
        None => Err("no command; see --help".to_owned()),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("magpiemoor-lab: {e}");
            ExitCode::FAILURE
        }
    }
}

fn block_on<T>(future: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?
        .block_on(future)
}

fn run_rollout(matches: &ArgMatches) -> Result<bool, String> {
    let number = |name: &str| *matches.get_one::<u64>(name).unwrap_or(&1);
    let boxes = number("boxes") as usize;
    let seeds = number("seed")..number("seed") + number("orders");
    let name = matches.get_one::<String>("fault");
    let fault = name.and_then(|name| Fault::all().find(|fault| fault.name() == name));
    let wanted = matches.get_one::<String>("traffic");
    let named = Traffic::NAMED
        .into_iter()
        .find(|(name, _)| wanted.is_some_and(|wanted| wanted == name));
    let traffic = named.map_or(Traffic::EVEN, |(_, traffic)| traffic);
    let cases = seeds.map(|seed| {
        let drawn = Case::draw(seed, boxes);
        Case {
            fault: fault.unwrap_or(drawn.fault),
            traffic,
            ..drawn
        }
    });
    let cases: Vec<Case> = cases.collect();
    let outcomes = rollout::play_all(&cases, number("threads") as usize);
    let report = Report::new(&outcomes);
    if matches.get_flag("json") {
        println!("{}", json!(report));
    } else {
        print!("{}", report.text());
    }
    if let Some(out) = matches.get_one::<PathBuf>("out") {
        rollout::picture::draw(&outcomes, out)?;
    }
    Ok(!outcomes.iter().any(rollout::Outcome::is_broken))
}

fn run_scores(matches: &ArgMatches) -> Result<bool, String> {
    let folder = matches
        .get_one::<PathBuf>("journal")
        .ok_or("no journal; name its folder")?;
    let out = matches
        .get_one::<String>("out")
        .ok_or("no picture; name its file")?;
    journal::report(folder, out)?;
    Ok(true)
}

fn run_soak(matches: &ArgMatches) -> Result<bool, String> {
    let first = *matches.get_one::<u64>("seed").unwrap_or(&1);
    let seeds = *matches.get_one::<u64>("seeds").unwrap_or(&1);
    let minutes = *matches.get_one::<f64>("minutes").unwrap_or(&1.0);
    let length = Duration::try_from_secs_f64(minutes * 60.0).map_err(|e| e.to_string())?;
    let launcher = gateway::fleet::Launcher::this_program().map_err(|e| e.to_string())?;
    let mut held = true;
    for seed in first..first + seeds {
        let findings = block_on(gateway::soak::run(launcher.clone(), seed, length))?;
        println!(
            "seed {seed}: {} faults, {:?}",
            findings.faults.len(),
            findings.ends
        );
        for broken in &findings.broken {
            println!("  BROKEN {broken}");
        }
        if !findings.broken.is_empty() {
            println!("  faults: {}", findings.faults.join("; "));
            held = false;
        }
    }
    Ok(held)
}

fn run_gateway(matches: &ArgMatches) -> Result<bool, String> {
    let path = settings_path(matches)?;
    let program = "magpiemoor-platform".into();
    let code = magpiemoor_platform::command::run([program, "--settings".into(), path]);
    Ok(code == ExitCode::SUCCESS)
}

fn run_demo(matches: &ArgMatches) -> Result<bool, String> {
    if matches.get_flag("platform") {
        return block_on(gateway::demo::run());
    }
    if matches.get_flag("rollout") {
        return block_on(gateway::demo::rollout::run());
    }
    let as_json = matches.get_flag("json");
    let outcome = block_on(demo::run(as_json))?;
    if as_json {
        println!("{}", outcome.value);
    } else {
        println!(
            "\n{}",
            if outcome.held {
                "all held"
            } else {
                "NOT all held"
            }
        );
    }
    Ok(outcome.held)
}

fn write_generated() -> Result<bool, String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let code = r#gen::generate(&root)?;
    std::fs::write(root.join("src/schema/generated.rs"), code).map_err(|e| e.to_string())?;
    Ok(true)
}

fn run_box(matches: &ArgMatches) -> Result<bool, String> {
    let path = settings_path(matches)?;
    let code = magpiemoor::keyed::command::run(["magpiemoord".into(), "--settings".into(), path]);
    Ok(code == ExitCode::SUCCESS)
}

fn settings_path(matches: &ArgMatches) -> Result<OsString, String> {
    let path = matches.get_one::<PathBuf>("settings");
    path.map(Into::into)
        .ok_or_else(|| "no settings file; name one".to_owned())
}

fn run_stand_in(kind: &str, matches: &ArgMatches) -> Result<bool, String> {
    let address = matches
        .get_one::<String>("listen")
        .cloned()
        .unwrap_or_default();
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    block_on(async {
        let listener = TcpListener::bind(&address)
            .await
            .map_err(|e| format!("{address}: {e}"))?;
        match kind {
            "platform" => Platform::default().serve(listener).await,
            "engine" => {
                let behaviour: engine::Behaviour =
                    serde_json::from_str(&text("behaviour")).map_err(|e| e.to_string())?;
                Engine::new(behaviour).serve(listener).await;
            }
            "service" => {
                Service::default().serve(listener).await;
            }
            other => return Err(json!({ "unknown": other }).to_string()),
        }
        Ok(true)
    })
}
