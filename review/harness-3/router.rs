//! The platform's routers: probe each daemon and choose one for each packet.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::gateway::{is_ready, Ports};
use crate::record::Record;

/// Interval of the probes, and the misses in a row after which a daemon is out of rotation.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const MISSES_MAX: u32 = 2;

struct Daemon {
    ip: Ipv4Addr,
    zone: String,
    /// Whether it is in rotation, and the probes missed in a row.
    rotation: bool,
    missed: u32,
}

/// Routers for the packets of one zone's consumers.
#[derive(Clone)]
pub struct Router {
    daemons: Arc<Mutex<Vec<Daemon>>>,
    ports: Ports,
    zone: &'static str,
}

impl Router {
    pub fn spawn(ports: Ports, record: &Record, zone: &'static str) -> Router {
        let router = Router {
            daemons: Arc::default(),
            ports,
            zone,
        };
        let (probing, record) = (router.clone(), record.clone());
        std::thread::spawn(move || loop {
            let start = Instant::now();
            probing.probe(&record);
            std::thread::sleep(PROBE_INTERVAL.saturating_sub(start.elapsed()));
        });
        router
    }

    /// Adds a daemon, unless it is known.
    pub fn add(&self, ip: Ipv4Addr, zone: &str) {
        let mut daemons = self.daemons.lock().unwrap();
        if daemons.iter().all(|d| d.ip != ip) {
            daemons.push(Daemon {
                ip,
                zone: zone.into(),
                rotation: false,
                missed: 0,
            });
        }
    }

    /// The daemon for a packet, by the hash of its flow: one of the zone's in rotation, of all
    /// of the zone's if fewer than half are, of the other zones if none is.
    pub fn choose(&self, hash: u32) -> Option<SocketAddrV4> {
        let daemons = self.daemons.lock().unwrap();
        let local: Vec<&Daemon> = daemons.iter().filter(|d| d.zone == self.zone).collect();
        let ready: Vec<&Daemon> = local.iter().copied().filter(|d| d.rotation).collect();
        let chosen = match ready.len() {
            0 => daemons.iter().filter(|d| d.rotation).collect(),
            n if n * 2 < local.len() => local,
            _ => ready,
        };
        let daemon = chosen.get(hash as usize % chosen.len().max(1))?;
        Some(SocketAddrV4::new(daemon.ip, self.ports.datagram))
    }

    fn probe(&self, record: &Record) {
        let ips: Vec<Ipv4Addr> = self.daemons.lock().unwrap().iter().map(|d| d.ip).collect();
        for ip in ips {
            let ready = is_ready(SocketAddrV4::new(ip, self.ports.ready)).unwrap_or(false);
            let mut daemons = self.daemons.lock().unwrap();
            let Some(daemon) = daemons.iter_mut().find(|d| d.ip == ip) else {
                continue;
            };
            daemon.missed = if ready { 0 } else { daemon.missed + 1 };
            let rotation = ready || (daemon.rotation && daemon.missed < MISSES_MAX);
            if rotation != daemon.rotation {
                record.line(&format!("daemon {ip} is in rotation: {rotation}"));
            }
            daemon.rotation = rotation;
        }
    }
}
