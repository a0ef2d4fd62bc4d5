//! Definition of the commands and their arguments.

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, Command, ValueHint, value_parser};
use clap_complete::Shell;

/// Record kinds that `get` and `withdraw` accept.
const KINDS: [&str; 7] =
    ["organisation", "guarantee", "job", "policy", "service", "objective", "membership"];

/// Text below the list of commands in the help of the program.
const EXIT_CODES: &str = "Exit codes:
  0  done
  1  refused, or a check found problems
  2  wrong arguments or unreadable input; nothing was sent
  3  the entry cannot be reached or cannot answer now
  4  the answer was lost; for a change, repeat with the same --change-id";

/// Builds the definition of the program with all its commands.
pub fn command() -> Command {
    Command::new("yuccatack")
        .about("Schedules multi-accelerator jobs and routes requests under organisation guarantees")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .term_width(100)
        .after_help(EXIT_CODES)
        .args([address(), output(), timeout()])
        .subcommands([
            run(),
            host(),
            check(),
            apply(),
            get(),
            withdraw(),
            evacuate(),
            readmit(),
            evacuations(),
            status(),
            explain(),
            report(),
            completions(),
        ])
}

fn address() -> Arg {
    Arg::new("address")
        .long("address")
        .value_name("IP:PORT")
        .global(true)
        .help("The entry to talk to [default: the environment variable YUCCATACK_ADDRESS]")
}

fn output() -> Arg {
    Arg::new("output")
        .long("output")
        .value_name("FORMAT")
        .value_parser(PossibleValuesParser::new(["human", "json"]))
        .default_value("human")
        .global(true)
        .help("How results are written")
}

fn timeout() -> Arg {
    Arg::new("timeout-s")
        .long("timeout-s")
        .value_name("SECONDS")
        .value_parser(value_parser!(u64).range(1..=600))
        .default_value("10")
        .global(true)
        .help("How long one exchange with the entry may take")
}

fn run() -> Command {
    Command::new("run")
        .about("Runs the process that a settings file describes")
        .arg(file("The settings file").num_args(1))
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .value_name("LEVEL")
                .value_parser(PossibleValuesParser::new(["error", "warn", "info", "debug"]))
                .default_value("info")
                .help("The lowest level that is logged"),
        )
        .arg(
            Arg::new("log-file")
                .long("log-file")
                .value_name("FILE")
                .value_hint(ValueHint::FilePath)
                .help("Appends the log to this file [default: standard error]"),
        )
}

fn host() -> Command {
    Command::new("host")
        .about("Runs a role from the settings that the hosting platform provides")
        .arg(
            Arg::new("role")
                .value_name("ROLE")
                .value_parser(PossibleValuesParser::new(["entry", "agent", "control"]))
                .required(true)
                .help("What the process does"),
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Names every problem of settings and record files; sends nothing")
        .arg(file("Settings files, and record files in YAML or JSON").num_args(1..))
}

fn apply() -> Command {
    Command::new("apply")
        .about("Submits or changes the records of the files, in their order")
        .arg(file("Record files in YAML or JSON; `-` reads standard input").num_args(1..))
        .arg(change_id())
        .arg(replaces_generation())
        .args(waiting())
}

fn get() -> Command {
    Command::new("get")
        .about("Shows one record as it was written, or lists the records of a kind")
        .arg(kind())
        .arg(Arg::new("name").value_name("NAME").help("The record; all of the kind without it"))
}

fn withdraw() -> Command {
    Command::new("withdraw")
        .about("Takes a record out of force")
        .arg(kind())
        .arg(name())
        .arg(change_id())
        .arg(replaces_generation())
        .args(waiting())
}

fn evacuate() -> Command {
    Command::new("evacuate")
        .about("Orders that nothing more starts in a data centre; what runs there continues")
        .args([data_centre(), control_address()])
}

fn readmit() -> Command {
    Command::new("readmit")
        .about("Withdraws the evacuation of a data centre, so that work starts there again")
        .args([data_centre(), control_address()])
}

fn evacuations() -> Command {
    Command::new("evacuations").about("Lists the evacuated data centres").arg(control_address())
}

fn data_centre() -> Arg {
    Arg::new("data-centre")
        .value_name("DATA_CENTRE")
        .required(true)
        .help("The name of the data centre, as its workers announce it")
}

fn control_address() -> Arg {
    Arg::new("control-address")
        .long("control-address")
        .value_name("IP:PORT")
        .required(true)
        .help("The operators' address of any control replica")
}

fn status() -> Command {
    Command::new("status").about("Shows replicas, nodes, workers and what is not yet in force")
}

fn explain() -> Command {
    Command::new("explain")
        .about("Explains why something is as it is")
        .subcommand_required(true)
        .subcommand(
            Command::new("job").about("Why a job waits, where it runs or why it ended").arg(name()),
        )
}

fn report() -> Command {
    Command::new("report").about("Reports on the system").subcommand_required(true).subcommand(
        Command::new("burn")
            .about("Shows how fast the error budget of each objective is used up")
            .arg(
                Arg::new("metrics-address")
                    .long("metrics-address")
                    .value_name("IP:PORT")
                    .action(ArgAction::Append)
                    .help(
                        "Reads from the metrics address of a process instead; the reports of \
                         several are added up",
                    ),
            )
            .arg(
                Arg::new("html")
                    .long("html")
                    .value_name("FILE")
                    .value_parser(value_parser!(std::path::PathBuf))
                    .value_hint(ValueHint::FilePath)
                    .help("Also writes one self-contained page with plots"),
            ),
    )
}

fn completions() -> Command {
    Command::new("completions").about("Prints a completion script").arg(
        Arg::new("shell")
            .value_name("SHELL")
            .value_parser(value_parser!(Shell))
            .required(true)
            .help("The shell"),
    )
}

fn file(help: &'static str) -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .value_parser(value_parser!(std::path::PathBuf))
        .value_hint(ValueHint::FilePath)
        .required(true)
        .help(help)
}

fn kind() -> Arg {
    Arg::new("kind")
        .value_name("KIND")
        .value_parser(PossibleValuesParser::new(KINDS))
        .required(true)
        .help("The kind of record")
}

fn name() -> Arg {
    Arg::new("name").value_name("NAME").required(true).help("The name of the record")
}

fn change_id() -> Arg {
    Arg::new("change-id")
        .long("change-id")
        .value_name("ID")
        .help("Resends the change of this id: gets its first answer, or makes the change")
}

fn replaces_generation() -> Arg {
    Arg::new("replaces-generation")
        .long("replaces-generation")
        .value_name("NUMBER")
        .value_parser(value_parser!(u64))
        .help("Refuses the change unless this generation is the newest [default: the one in force]")
}

fn waiting() -> [Arg; 2] {
    [
        Arg::new("wait")
            .long("wait")
            .action(ArgAction::SetTrue)
            .help("Waits until each accepted change is in force everywhere"),
        Arg::new("wait-limit-s")
            .long("wait-limit-s")
            .value_name("SECONDS")
            .value_parser(value_parser!(u64).range(1..=3600))
            .default_value("30")
            .help("How long `--wait` waits"),
    ]
}
