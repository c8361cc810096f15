//! Runs the project's gateways, as the deploy file says.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Ports that all machines of a run share.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub datagram: u16,
    pub ready: u16,
    pub peer: u16,
    pub metrics: u16,
}

impl Ports {
    /// Ports that are free at all the addresses.
    pub fn find(ips: &[Ipv4Addr], consumer: Ipv4Addr) -> Option<Ports> {
        (0..200).find_map(|_| {
            let first = UdpSocket::bind((consumer, 0)).ok()?;
            let datagram = first.local_addr().ok()?.port();
            let ports = Ports {
                datagram,
                ready: datagram.checked_add(1)?,
                peer: datagram.checked_add(2)?,
                metrics: datagram.checked_add(3)?,
            };
            let free = |ip: &Ipv4Addr| {
                let tcp = [ports.ready, ports.peer, ports.metrics];
                UdpSocket::bind((*ip, datagram)).is_ok()
                    && tcp.iter().all(|p| TcpListener::bind((*ip, *p)).is_ok())
            };
            ips.iter().all(free).then_some(ports)
        })
    }
}

/// A gateway process and its address.
pub struct Gateway {
    pub ip: Ipv4Addr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    root: PathBuf,
    run: Vec<String>,
    child: Option<Child>,
}

/// Values of the settings template.
pub struct Settings<'a> {
    pub zone: &'a str,
    pub store: SocketAddr,
    pub seeds: &'a [Ipv4Addr],
    pub bounds_ms: [u64; 3],
    pub heartbeat_ms: u64,
}

impl Gateway {
    /// Writes the settings of a gateway and starts it.
    pub fn spawn(
        root: &Path,
        folder: &Path,
        name: &str,
        ip: Ipv4Addr,
        ports: Ports,
        settings: &Settings<'_>,
    ) -> std::io::Result<Gateway> {
        let seeds: Vec<String> = settings
            .seeds
            .iter()
            .map(|s| format!("{s}:{}", ports.peer))
            .collect();
        let [config, drain, evacuate] = settings.bounds_ms;
        // The template of the deploy file, platform/gateway.ini, filled in.
        let text = format!(
            "[vm]\nname = {name}\ndomain = {}\n\n[listen]\ndatagram = {ip}:{}\nready = {ip}:{}\npeer = {ip}:{}\n\
             metrics = {ip}:{}\n\n[platform]\naddress = {}\n\n[peers]\nseeds = {}\n\n[limits]\nconfig = {config}ms\n\
             drain = {drain}ms\nlink = 1000mbit\nleave = {evacuate}ms\nheartbeat = {}ms\nstop = 6s\n",
            settings.zone,
            ports.datagram,
            ports.ready,
            ports.peer,
            ports.metrics,
            settings.store,
            seeds.join(","),
            settings.heartbeat_ms,
        );
        let path = folder.join(format!("{name}.ini"));
        std::fs::write(&path, text)?;
        let mut gateway = Gateway {
            ip,
            ready: SocketAddr::from((ip, ports.ready)),
            settings: path,
            log: folder.join(format!("{name}.log")),
            root: root.into(),
            run: deployed_command(root)?,
            child: None,
        };
        gateway.start()?;
        Ok(gateway)
    }

    /// Starts the process.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(self.root.join(&self.run[0]))
            .args(&self.run[1..])
            .current_dir(&self.root)
            .env("BURDOCKLEVER_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks whether the gateway is ready, as the platform does.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(300);
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, limit) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(limit));
        let request = format!(
            "GET /api/ready HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            self.ready
        );
        let mut reply = String::new();
        stream.write_all(request.as_bytes()).is_ok()
            && stream.read_to_string(&mut reply).is_ok()
            && reply.starts_with("HTTP/1.1 200")
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The command of the role in the deploy file.
fn deployed_command(root: &Path) -> std::io::Result<Vec<String>> {
    let deploy = std::fs::read_to_string(root.join("deploy/system.toml"))?;
    let line = deploy
        .lines()
        .find_map(|l| l.trim().strip_prefix("run = \""));
    let command = line.and_then(|l| l.strip_suffix('"'));
    let words: Vec<String> = command
        .unwrap_or("")
        .split(' ')
        .map(str::to_string)
        .collect();
    match words[0].is_empty() {
        true => Err(std::io::Error::other("no command in deploy/system.toml")),
        false => Ok(words),
    }
}
