//! Stand-in for the fabric: sprays datagrams and connections over the entry VMs.
//!
//! It can be told to fail: `POST /control` with `drop=P copy=P delay=MS` (shares
//! in percent).

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::post;
use axum::Router;
use ppp::v2::{Builder, Command, Protocol, Version};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use wire::Vm;

use crate::topology::Client;

/// Time between looks at the platform's list of VMs.
const LOOK_EVERY: Duration = Duration::from_millis(300);
/// Largest datagram in bytes.
const DATAGRAM_MAX: usize = 2048;

/// Shares in percent, and the longest delay.
#[derive(Debug, Clone, Copy, Default)]
struct Faults {
    drop: u32,
    copy: u32,
    delay: u64,
}

struct Shared {
    vms: Vec<Vm>,
    faults: Faults,
    rng: ChaCha8Rng,
}

type Handle = Arc<Mutex<Shared>>;

fn lock(shared: &Handle) -> std::sync::MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(|e| e.into_inner())
}

impl Shared {
    fn pick(&mut self) -> Option<Vm> {
        if self.vms.is_empty() {
            return None;
        }
        let i = self.rng.random_range(0..self.vms.len());
        Some(self.vms[i].clone())
    }

    fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }
}

/// Serves every service's address until the process ends.
pub(crate) async fn serve(
    platform: SocketAddr,
    control: SocketAddr,
    seed: u64,
) -> std::io::Result<()> {
    let shared = Arc::new(Mutex::new(Shared {
        vms: Vec::new(),
        faults: Faults::default(),
        rng: ChaCha8Rng::seed_from_u64(seed),
    }));
    let app = Router::new()
        .route("/control", post(set_faults))
        .with_state(shared.clone());
    let listener = TcpListener::bind(control).await?;
    tokio::spawn(async move { axum::serve(listener, app).await });
    let client = Client::open(platform);
    let mut bound = HashSet::new();
    loop {
        if let Ok(topology) = client.topology().await {
            lock(&shared).vms = topology.vms;
            for (_, service) in topology.services {
                if bound.insert(service.address) {
                    spray(service.address, shared.clone()).await?;
                }
            }
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

async fn spray(address: SocketAddr, shared: Handle) -> std::io::Result<()> {
    let socket = Arc::new(UdpSocket::bind(address).await?);
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(spray_datagrams(address, socket, shared.clone()));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(carry(stream, shared.clone()));
        }
    });
    Ok(())
}

async fn spray_datagrams(service: SocketAddr, socket: Arc<UdpSocket>, shared: Handle) {
    let mut buffer = [0; DATAGRAM_MAX];
    loop {
        let Ok((n, caller)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let Some(datagram) = with_header(caller, service, &buffer[..n]) else {
            continue;
        };
        let copies = {
            let mut shared = lock(&shared);
            let faults = shared.faults;
            if shared.chance(faults.drop) {
                0
            } else if shared.chance(faults.copy) {
                2
            } else {
                1
            }
        };
        for _ in 0..copies {
            let (vm, delay) = {
                let mut shared = lock(&shared);
                let longest = shared.faults.delay;
                (shared.pick(), shared.rng.random_range(0..=longest))
            };
            let Some(vm) = vm else { continue };
            if delay == 0 {
                let _ = socket.send_to(&datagram, vm.datagram).await;
                continue;
            }
            let (socket, datagram) = (socket.clone(), datagram.clone());
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(delay)).await;
                let _ = socket.send_to(&datagram, vm.datagram).await;
            });
        }
    }
}

/// The datagram behind a PROXY protocol header (version 2).
pub(crate) fn with_header(
    caller: SocketAddr,
    service: SocketAddr,
    payload: &[u8],
) -> Option<Vec<u8>> {
    let header = Builder::with_addresses(
        Version::Two | Command::Proxy,
        Protocol::Datagram,
        (caller, service),
    );
    let mut datagram = header.build().ok()?;
    datagram.extend_from_slice(payload);
    Some(datagram)
}

/// Carries a connection to a VM, or to another if that one refuses.
async fn carry(mut caller: TcpStream, shared: Handle) {
    const TRIES: usize = 3;
    for _ in 0..TRIES {
        let vm = lock(&shared).pick();
        let Some(vm) = vm else { return };
        if let Ok(mut stream) = TcpStream::connect(vm.http).await {
            let _ = tokio::io::copy_bidirectional(&mut caller, &mut stream).await;
            return;
        }
    }
}

async fn set_faults(State(shared): State<Handle>, words: String) -> StatusCode {
    let mut faults = Faults::default();
    for word in words.split_whitespace() {
        let Some((name, value)) = word.split_once('=') else {
            return StatusCode::BAD_REQUEST;
        };
        let Ok(value) = value.parse::<u32>() else {
            return StatusCode::BAD_REQUEST;
        };
        match name {
            "drop" => faults.drop = value,
            "copy" => faults.copy = value,
            "delay" => faults.delay = value.into(),
            _ => return StatusCode::BAD_REQUEST,
        }
    }
    lock(&shared).faults = faults;
    StatusCode::NO_CONTENT
}
