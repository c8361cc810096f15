//! The daemon of an entry VM.

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

/// A daemon that could not start.
#[derive(Debug, thiserror::Error)]
#[error("{code} {}: {detail}", code.text())]
pub struct Error {
    /// Result code.
    pub code: Code,
    /// What failed.
    pub detail: Box<str>,
}

/// Time between two watches, so that a burst of changes costs few calls.
const WATCH_PAUSE: Duration = Duration::from_millis(200);
/// Time between looks at the platform while a peer watches it.
const LOOK_EVERY: Duration = Duration::from_secs(30);

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
    closing: CancellationToken,
    http: tokio::task::JoinHandle<()>,
}

impl Daemon {
    /// Binds all addresses and starts to serve. Nothing runs if one fails.
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
        peer::bind(settings.peer, driver.clone())
            .await
            .map_err(bind_error)?;
        let closing = CancellationToken::new();
        let state = HttpState {
            driver: driver.clone(),
            metrics: Arc::new(Metrics::open().map_err(bind_error)?),
        };
        let stop = closing.clone().cancelled_owned();
        let http = http_server::bind(settings.http, state, stop)
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
        tokio::spawn(follow(platform.clone(), driver.clone()));
        Ok(Daemon {
            driver,
            platform,
            vm,
            settings,
            closing,
            http,
        })
    }

    /// Serves until SIGTERM or SIGINT, then stops: leaves the cell, finishes
    /// what is in progress and exits. A second signal or the settings' timeout
    /// cuts it short. Returns the number of requests that were cut.
    ///
    /// # Errors
    ///
    /// [`Code::NoBind`] if signals cannot be received.
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
            () = self.drained() => log::info!(target: "daemon", "Nothing left in progress."),
            _ = term.recv() => log::warn!(target: "daemon", "Stopped by a second signal."),
            _ = int.recv() => log::warn!(target: "daemon", "Stopped by a second signal."),
            () = tokio::time::sleep(timeout) => log::warn!(target: "daemon", "Stop took too long."),
        }
        let cut = self.driver.read(|n| n.in_progress());
        if cut > 0 {
            log::warn!(target: "daemon", "{cut} requests cut.");
        }
        let last = write_state(self.platform.clone(), self.vm.clone(), Lifecycle::Gone);
        let _ = tokio::time::timeout(Duration::from_secs(1), last).await;
        Ok(cut)
    }

    /// Resolves once the node has stopped and open connections are answered.
    async fn drained(&self) {
        self.driver.stopped.cancelled().await;
        self.closing.cancel();
        while !self.http.is_finished() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// An incarnation above that of earlier lives of the VM.
pub(crate) fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Incarnation(since.map_or(0, |d| d.as_millis() as u64))
}

/// Lists this VM in the platform, whatever an earlier life left there.
async fn register(platform: Arc<PlatformClient>, vm: Vm) {
    let mut attempt = 0;
    while !write_state(platform.clone(), vm.clone(), Lifecycle::Live).await {
        tokio::time::sleep(backoff(attempt)).await;
        attempt += 1;
    }
    log::info!(target: "daemon", "VM {} listed.", vm.member.vm);
}

/// Writes the VM's state unless a later life has written its own.
async fn write_state(platform: Arc<PlatformClient>, mut vm: Vm, state: Lifecycle) -> bool {
    vm.state = state;
    let key = ObjectKey::new("vm", vm.member.vm);
    let known = match platform.get(&key).await {
        Ok(known) => known,
        Err(_) => return false,
    };
    let version = known.as_ref().map_or(Version(0), |o| o.version);
    if let Some(Body::Vm(other)) = known.map(|o| o.body) {
        if other.member.incarnation > vm.member.incarnation {
            return true;
        }
    }
    let reply = platform.put(&key, version, Body::Vm(vm)).await;
    matches!(reply, Ok(wire::PutReply::Written { .. }))
}

/// Follows the platform's objects: by a watch while this VM is one of its
/// cell's watchers, else by a look now and then.
async fn follow(platform: Arc<PlatformClient>, driver: Arc<Driver>) {
    let mut watching = driver.watching();
    let mut attempt = 0;
    loop {
        let mut from = driver.read(|n| n.catalogue().through());
        let result = if from == Version(0) {
            platform.list(from).await
        } else if *watching.borrow_and_update() {
            tokio::select! {
                result = platform.watch(from) => result,
                _ = watching.changed() => continue,
            }
        } else {
            let _ = tokio::time::timeout(LOOK_EVERY, watching.changed()).await;
            from = driver.read(|n| n.catalogue().through());
            platform.list(from).await
        };
        match result {
            Ok(watch) => {
                if attempt > 0 {
                    log::info!(target: "platform", "Platform reached again.");
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
