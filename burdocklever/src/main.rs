//! Command line: the daemon of an entry VM and operators' commands.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use burdocklever::{
    catalogue_file, explain, open_trace_file, text_log, Code, Daemon, EntryDiff, Operator,
    Settings, Status,
};
use wire::{Address, Body, DomainId, DomainState, ServiceId, Version, Vm};

/// Layer-4 load balancer. Exit status: 0 done, 1 failed (see docs/RESULTS.md),
/// 2 stopped with requests aborted.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Run an entry VM
    #[bpaf(command)]
    Run {
        /// Settings file
        #[bpaf(positional("SETTINGS"))]
        settings: PathBuf,
    },
    /// Check a settings file and any catalogue files
    #[bpaf(command)]
    Check {
        /// Settings file
        #[bpaf(positional("SETTINGS"))]
        settings: PathBuf,
        /// Catalogue files
        #[bpaf(positional("CATALOGUE"))]
        catalogues: Vec<PathBuf>,
    },
    /// Write the entries of a catalogue file that differ from those in force
    #[bpaf(command)]
    Put {
        #[bpaf(external)]
        common: Common,
        #[bpaf(external, optional)]
        wait: Option<Wait>,
        /// Catalogue file
        #[bpaf(positional("CATALOGUE"))]
        file: PathBuf,
    },
    /// Compare a catalogue file with the entries in force
    #[bpaf(command)]
    Diff {
        #[bpaf(external)]
        common: Common,
        /// Catalogue file
        #[bpaf(positional("CATALOGUE"))]
        file: PathBuf,
    },
    /// List services and failure domains
    #[bpaf(command)]
    List {
        #[bpaf(external)]
        common: Common,
    },
    /// Show one service
    #[bpaf(command)]
    Show {
        #[bpaf(external)]
        common: Common,
        /// Service name
        #[bpaf(positional("SERVICE"))]
        service: ServiceId,
    },
    /// Remove a service
    #[bpaf(command)]
    Remove {
        #[bpaf(external)]
        common: Common,
        #[bpaf(external, optional)]
        wait: Option<Wait>,
        /// Service name
        #[bpaf(positional("SERVICE"))]
        service: ServiceId,
    },
    /// Take a failure domain out of service; its open flows end
    #[bpaf(command)]
    Out(#[bpaf(external(domain_change))] DomainChange),
    /// Bring a failure domain back into service
    #[bpaf(command)]
    Back(#[bpaf(external(domain_change))] DomainChange),
    /// Explain what happened to a flow, from the logs of VMs
    #[bpaf(command)]
    Explain {
        /// Addresses of caller and service, as IP:PORT-IP:PORT
        #[bpaf(positional("FLOW"))]
        flow: String,
        /// Log files
        #[bpaf(positional("LOG"))]
        logs: Vec<PathBuf>,
    },
    /// Show the status of VMs and targets and the versions in force
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        common: Common,
    },
}

#[derive(Debug, Clone, Bpaf)]
struct DomainChange {
    #[bpaf(external)]
    common: Common,
    #[bpaf(external, optional)]
    wait: Option<Wait>,
    /// Failure domain
    #[bpaf(positional("DOMAIN"))]
    domain: DomainId,
}

#[derive(Debug, Clone, Bpaf)]
struct Common {
    /// Address of the platform's object API
    #[bpaf(long, env("BURDOCKLEVER_PLATFORM"), argument("ADDRESS"))]
    platform: Address,
    /// Print JSON
    #[bpaf(long)]
    json: bool,
}

#[derive(Debug, Clone, Bpaf)]
struct Wait {
    /// Wait until the change is in force on every VM that answers
    #[bpaf(long("wait"), req_flag(()))]
    _wait: (),
    /// Longest time to wait, in seconds
    #[bpaf(long, argument("SECONDS"), fallback(10))]
    timeout: u64,
}

fn main() -> ExitCode {
    let command = command().run();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(execute(command)) {
        Ok(code) => code,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

async fn execute(command: Command) -> miette::Result<ExitCode> {
    match command {
        Command::Run { settings } => return run_daemon(Settings::open(&settings)?).await,
        Command::Check {
            settings,
            catalogues,
        } => {
            Settings::open(&settings)?;
            for file in catalogues {
                catalogue_file::open(&file)?;
            }
            println!("{} {}", Code::Ok, Code::Ok.text());
        }
        Command::Put { common, wait, file } => {
            let entries = catalogue_file::open(&file)?;
            let operator = open_operator(&common).await?;
            let version = operator.put(&entries).await.map_err(report)?;
            finish_change(&operator, &common, wait, version).await?;
        }
        Command::Diff { common, file } => {
            let entries = catalogue_file::open(&file)?;
            let operator = open_operator(&common).await?;
            print_diffs(&operator.diff(&entries), common.json);
        }
        Command::List { common } => print_catalogue(&open_operator(&common).await?, common.json),
        Command::Show { common, service } => {
            print_service(&open_operator(&common).await?, &service)?
        }
        Command::Remove {
            common,
            wait,
            service,
        } => {
            let operator = open_operator(&common).await?;
            let version = operator.remove(&service).await.map_err(report)?;
            finish_change(&operator, &common, wait, version).await?;
        }
        Command::Out(change) => set_domain(change, DomainState::Out).await?,
        Command::Back(change) => set_domain(change, DomainState::In).await?,
        Command::Explain { flow, logs } => print_explanation(&flow, &logs)?,
        Command::Status { common } => {
            print_statuses(&open_operator(&common).await?, common.json).await?
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn print_explanation(flow: &str, files: &[PathBuf]) -> miette::Result<()> {
    let mut logs = Vec::new();
    for file in files {
        let bytes = std::fs::read(file).map_err(|e| {
            let code = Code::Unreadable;
            miette::miette!("{code} {}: {}: {e}", code.text(), file.display())
        })?;
        let name = file.display().to_string();
        logs.push((name.into(), String::from_utf8_lossy(&bytes).into()));
    }
    let explanation = explain(flow, &logs);
    for line in &explanation.lines {
        println!("{line}");
    }
    if explanation.unreadable > 0 {
        println!("{} lines could not be read", explanation.unreadable);
    }
    println!("cause: {}", explanation.cause);
    Ok(())
}

fn report(error: impl std::error::Error) -> miette::Report {
    miette::miette!("{error}")
}

async fn run_daemon(settings: Settings) -> miette::Result<ExitCode> {
    const EXIT_ABORTED: u8 = 2;
    text_log::open(settings.level, settings.log.as_deref()).map_err(report)?;
    let vm = settings.vm.to_string();
    let trace = settings
        .trace
        .as_deref()
        .map(|path| open_trace_file(path, &vm));
    let trace = trace.transpose().map_err(report)?;
    let daemon = Daemon::spawn(settings).await.map_err(report)?;
    log::info!(target: "daemon", "VM {vm} started.");
    let aborted = daemon.run().await.map_err(report)?;
    if let Some(trace) = trace {
        let _ = trace.shutdown();
    }
    Ok(if aborted == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_ABORTED)
    })
}

async fn open_operator(common: &Common) -> miette::Result<Operator> {
    Operator::open(common.platform).await.map_err(report)
}

async fn set_domain(change: DomainChange, state: DomainState) -> miette::Result<()> {
    let DomainChange {
        common,
        wait,
        domain,
    } = change;
    let operator = open_operator(&common).await?;
    let version = operator.set_domain(&domain, state).await.map_err(report)?;
    finish_change(&operator, &common, wait, version).await
}

/// Waits until a change is in force if `wait` is given, and prints its version.
async fn finish_change(
    operator: &Operator,
    common: &Common,
    wait: Option<Wait>,
    version: Version,
) -> miette::Result<()> {
    let mut silent = Vec::new();
    if let Some(wait) = wait {
        let timeout = Duration::from_secs(wait.timeout);
        silent = operator.wait(version, timeout).await.map_err(report)?;
    }
    if common.json {
        println!(
            "{}",
            serde_json::json!({ "version": version, "silent": silent })
        );
    } else if version == Version(0) {
        println!("nothing to change");
    } else {
        println!("version {version}");
    }
    if !common.json && !silent.is_empty() {
        let names: Vec<String> = silent.iter().map(|vm| vm.to_string()).collect();
        println!("no answer from VMs {}", names.join(", "));
    }
    Ok(())
}

fn print_diffs(diffs: &[EntryDiff], json: bool) {
    for diff in diffs {
        let (sign, word, id) = match diff {
            EntryDiff::Added(id) => ("+", "added", id),
            EntryDiff::Changed(id) => ("~", "changed", id),
            EntryDiff::Unchanged(id) => ("=", "same", id),
            EntryDiff::NotInFile(id) => ("-", "missing", id),
        };
        if json {
            println!("{}", serde_json::json!({ "service": id, "change": word }));
        } else {
            println!("{sign} {id}");
        }
    }
}

fn print_catalogue(operator: &Operator, json: bool) {
    if json {
        let objects = operator
            .catalogue()
            .objects()
            .filter(|o| matches!(o.body, Body::Service(_) | Body::Domain { .. }));
        let objects: Vec<_> = objects.collect();
        println!("{}", serde_json::json!(objects));
        return;
    }
    for (id, service) in operator.catalogue().services() {
        let hosts = operator.catalogue().hosts(id).count();
        println!(
            "service {id}: {}, {}, {hosts} targets, owner {}",
            service.address, service.class, service.owner
        );
    }
    for domain in operator.catalogue().domains() {
        let state = if operator.catalogue().is_out(&domain) {
            "out"
        } else {
            "in"
        };
        println!("failure domain {domain}: {state}");
    }
}

fn print_service(operator: &Operator, id: &ServiceId) -> miette::Result<()> {
    let key = wire::ObjectKey::new("service", id);
    let object = operator.catalogue().get(&key);
    let object = object.ok_or_else(|| {
        miette::miette!("{} {}: service {id}", Code::NotFound, Code::NotFound.text())
    })?;
    let text = serde_json::to_string_pretty(object).map_err(report)?;
    println!("{text}");
    Ok(())
}

async fn print_statuses(operator: &Operator, json: bool) -> miette::Result<()> {
    let statuses = operator.statuses().await;
    if json {
        println!(
            "{}",
            serde_json::to_string_pretty(&statuses).map_err(report)?
        );
        return Ok(());
    }
    let newest = operator.catalogue().revision();
    println!("platform version {newest}");
    for (vm, status) in &statuses {
        print_status(vm, status.as_ref());
    }
    Ok(())
}

fn print_status(vm: &Vm, status: Option<&Status>) {
    let Some(s) = status else {
        println!("VM {} in {}: no answer", vm.member.vm, vm.domain);
        return;
    };
    let ready = if s.ready { "ready" } else { "not ready" };
    println!(
        "VM {} in {}: {ready}, version {}, view {} of {}, {} flows known, {} targets",
        vm.member.vm,
        vm.domain,
        s.version,
        s.view.number,
        s.view.members.len(),
        s.pins,
        s.targets.len()
    );
    for t in &s.targets {
        println!(
            "  target {}: {} of {} flows, {} of {} requests",
            t.host, t.conns, t.conn_limit, t.busy, t.slots
        );
    }
}
