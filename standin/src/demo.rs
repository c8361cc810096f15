//! The demonstration: a whole deployment as separate processes on loopback.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::{ExitCode, Stdio};
use std::time::Duration;

use bpaf::Bpaf;
use tokio::process::Command;
use wire::{DomainId, HostId, ServiceId};

use crate::caller::Report;
use crate::deployment::{program, start, Deployment, Running};
use crate::target::Seen;
use crate::topology::Result;

/// Time after a failure domain is out until which its targets may get packets.
const OUT_LIMIT: Duration = Duration::from_secs(4);

/// What the demonstration does.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Options {
    /// Folder of the deployment
    #[bpaf(long, argument("FOLDER"), fallback(PathBuf::from("settings/gh-south")))]
    deployment: PathBuf,
    /// Seconds that callers run
    #[bpaf(long, argument("SECONDS"), fallback(12))]
    seconds: u64,
    /// Flows
    #[bpaf(long, argument("N"), fallback(300))]
    flows: u32,
    /// Requests a second to each service
    #[bpaf(long, argument("N"), fallback(60))]
    rate: u32,
    /// Callers make their own idempotency keys
    #[bpaf(long)]
    own_keys: bool,
    /// What goes wrong meanwhile: none, kill, freeze, domain, platform or stop
    #[bpaf(long, argument("FAULT"), fallback(Fault::None))]
    fault: Fault,
}

/// What goes wrong during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Nothing.
    None,
    /// One VM is killed.
    Kill,
    /// One VM is frozen for longer than a lease.
    Freeze,
    /// A failure domain is taken out and brought back.
    Domain,
    /// The platform is down for most of the run.
    Platform,
    /// One VM is told to stop.
    Stop,
}

impl Fault {
    const ALL: [Fault; 6] = [
        Fault::None,
        Fault::Kill,
        Fault::Freeze,
        Fault::Domain,
        Fault::Platform,
        Fault::Stop,
    ];
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Fault::None => "none",
            Fault::Kill => "kill",
            Fault::Freeze => "freeze",
            Fault::Domain => "domain",
            Fault::Platform => "platform",
            Fault::Stop => "stop",
        })
    }
}

impl std::str::FromStr for Fault {
    type Err = String;

    fn from_str(s: &str) -> std::result::Result<Fault, String> {
        let found = Fault::ALL.into_iter().find(|f| f.to_string() == s);
        found.ok_or_else(|| format!("unknown fault `{s}`"))
    }
}

/// What a run came to.
struct Outcome {
    report: Report,
    seen: BTreeMap<HostId, Seen>,
    control: u64,
    /// Platform calls a second, of all VMs and stand-ins.
    calls: f64,
    /// Failure domain that was out at some time.
    out: Option<DomainId>,
    /// Datagrams that reached its targets too late.
    late: u64,
    /// VM that was killed or frozen.
    hit: bool,
}

impl Outcome {
    fn kept(&self, deployment: &Deployment) -> usize {
        let given_up = |host| deployment.domain_of(host) == self.out.as_ref() && self.out.is_some();
        let broken = self.report.broken.iter().filter(|b| !given_up(b.host));
        broken.count()
    }

    fn doubled(&self) -> usize {
        let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
        for seen in self.seen.values() {
            for (body, n) in &seen.runs {
                *runs.entry(body).or_default() += n;
            }
        }
        runs.values().filter(|n| **n > 1).count()
    }

    fn false_refusals(&self) -> usize {
        let keys: BTreeSet<&String> = self.seen.values().flat_map(|s| &s.keys).collect();
        self.report
            .not_run
            .iter()
            .filter(|k| keys.contains(k))
            .count()
    }

    fn imbalance(&self, service: &ServiceId) -> f64 {
        let seen = self.seen.values().filter(|s| s.service == service.as_str());
        let flows: Vec<usize> = seen.map(|s| s.flows.len()).collect();
        let mean = flows.iter().sum::<usize>() as f64 / flows.len().max(1) as f64;
        flows.iter().max().copied().unwrap_or(0) as f64 / mean.max(1.0)
    }

    /// Prints the table. Returns what must hold and did not.
    fn print(&self, deployment: &Deployment) -> Vec<String> {
        let r = &self.report;
        let mut micros = r.micros.clone();
        micros.sort();
        let median = micros.get(micros.len() / 2).copied().unwrap_or(0);
        let foreign: u64 = self.seen.values().map(|s| s.foreign).sum();
        let over: u64 = self.seen.values().map(|s| s.over).sum();
        let over_cold: u64 = self.seen.values().map(|s| s.over_cold).sum();
        let kept = self.kept(deployment);
        let given_up = r.broken.len() - kept;
        let flow_service = &deployment.services[0].0;
        println!("flows opened                  {}", r.opened);
        println!("flows not opened              {}", r.unopened);
        println!("flows broken                  {kept}");
        println!("flows given up with a domain  {given_up}");
        println!("flows moved                   {}", r.moved);
        println!("requests                      {}", r.requests);
        println!("requests answered             {}", r.answered);
        println!("refusals with a time to come  {}", r.refused);
        println!("requests unknown              {}", r.unknown);
        println!("requests unserved             {}", r.unserved);
        println!("requests doubled              {}", self.doubled());
        println!("downloads finished, cut       {}, {}", r.downloads, r.cut);
        println!(
            "median request                {:.1} ms",
            median as f64 / 1000.0
        );
        println!(
            "imbalance of flows            {:.3}",
            self.imbalance(flow_service)
        );
        println!("requests over a limit, cold   {over}, {over_cold}");
        println!("control bytes/s per VM        {}", self.control);
        println!("platform calls/s, all         {:.1}", self.calls);
        let mut wrong = Vec::new();
        let mut must = |holds: bool, text: String| {
            if !holds {
                wrong.push(text);
            }
        };
        must(
            self.doubled() == 0,
            format!("{} requests ran twice", self.doubled()),
        );
        must(r.crossed == 0, format!("{} answers crossed", r.crossed));
        must(
            foreign == 0,
            format!("{foreign} datagrams reached another service"),
        );
        let lies = self.false_refusals();
        must(lies == 0, format!("{lies} keys ran that were said not to"));
        must(r.moved == 0, format!("{} flows moved", r.moved));
        must(kept == 0, format!("{kept} flows broke"));
        must(over == 0, format!("{over} requests came over a limit"));
        must(
            self.late == 0,
            format!("{} datagrams came late into a domain", self.late),
        );
        must(
            r.unserved == 0,
            format!("{} requests were not served", r.unserved),
        );
        must(
            r.cut == 0 || self.hit,
            format!("{} downloads were cut", r.cut),
        );
        must(
            r.unknown == 0 || self.hit,
            format!("{} outcomes unknown", r.unknown),
        );
        wrong
    }
}

/// Runs callers against a deployment while something goes wrong.
async fn run_once(options: &Options) -> Result<(Running, Outcome)> {
    let mut running = Running::open(&options.deployment).await?;
    let before = running.control_bytes().await;
    let calls = running.platform_calls().await?;
    let started = tokio::time::Instant::now();
    let at = |n: usize| {
        let (service, address) = &running.deployment.services[n];
        format!("{service}@{address}")
    };
    let mut command = Command::new(program("standin"));
    command
        .arg("caller")
        .args(["--once", &at(0), "--plain", &at(1), "--name", "demo"])
        .args(["--flows", &options.flows.to_string()])
        .args(["--rate", &options.rate.to_string(), "--downloads", "2"])
        .args(["--seconds", &options.seconds.to_string()])
        .stdout(Stdio::piped());
    if options.own_keys {
        command.arg("--own-keys");
    }
    let callers = start("callers".into(), command)?;
    let mut outcome = Outcome {
        report: Report::default(),
        seen: BTreeMap::new(),
        control: 0,
        calls: 0.0,
        out: None,
        late: 0,
        hit: matches!(options.fault, Fault::Kill | Fault::Freeze | Fault::Domain),
    };
    let length = Duration::from_secs(options.seconds);
    tokio::time::sleep(length / 4).await;
    cause(&mut running, options.fault, length / 2, &mut outcome).await?;
    let output = callers.child.wait_with_output().await?;
    outcome.report = serde_json::from_slice(&output.stdout)?;
    let seconds = started.elapsed().as_secs().max(1);
    let after = running.control_bytes().await;
    outcome.calls = (running.platform_calls().await? - calls) as f64 / seconds as f64;
    let spent = before.iter().zip(&after).map(|(a, b)| b.saturating_sub(*a));
    outcome.control = spent.sum::<u64>() / seconds / after.len().max(1) as u64;
    outcome.seen = running.seen().await?;
    Ok((running, outcome))
}

/// Causes a fault and takes it back after `length`.
async fn cause(
    running: &mut Running,
    fault: Fault,
    length: Duration,
    outcome: &mut Outcome,
) -> Result<()> {
    const VICTIM: usize = 1;
    match fault {
        Fault::None => {}
        Fault::Kill => running.vms[VICTIM].signal("-KILL"),
        Fault::Freeze => {
            running.vms[VICTIM].signal("-STOP");
            tokio::time::sleep(length).await;
            running.vms[VICTIM].signal("-CONT");
        }
        Fault::Stop => running.vms[VICTIM].signal("-TERM"),
        Fault::Platform => {
            let address = running.deployment.platform;
            running.tell(address, "/control", "down").await?;
            tokio::time::sleep(length).await;
            running.tell(address, "/control", "up").await?;
        }
        Fault::Domain => {
            let domain = running.deployment.vms[0].domain.clone();
            running.operate(&["out", domain.as_str()]).await?;
            tokio::time::sleep(OUT_LIMIT).await;
            running.seen().await?;
            tokio::time::sleep(length.saturating_sub(OUT_LIMIT).max(OUT_LIMIT / 4)).await;
            let seen = running.seen().await?;
            let there = seen
                .iter()
                .filter(|(id, _)| running.deployment.domain_of(**id) == Some(&domain));
            outcome.late = there.map(|(_, s)| s.datagrams).sum();
            outcome.out = Some(domain.clone());
            running.operate(&["back", domain.as_str()]).await?;
        }
    }
    Ok(())
}

/// Runs the demonstration. Succeeds only if nothing that must hold was violated.
pub(crate) async fn run(options: Options) -> ExitCode {
    println!(
        "deployment {}, fault {}",
        options.deployment.display(),
        options.fault
    );
    match run_once(&options).await {
        Ok((running, outcome)) => {
            let wrong = outcome.print(&running.deployment);
            for text in &wrong {
                println!("VIOLATED: {text}");
            }
            running.stop().await;
            if wrong.is_empty() {
                println!("nothing that must hold was violated");
                return ExitCode::SUCCESS;
            }
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("demonstration failed: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the demonstration with each fault in turn.
pub(crate) async fn prove(deployment: &Path) -> ExitCode {
    const SECONDS: u64 = 16;
    let mut failed = 0;
    let mut passed = 0;
    for fault in Fault::ALL {
        let options = Options {
            deployment: deployment.into(),
            seconds: SECONDS,
            flows: 200,
            rate: 30,
            own_keys: false,
            fault,
        };
        if run(options).await == ExitCode::SUCCESS {
            passed += 1;
        } else {
            failed += 1;
        }
    }
    println!("{passed} passed, {failed} failed");
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
