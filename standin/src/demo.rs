//! The demonstration: a whole deployment as separate processes on loopback.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitCode, Stdio};
use std::time::Duration;

use bpaf::Bpaf;
use tokio::process::{Child, Command};
use wire::{DomainId, HostId, ServiceId};

use crate::caller::Report;
use crate::platform::Calls;
use crate::target::{Seen, Spec};
use crate::topology::Result;

/// Time that a deployment may take to become ready.
const READY_WAIT: Duration = Duration::from_secs(20);
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

/// One process of the deployment.
pub(crate) struct Process {
    name: String,
    child: Child,
}

impl Process {
    fn signal(&self, signal: &str) {
        let Some(pid) = self.child.id() else { return };
        let sent = std::process::Command::new("kill")
            .args([signal, &pid.to_string()])
            .status();
        if !sent.is_ok_and(|s| s.success()) {
            eprintln!("signal {signal} to {} failed", self.name);
        }
    }
}

/// An entry VM as its settings file describes it.
pub(crate) struct VmPlace {
    file: PathBuf,
    domain: DomainId,
    pub(crate) http: SocketAddr,
    pub(crate) datagram: SocketAddr,
}

/// A deployment as its folder describes it.
pub(crate) struct Deployment {
    folder: PathBuf,
    platform: SocketAddr,
    fabric: SocketAddr,
    pub(crate) vms: Vec<VmPlace>,
    pub(crate) targets: Vec<(DomainId, SocketAddr, Vec<Spec>)>,
    pub(crate) services: Vec<(ServiceId, SocketAddr)>,
}

impl Deployment {
    /// Reads `vm-*.ini` and `stand-ins.json`.
    fn open(folder: &Path) -> Result<Deployment> {
        #[derive(serde::Deserialize)]
        struct Group {
            domain: DomainId,
            control: SocketAddr,
            targets: Vec<String>,
        }
        #[derive(serde::Deserialize)]
        struct File {
            platform: SocketAddr,
            fabric: SocketAddr,
            services: Vec<(ServiceId, SocketAddr)>,
            groups: Vec<Group>,
        }
        let text = std::fs::read_to_string(folder.join("stand-ins.json"))?;
        let file: File = serde_json::from_str(&text)?;
        let mut targets = Vec::new();
        for group in file.groups {
            let specs: std::result::Result<Vec<Spec>, String> =
                group.targets.iter().map(|t| t.parse()).collect();
            targets.push((group.domain, group.control, specs?));
        }
        let mut files: Vec<PathBuf> = std::fs::read_dir(folder)?
            .filter_map(|entry| Some(entry.ok()?.path()))
            .filter(|p| {
                p.file_name()
                    .is_some_and(|n| n.to_string_lossy().starts_with("vm-"))
            })
            .collect();
        files.sort();
        let vms = files
            .into_iter()
            .map(vm_place)
            .collect::<Result<Vec<VmPlace>>>()?;
        Ok(Deployment {
            folder: folder.into(),
            platform: file.platform,
            fabric: file.fabric,
            vms,
            targets,
            services: file.services,
        })
    }

    fn domain_of(&self, host: HostId) -> Option<&DomainId> {
        let has = |specs: &[Spec]| specs.iter().any(|s| s.id == host);
        let group = self.targets.iter().find(|(_, _, specs)| has(specs));
        group.map(|(domain, _, _)| domain)
    }
}

fn vm_place(file: PathBuf) -> Result<VmPlace> {
    let text = std::fs::read_to_string(&file)?;
    let value = |key: &str| {
        let line = text.lines().find_map(|l| l.strip_prefix(key));
        line.and_then(|l| l.trim().strip_prefix('=')).map(str::trim)
    };
    let missing = || format!("{}: key missing", file.display());
    Ok(VmPlace {
        domain: value("domain").ok_or_else(missing)?.parse()?,
        http: value("http").ok_or_else(missing)?.parse()?,
        datagram: value("datagram").ok_or_else(missing)?.parse()?,
        file,
    })
}

/// A running deployment. Its processes end with it.
pub(crate) struct Running {
    pub(crate) deployment: Deployment,
    platform: Process,
    vms: Vec<Process>,
    others: Vec<Process>,
    http: reqwest::Client,
}

fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name(name)
}

fn start(name: String, mut command: Command) -> Result<Process> {
    let child = command.stdin(Stdio::null()).kill_on_drop(true).spawn();
    let child = child.map_err(|e| format!("{name} not started: {e}"))?;
    Ok(Process { name, child })
}

pub(crate) fn standin(args: &[String]) -> Result<Process> {
    let mut command = Command::new(program("standin"));
    command.args(args).stdout(Stdio::null());
    start(format!("standin {}", args[0]), command)
}

impl Running {
    /// Starts everything and waits until all VMs are ready and hold leases.
    pub(crate) async fn open(folder: &Path) -> Result<Running> {
        let deployment = Deployment::open(folder)?;
        let arg = |s: &str| s.to_string();
        let platform_at = deployment.platform.to_string();
        let platform = standin(&[arg("platform"), arg("--listen"), platform_at.clone()])?;
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(Duration::from_secs(3))
            .build()?;
        wait_for(&http, &format!("http://{platform_at}/calls")).await?;
        put_catalogue(&deployment).await?;
        let mut others = Vec::new();
        for (domain, control, specs) in &deployment.targets {
            let mut args = vec![arg("target"), arg("--platform"), platform_at.clone()];
            args.extend([arg("--control"), control.to_string()]);
            args.extend([arg("--domain"), domain.to_string()]);
            args.extend(specs.iter().map(ToString::to_string));
            others.push(standin(&args)?);
            wait_for(&http, &format!("http://{control}/report")).await?;
        }
        let fabric = [
            arg("fabric"),
            arg("--platform"),
            platform_at,
            arg("--control"),
            deployment.fabric.to_string(),
        ];
        others.push(standin(&fabric)?);
        let mut running = Running {
            vms: Vec::new(),
            deployment,
            platform,
            others,
            http,
        };
        for i in 0..running.deployment.vms.len() {
            let vm = running.spawn_vm(i)?;
            running.vms.push(vm);
        }
        running.wait_ready().await?;
        Ok(running)
    }

    fn spawn_vm(&self, i: usize) -> Result<Process> {
        let place = &self.deployment.vms[i];
        let mut command = Command::new(program("burdocklever"));
        command.arg("run").arg(&place.file);
        start(format!("VM {}", place.file.display()), command)
    }

    async fn status(&self, i: usize) -> Result<serde_json::Value> {
        let url = format!("http://{}/status", self.deployment.vms[i].http);
        Ok(self.http.get(url).send().await?.json().await?)
    }

    async fn wait_ready(&self) -> Result<()> {
        let deadline = tokio::time::Instant::now() + READY_WAIT;
        let hosts: usize = self
            .deployment
            .targets
            .iter()
            .map(|(_, _, s)| s.len())
            .sum();
        while tokio::time::Instant::now() < deadline {
            let mut guarded = 0;
            let mut leases = 0;
            for i in 0..self.deployment.vms.len() {
                if let Ok(status) = self.status(i).await {
                    leases += usize::from(status["lease"] == true);
                    guarded += status["targets"].as_array().map_or(0, Vec::len);
                }
            }
            if leases == self.deployment.vms.len() && guarded == hosts {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        Err("the deployment did not become ready".into())
    }

    async fn control_bytes(&self) -> Vec<u64> {
        let mut bytes = Vec::new();
        for i in 0..self.deployment.vms.len() {
            if let Ok(status) = self.status(i).await {
                bytes.push(status["control"].as_u64().unwrap_or(0));
            }
        }
        bytes
    }

    async fn platform_calls(&self) -> Result<u64> {
        let url = format!("http://{}/calls", self.deployment.platform);
        let calls: Calls = self.http.get(url).send().await?.json().await?;
        Ok(calls.reads + calls.writes)
    }

    async fn seen(&self) -> Result<BTreeMap<HostId, Seen>> {
        let mut all = BTreeMap::new();
        for (_, control, _) in &self.deployment.targets {
            let url = format!("http://{control}/report");
            let part: BTreeMap<HostId, Seen> = self.http.get(url).send().await?.json().await?;
            all.extend(part);
        }
        Ok(all)
    }

    async fn tell(&self, address: SocketAddr, path: &str, word: &str) -> Result<()> {
        let url = format!("http://{address}{path}");
        let reply = self.http.post(url).body(word.to_string()).send().await?;
        reply.error_for_status()?;
        Ok(())
    }

    async fn operate(&self, args: &[&str]) -> Result<()> {
        let platform = self.deployment.platform.to_string();
        let mut command = Command::new(program("burdocklever"));
        command
            .args(args)
            .args(["--platform", &platform])
            .stdout(Stdio::null());
        let status = command.status().await?;
        if !status.success() {
            return Err(format!("operator's command {args:?} failed").into());
        }
        Ok(())
    }
}

async fn wait_for(http: &reqwest::Client, url: &str) -> Result<()> {
    for _ in 0..100 {
        if http.get(url).send().await.is_ok() {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(format!("{url} does not answer").into())
}

async fn put_catalogue(deployment: &Deployment) -> Result<()> {
    let platform = deployment.platform.to_string();
    let status = Command::new(program("burdocklever"))
        .arg("put")
        .args(["--platform", &platform])
        .arg(deployment.folder.join("catalogue.ini"))
        .stdout(Stdio::null())
        .status()
        .await?;
    if !status.success() {
        return Err("the catalogue was refused".into());
    }
    Ok(())
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

impl Running {
    /// Stops the VMs as an operator would, then everything else.
    pub(crate) async fn stop(mut self) {
        const STOP_WAIT: Duration = Duration::from_secs(5);
        for vm in &self.vms {
            vm.signal("-TERM");
        }
        for vm in &mut self.vms {
            if tokio::time::timeout(STOP_WAIT, vm.child.wait())
                .await
                .is_err()
            {
                eprintln!("{} did not stop in time", vm.name);
            }
        }
        for process in self.others.iter_mut().chain([&mut self.platform]) {
            let _ = process.child.kill().await;
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
