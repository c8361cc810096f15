//! A deployment as a folder describes it, and its processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use tokio::process::{Child, Command};
use wire::{DomainId, HostId, ServiceId};

use crate::platform::Calls;
use crate::target::{Seen, Spec};
use crate::topology::Result;

/// Time that a deployment may take to become ready.
const READY_WAIT: Duration = Duration::from_secs(20);

/// One process of the deployment.
pub(crate) struct Process {
    pub(crate) name: String,
    pub(crate) child: Child,
}

impl Process {
    pub(crate) fn signal(&self, signal: &str) {
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
    pub(crate) file: PathBuf,
    pub(crate) domain: DomainId,
    pub(crate) http: SocketAddr,
    pub(crate) datagram: SocketAddr,
}

/// A deployment as its folder describes it.
pub(crate) struct Deployment {
    pub(crate) folder: PathBuf,
    pub(crate) platform: SocketAddr,
    pub(crate) fabric: SocketAddr,
    pub(crate) vms: Vec<VmPlace>,
    pub(crate) targets: Vec<(DomainId, SocketAddr, Vec<Spec>)>,
    pub(crate) services: Vec<(ServiceId, SocketAddr)>,
}

impl Deployment {
    /// Reads `vm-*.ini` and `stand-ins.json`.
    pub(crate) fn open(folder: &Path) -> Result<Deployment> {
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

    pub(crate) fn domain_of(&self, host: HostId) -> Option<&DomainId> {
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
    pub(crate) platform: Process,
    pub(crate) vms: Vec<Process>,
    pub(crate) others: Vec<Process>,
    pub(crate) http: reqwest::Client,
}

pub(crate) fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name(name)
}

pub(crate) fn start(name: String, mut command: Command) -> Result<Process> {
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

    pub(crate) fn spawn_vm(&self, i: usize) -> Result<Process> {
        let place = &self.deployment.vms[i];
        let mut command = Command::new(program("burdocklever"));
        command.arg("run").arg(&place.file);
        start(format!("VM {}", place.file.display()), command)
    }

    pub(crate) async fn status(&self, i: usize) -> Result<serde_json::Value> {
        let url = format!("http://{}/status", self.deployment.vms[i].http);
        Ok(self.http.get(url).send().await?.json().await?)
    }

    pub(crate) async fn wait_ready(&self) -> Result<()> {
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

    pub(crate) async fn control_bytes(&self) -> Vec<u64> {
        let mut bytes = Vec::new();
        for i in 0..self.deployment.vms.len() {
            if let Ok(status) = self.status(i).await {
                bytes.push(status["control"].as_u64().unwrap_or(0));
            }
        }
        bytes
    }

    pub(crate) async fn platform_calls(&self) -> Result<u64> {
        let url = format!("http://{}/calls", self.deployment.platform);
        let calls: Calls = self.http.get(url).send().await?.json().await?;
        Ok(calls.reads + calls.writes)
    }

    pub(crate) async fn seen(&self) -> Result<BTreeMap<HostId, Seen>> {
        let mut all = BTreeMap::new();
        for (_, control, _) in &self.deployment.targets {
            let url = format!("http://{control}/report");
            let part: BTreeMap<HostId, Seen> = self.http.get(url).send().await?.json().await?;
            all.extend(part);
        }
        Ok(all)
    }

    pub(crate) async fn tell(&self, address: SocketAddr, path: &str, word: &str) -> Result<()> {
        let url = format!("http://{address}{path}");
        let reply = self.http.post(url).body(word.to_string()).send().await?;
        reply.error_for_status()?;
        Ok(())
    }

    pub(crate) async fn operate(&self, args: &[&str]) -> Result<()> {
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
