//! Prints a table of what callers receive with and without each mechanism and with baselines, on
//! the same recorded arrivals. `-- --write-traces` generates the arrivals again.

#[path = "../tests/model/mod.rs"]
mod model;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use comfy_table::Table;
use model::float;
use model::node::Choice;
use model::node::Mechanisms;
use model::quality;
use model::quality::Fault;
use model::quality::Picking;
use model::quality::TARGET;
use model::scenario::CLASSES;
use model::scenario::NAMES;
use model::scenario::Scenario;
use model::spend::spend;
use model::summary::Counts;
use model::summary::Summary;
use model::world;

const ALL: Mechanisms = Mechanisms::ALL;

/// Rows of the table.
const ROWS: [(&str, Mechanisms); 12] = [
    ("all", ALL),
    (
        "no admission",
        Mechanisms {
            admission: false,
            ..ALL
        },
    ),
    ("no fair queue", Mechanisms { fair: false, ..ALL }),
    (
        "no limit",
        Mechanisms {
            limit: false,
            ..ALL
        },
    ),
    (
        "no retry budget",
        Mechanisms {
            budget: false,
            ..ALL
        },
    ),
    (
        "no ejection",
        Mechanisms {
            eject: false,
            ..ALL
        },
    ),
    (
        "no hedge",
        Mechanisms {
            hedge: false,
            ..ALL
        },
    ),
    (
        "choice: round robin",
        Mechanisms {
            choice: Choice::RoundRobin,
            ..ALL
        },
    ),
    ("fifo, round robin", Mechanisms::naive(Choice::RoundRobin)),
    ("fifo, random two", Mechanisms::naive(Choice::RandomTwo)),
    (
        "fifo, least in flight",
        Mechanisms::naive(Choice::LeastInFlight),
    ),
    ("fifo, our choice", Mechanisms::naive(Choice::Policy)),
];

const HEAD: [&str; 18] = [
    "mechanisms",
    "served",
    "worst",
    "short p50",
    "p95",
    "p99",
    "all p95",
    "goodput",
    "busy",
    "refused",
    "lost",
    "heard p99",
    "truth",
    "pressed",
    "attempts",
    "cost",
    "wasted",
    "missed",
];

fn main() {
    let command = Command::new("load")
        .arg(
            Arg::new("write")
                .long("write-traces")
                .action(ArgAction::SetTrue),
        )
        .arg(Arg::new("only").long("only").help("Run only this scenario"))
        .arg(
            Arg::new("quality")
                .long("quality")
                .action(ArgAction::SetTrue)
                .help("Print only the tables of the cascade and of spend"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_parser(clap::value_parser!(u64))
                .help("Print means over this many seeds, starting with the recorded one"),
        )
        .arg(
            Arg::new("classes")
                .long("classes")
                .action(ArgAction::SetTrue)
                .help("Print the outcomes of each class"),
        )
        .arg(
            Arg::new("brief")
                .long("brief")
                .action(ArgAction::SetTrue)
                .help("Print only the first row"),
        )
        .arg(
            Arg::new("bench")
                .long("bench")
                .action(ArgAction::SetTrue)
                .hide(true),
        );
    let matches = command.get_matches();
    if matches.get_flag("write") {
        for name in NAMES {
            Scenario::recipe(name).write();
        }
    }
    if matches.get_flag("quality") {
        print_quality();
        print_spend();
        return;
    }
    let rows = if matches.get_flag("brief") {
        1
    } else {
        ROWS.len()
    };
    let seeds = *matches.get_one::<u64>("seeds").unwrap_or(&1);
    let only = matches.get_one::<String>("only");
    for name in NAMES
        .iter()
        .filter(|name| only.is_none_or(|only| only == *name))
    {
        print_table(name, &ROWS[..rows], seeds);
        if matches.get_flag("classes") {
            print_classes(name);
        }
    }
    if only.is_none() && rows > 1 {
        print_quality();
        print_spend();
    }
}

/// Prints what six nodes spend of a limit when one is cut off and one crashes at a given second.
fn print_spend() {
    println!(
        "\nspend: six nodes, one customer; node 0 is cut off and node 1 dies at the second given"
    );
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header([
        "limit", "second", "spent", "stranded", "share", "served", "refused",
    ]);
    for (limit, second) in [(300_000, 0), (300_000, 5), (300_000, 9), (3_000_000, 60)] {
        let run = spend(limit, second, 200);
        let share = 100.0 * float(run.stranded.micros()) / float(limit);
        table.add_row([
            model::spend::money(limit).to_string(),
            second.to_string(),
            run.spent.to_string(),
            run.stranded.to_string(),
            format!("{share:.1}%"),
            run.served.to_string(),
            run.refused.to_string(),
        ]);
    }
    println!("{table}");
}

/// Ways of picking a version, with their labels.
const PICKINGS: [(&str, Picking); 5] = [
    ("cascade (nyabarongo: cost)", Picking::Cascade),
    ("cascade (rybnikar: latency)", Picking::LatencyCascade),
    ("always cheapest", Picking::Cheapest),
    ("always best", Picking::Best),
    ("fixed: cheapest, best", Picking::Fixed),
];

/// Faults at half of the run, with their labels.
const FAULTS: [(&str, Fault); 5] = [
    ("nothing goes wrong", Fault::None),
    (
        "the cheapest version turns bad half way",
        Fault::BadVersion(0),
    ),
    (
        "the middle version turns bad half way",
        Fault::BadVersion(1),
    ),
    (
        "ratings take five seconds from half way",
        Fault::SlowRatings,
    ),
    ("no ratings from half way", Fault::NoRatings),
];

/// Prints the cascade's tables.
fn print_quality() {
    for (about, fault) in FAULTS {
        println!("\nquality: {about} (6000 requests, target {TARGET})");
        let mut table = Table::new();
        table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
        table.set_header([
            "picking", "quality", "after", "cost", "p95", "exposed", "rated",
        ]);
        for (label, picking) in PICKINGS {
            let result = quality::run(picking, fault, 7);
            table.add_row([
                label.into(),
                format!("{:.1}%", result.quality * 100.0),
                format!("{:.1}%", result.quality_after * 100.0),
                format!("{:.2}", result.cost),
                format!("{:.2}", result.p95),
                result.bad_answers.to_string(),
                format!("{:.1}%", result.rated * 100.0),
            ]);
        }
        println!("{table}");
    }
}

fn print_table(name: &str, rows: &[(&str, Mechanisms)], seeds: u64) {
    let scenario = Scenario::load(name);
    let weighs = if scenario.deployment == "nyabarongo" {
        "cost"
    } else {
        "latency"
    };
    let count = scenario.arrivals.len();
    println!(
        "\n{name}: {} ({count} requests, weighs {weighs})",
        scenario.about
    );
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(HEAD);
    for (label, mechanisms) in rows {
        let runs: Vec<Summary> = (0..seeds)
            .map(|seed| run_once(&scenario, *mechanisms, seed))
            .collect();
        table.add_row(row(label, &scenario, &Summary::mean(&runs)));
    }
    println!("{table}");
}

/// Runs a scenario on the recorded arrivals for seed 0, and on arrivals generated by the same
/// recipe for other seeds.
fn run_once(scenario: &Scenario, mechanisms: Mechanisms, seed: u64) -> Summary {
    let mut scenario = scenario.clone();
    if seed > 0 {
        scenario.recipe.seed += seed * 1_000;
        scenario.arrivals = scenario.generate();
    }
    let world = world::run(&scenario, mechanisms);
    Summary::of(&scenario, &world)
}

fn row(label: &str, scenario: &Scenario, summary: &Summary) -> Vec<String> {
    let share = |value: f64| format!("{:.1}%", value * 100.0);
    let time = |value: f64| format!("{value:.2}");
    vec![
        label.into(),
        share(summary.served),
        share(summary.worst(scenario)),
        time(summary.short[0]),
        time(summary.short[1]),
        time(summary.short[2]),
        time(summary.all[1]),
        share(summary.goodput),
        share(summary.utilization),
        share(summary.refused),
        share(summary.lost),
        time(summary.refusal_p99),
        summary.returning_served.map_or_else(|| "-".into(), share),
        summary
            .returning_served_under_load
            .map_or_else(|| "-".into(), share),
        time(summary.attempts),
        time(summary.cost),
        share(summary.wasted),
        share(summary.cache_misses),
    ]
}

/// Prints the outcomes of each class with all mechanisms switched on.
fn print_classes(name: &str) {
    let scenario = Scenario::load(name);
    let world = world::run(&scenario, ALL);
    for (number, class) in CLASSES.iter().enumerate() {
        let counts = Counts::of(&world, number);
        println!("{name} {}: {counts:?}", class.name);
    }
    for fault in &scenario.faults {
        let sent = |second: u32| {
            let from = f64::from(second) * 5.0;
            world.sent(fault.endpoint, from, from + 5.0)
        };
        let sent: Vec<usize> = (0..18).map(sent).collect();
        println!(
            "{name} endpoint {}, calls in each five seconds: {sent:?}",
            fault.endpoint
        );
    }
}
