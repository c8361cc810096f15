//! Daemon of an entry VM that handles packets with marks and HTTP requests.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use tokio::signal::unix::{signal, SignalKind};
use tokio_util::sync::CancellationToken;
use wire::{Body, Incarnation, Lifecycle, Member, ObjectKey, Version, Vm};

use crate::catalogue::Delta;
use crate::code::Code;
use crate::driver::Driver;
use crate::event::Event;
use crate::http_server::{self, HttpState};
use crate::metrics::Metrics;
use crate::node::Node;
use crate::peer;
use crate::platform_client::{backoff, PlatformClient};
use crate::settings::Settings;

/// Result of running a daemon.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Failure to start or run a daemon.
#[derive(Debug, thiserror::Error)]
#[error("{code} {}: {detail}", code.text())]
pub struct Error {
    /// Result code.
    pub code: Code,
    /// What failed.
    pub detail: Box<str>,
}

/// Pause between two watch calls, so that a burst of changes needs few calls.
const WATCH_PAUSE: Duration = Duration::from_millis(200);
/// Interval at which a VM that does not watch the platform polls it.
const POLL_INTERVAL: Duration = Duration::from_secs(30);

/// The error of a part that cannot be set up, such as a socket or a signal handler.
pub(crate) fn bind_error(error: impl std::fmt::Display) -> Error {
    Error {
        code: Code::NoBind,
        detail: error.to_string().into(),
    }
}

/// A running entry VM.
pub struct Daemon {
    driver: Arc<Driver>,
    platform: Arc<PlatformClient>,
    vm: Vm,
    settings: Settings,
    http_shutdown: CancellationToken,
    http_server: tokio::task::JoinHandle<()>,
}

impl Daemon {
    /// Binds all addresses, starts serving and registers the VM with the platform. The
    /// VM is not registered if an address cannot be bound.
    ///
    /// # Errors
    ///
    /// [`Code::NoBind`] if an address cannot be bound.
    pub async fn spawn(settings: Settings) -> Result<Daemon> {
        let platform =
            PlatformClient::open(settings.platform, settings.calls).map_err(bind_error)?;
        let platform = Arc::new(platform);
        let member = Member {
            vm: settings.vm,
            incarnation: new_incarnation(),
        };
        let started = Instant::now();
        let node = Node::new(crate::time::Time(0), member, settings.domain.clone());
        let driver = Driver::spawn(node, started, settings.datagram, platform.clone())
            .await
            .map_err(bind_error)?;
        peer::serve(settings.peer, driver.clone())
            .await
            .map_err(bind_error)?;
        let http_shutdown = CancellationToken::new();
        let state = HttpState {
            driver: driver.clone(),
            metrics: Arc::new(Metrics::open().map_err(bind_error)?),
        };
        let stop = http_shutdown.clone().cancelled_owned();
        let http_server = http_server::serve(settings.http, state, stop)
            .await
            .map_err(bind_error)?;
        let vm = Vm {
            member,
            domain: settings.domain.clone(),
            datagram: settings.datagram,
            peer: settings.peer,
            http: settings.http,
            state: Lifecycle::Live,
        };
        tokio::spawn(register(platform.clone(), vm.clone()));
        tokio::spawn(sync_catalogue(platform.clone(), driver.clone()));
        Ok(Daemon {
            driver,
            platform,
            vm,
            settings,
            http_shutdown,
            http_server,
        })
    }

    /// Serves until SIGTERM or SIGINT, then leaves the cell and finishes the
    /// requests in progress. A second signal or the `[stop] timeout` setting
    /// ends the wait. Returns the number of requests that were aborted.
    ///
    /// # Errors
    ///
    /// [`Code::NoBind`] if a signal handler cannot be installed.
    pub async fn run(self) -> Result<usize> {
        let mut term = signal(SignalKind::terminate()).map_err(bind_error)?;
        let mut int = signal(SignalKind::interrupt()).map_err(bind_error)?;
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        log::info!(target: "daemon", "Stopping.");
        self.driver.feed(Event::Stop);
        tokio::spawn(write_state(
            self.platform.clone(),
            self.vm.clone(),
            Lifecycle::Leaving,
        ));
        let timeout = Duration::from_millis(self.settings.stop.0);
        tokio::select! {
            () = self.drain() => log::info!(target: "daemon", "All requests in progress finished."),
            _ = term.recv() => log::warn!(target: "daemon", "Second signal received; stopping now."),
            _ = int.recv() => log::warn!(target: "daemon", "Second signal received; stopping now."),
            () = tokio::time::sleep(timeout) => log::warn!(target: "daemon", "Stop timeout expired."),
        }
        let aborted = self.driver.read(|n| n.in_progress());
        if aborted > 0 {
            log::warn!(target: "daemon", "{aborted} requests aborted.");
        }
        let write = write_state(self.platform.clone(), self.vm.clone(), Lifecycle::Gone);
        let _ = tokio::time::timeout(Duration::from_secs(1), write).await;
        Ok(aborted)
    }

    /// Waits until the node has stopped and the HTTP server has answered all
    /// open connections.
    async fn drain(&self) {
        self.driver.stopped.cancelled().await;
        self.http_shutdown.cancel();
        while !self.http_server.is_finished() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Incarnation of this process: its start in milliseconds of Unix time, so it is
/// above that of earlier processes of the VM.
pub(crate) fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Incarnation(since.map_or(0, |d| d.as_millis() as u64))
}

/// Registers this VM with the platform, replacing the entry of an earlier
/// incarnation.
async fn register(platform: Arc<PlatformClient>, vm: Vm) {
    let mut attempt = 0;
    while !write_state(platform.clone(), vm.clone(), Lifecycle::Live).await {
        tokio::time::sleep(backoff(attempt)).await;
        attempt += 1;
    }
    log::info!(target: "daemon", "VM {} registered with the platform.", vm.member.vm);
}

/// Writes the VM's state unless a later incarnation has written its own.
/// Returns whether the entry is up to date.
async fn write_state(platform: Arc<PlatformClient>, mut vm: Vm, state: Lifecycle) -> bool {
    vm.state = state;
    let key = ObjectKey::new("vm", vm.member.vm);
    let current = match platform.get(&key).await {
        Ok(current) => current,
        Err(_) => return false,
    };
    let version = current.as_ref().map_or(Version(0), |o| o.version);
    if let Some(Body::Vm(other)) = current.map(|o| o.body) {
        if other.member.incarnation > vm.member.incarnation {
            return true;
        }
    }
    let reply = platform.put(&key, version, Body::Vm(vm)).await;
    matches!(reply, Ok(wire::PutReply::Written { .. }))
}

/// Feeds the platform's changes to the node. Learns of them by watch calls while
/// this VM is one of its cell's watchers, otherwise by polling.
async fn sync_catalogue(platform: Arc<PlatformClient>, driver: Arc<Driver>) {
    let mut watching = driver.watching();
    let mut attempt = 0;
    loop {
        let mut from = driver.read(|n| n.catalogue().revision());
        let result = if from == Version(0) {
            platform.list(from).await
        } else if *watching.borrow_and_update() {
            tokio::select! {
                result = platform.watch(from) => result,
                _ = watching.changed() => continue,
            }
        } else {
            let _ = tokio::time::timeout(POLL_INTERVAL, watching.changed()).await;
            from = driver.read(|n| n.catalogue().revision());
            platform.list(from).await
        };
        match result {
            Ok(watch) => {
                if attempt > 0 {
                    log::info!(target: "platform", "Platform reachable again.");
                }
                attempt = 0;
                driver.feed(Event::CatalogueDelta(Delta {
                    from,
                    through: watch.version,
                    objects: watch.objects,
                }));
                tokio::time::sleep(WATCH_PAUSE).await;
            }
            Err(error) => {
                if attempt == 0 {
                    log::warn!(target: "platform", "Going on with what is known: {error}.");
                }
                tokio::time::sleep(backoff(attempt)).await;
                attempt += 1;
            }
        }
    }
}
