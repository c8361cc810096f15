//! The system's own program as a separate process.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::store::Store;

/// Where the command in the deploy file finds the program, from the repository's root.
const PROGRAM: &str = "target/release/burdocklever-gateway";
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Ports of all machines of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub datagram: u16,
    pub ready: u16,
    pub control: u16,
    pub metrics: u16,
}

impl Ports {
    /// Ports that are free now at a loopback address.
    pub fn free(ip: Ipv4Addr) -> std::io::Result<Ports> {
        let sockets: Vec<TcpListener> = (0..4)
            .map(|_| TcpListener::bind((ip, 0)))
            .collect::<std::io::Result<_>>()?;
        let port = |i: usize| sockets[i].local_addr().map(|a| a.port());
        Ok(Ports {
            datagram: port(0)?,
            ready: port(1)?,
            control: port(2)?,
            metrics: port(3)?,
        })
    }
}

/// A running daemon. It is killed when this is dropped.
pub struct Gateway {
    ready: SocketAddrV4,
    process: Child,
}

impl Gateway {
    /// Starts a daemon with the settings that the deploy file's template gives. `first` says that
    /// the whole system starts for the first time.
    pub fn spawn(
        folder: &Path,
        name: &str,
        zone: &str,
        ip: Ipv4Addr,
        ports: Ports,
        seeds: &[Ipv4Addr],
        first: bool,
        store: &Store,
    ) -> std::io::Result<Gateway> {
        let seeds: Vec<String> = seeds
            .iter()
            .map(|ip| format!("{ip}:{}", ports.control))
            .collect();
        let settings = format!(
            "[vm]\nname = {name}\ndomain = {zone}\n\n\
             [listen]\ndatagram = {ip}:{}\nready = {ip}:{}\npeer = {ip}:{}\nmetrics = {ip}:{}\n\n\
             [platform]\naddress = {}\n\n\
             [peers]\nseeds = {}\n{}\n\
             [limits]\nconfig = 3000ms\ndrain = 3000ms\nlink = 1000.0mbit\nleave = 5000ms\n\
             heartbeat = 1200ms\nstop = 6s\n",
            ports.datagram,
            ports.ready,
            ports.control,
            ports.metrics,
            store.address,
            seeds.join(","),
            if first { "first = true\n" } else { "" }
        );
        let path: PathBuf = folder.join(format!("{name}.ini"));
        std::fs::File::create(&path)?.write_all(settings.as_bytes())?;
        let log = std::fs::File::create(folder.join(format!("{name}.log")))?;
        let process = Command::new(PROGRAM)
            .env("BURDOCKLEVER_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        let ready = SocketAddrV4::new(ip, ports.ready);
        Ok(Gateway { ready, process })
    }

    /// Sends it a signal.
    pub fn signal(&self, name: &str) -> std::io::Result<()> {
        let command = format!("kill -{name} {}", self.process.id());
        let status = Command::new("sh").args(["-c", &command]).status()?;
        match status.success() {
            true => Ok(()),
            false => Err(std::io::Error::other("the signal was not sent")),
        }
    }

    /// Waits until the daemon says that it is ready.
    pub fn wait_ready(&self) -> bool {
        let start = Instant::now();
        while start.elapsed() < START_TIMEOUT {
            if is_ready(self.ready).unwrap_or(false) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Whether a daemon answers a probe with 200.
pub fn is_ready(address: SocketAddrV4) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address.into(), Duration::from_millis(200))?;
    stream.set_read_timeout(Some(Duration::from_millis(500)))?;
    stream.write_all(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
    let mut head = [0; 12];
    stream.read_exact(&mut head)?;
    Ok(&head == b"HTTP/1.1 200")
}
