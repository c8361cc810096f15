//! Operators' commands: edit the catalogue, take failure domains out of service and
//! back, and query what is in force.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wire::{
    Address, Body, DomainId, DomainState, Lifecycle, ObjectKey, PutReply, Service, ServiceId,
    Version, Vm, VmId,
};

use crate::catalogue::{Catalogue, Delta};
use crate::code::Code;
use crate::platform_client::{self, PlatformClient};
use crate::status::Status;

/// Result of an operator's command.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Timeout of a status query to one VM.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between status queries while waiting for a change to take effect.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Failure or refusal of an operator's command.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{code} {}: {detail}", code.text())]
pub struct Error {
    /// Result code.
    pub code: Code,
    /// What happened.
    pub detail: Box<str>,
}

impl Error {
    fn new(code: Code, detail: impl Into<Box<str>>) -> Error {
        let detail = detail.into();
        Error { code, detail }
    }
}

impl From<platform_client::Error> for Error {
    fn from(error: platform_client::Error) -> Error {
        Error::new(error.code, error.detail)
    }
}

/// Comparison of one entry of a catalogue file with the one in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryDiff {
    /// The entry is only in the file.
    Added(ServiceId),
    /// The entries differ.
    Changed(ServiceId),
    /// The entries are the same.
    Unchanged(ServiceId),
    /// The entry is only in force.
    NotInFile(ServiceId),
}

/// An operator's client of the platform, with a snapshot of the catalogue.
pub struct Operator {
    platform: PlatformClient,
    http: reqwest::Client,
    catalogue: Catalogue,
}

impl Operator {
    /// Connects to the platform and reads the catalogue.
    ///
    /// # Errors
    ///
    /// [`Code::NoPlatform`] or [`Code::BadPlatform`].
    pub async fn open(address: Address) -> Result<Operator> {
        const CALLS_PER_SECOND: u32 = 50;
        let platform = PlatformClient::open(address, CALLS_PER_SECOND)?;
        let watch = platform.list(Version(0)).await?;
        let mut catalogue = Catalogue::default();
        catalogue.apply(Delta {
            from: Version(0),
            through: watch.version,
            objects: watch.objects,
        });
        let http = reqwest::Client::builder()
            .timeout(STATUS_TIMEOUT)
            .no_proxy()
            .build()
            .map_err(|e| Error::new(Code::NoPlatform, e.to_string()))?;
        Ok(Operator {
            platform,
            http,
            catalogue,
        })
    }

    /// The catalogue as read when the client was opened.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Compares a file's entries with those in force.
    pub fn diff(&self, entries: &BTreeMap<ServiceId, Service>) -> Vec<EntryDiff> {
        let mut diffs = Vec::new();
        for (id, service) in entries {
            diffs.push(match self.catalogue.service(id) {
                None => EntryDiff::Added(id.clone()),
                Some(current) if current == service => EntryDiff::Unchanged(id.clone()),
                Some(_) => EntryDiff::Changed(id.clone()),
            });
        }
        for (id, _) in self.catalogue.services() {
            if !entries.contains_key(id) {
                diffs.push(EntryDiff::NotInFile(id.clone()));
            }
        }
        diffs
    }

    /// Writes the entries that differ. Returns the version of the last write, or
    /// zero if nothing had to be written.
    ///
    /// # Errors
    ///
    /// [`Code::AddressTaken`] if an address belongs to another service, unless
    /// `entries` give that service a different one; nothing is written then.
    /// [`Code::Conflict`] if an entry was changed concurrently, or the platform's
    /// error.
    pub async fn put(&self, entries: &BTreeMap<ServiceId, Service>) -> Result<Version> {
        for (id, service) in entries {
            let owner = self.catalogue.service_at(service.address);
            let owner = owner.filter(|o| *o != id);
            if let Some(other) = owner.filter(|o| !releases(entries, o, service.address)) {
                let detail = format!("{} of {id} belongs to {other}", service.address);
                return Err(Error::new(Code::AddressTaken, detail));
            }
        }
        let mut last = Version(0);
        for diff in self.diff(entries) {
            if let EntryDiff::Added(id) | EntryDiff::Changed(id) = diff {
                let body = Body::Service(entries[&id].clone());
                last = self.write(&ObjectKey::new("service", &id), body).await?;
            }
        }
        Ok(last)
    }

    /// Removes a service's entry. Returns the version of the write.
    ///
    /// # Errors
    ///
    /// [`Code::NotFound`], [`Code::Conflict`] or the platform's error.
    pub async fn remove(&self, id: &ServiceId) -> Result<Version> {
        if self.catalogue.service(id).is_none() {
            return Err(Error::new(Code::NotFound, format!("service {id}")));
        }
        self.write(&ObjectKey::new("service", id), Body::Removed)
            .await
    }

    /// Takes a failure domain out of service or back. Returns the version of the
    /// write, or zero if it was in that state already.
    ///
    /// # Errors
    ///
    /// [`Code::NotFound`], [`Code::Conflict`] or the platform's error.
    pub async fn set_domain(&self, id: &DomainId, state: DomainState) -> Result<Version> {
        let key = ObjectKey::new("domain", id);
        let current = self.catalogue.get(&key).map(|o| &o.body);
        let exists = current.is_some()
            || self.catalogue.vms().any(|v| v.domain == *id)
            || self.catalogue.all_hosts().any(|h| h.domain == *id);
        if !exists {
            return Err(Error::new(Code::NotFound, format!("failure domain {id}")));
        }
        let body = Body::Domain { state };
        if current == Some(&body) {
            return Ok(Version(0));
        }
        self.write(&key, body).await
    }

    async fn write(&self, key: &ObjectKey, body: Body) -> Result<Version> {
        let expect = self.catalogue.version(key);
        match self.platform.put(key, expect, body).await? {
            PutReply::Written { version } => Ok(version),
            PutReply::Conflict { current } => {
                let now = current.map_or(Version(0), |o| o.version);
                let detail =
                    format!("{key} is at version {now}, not {expect}; read it again and retry");
                Err(Error::new(Code::Conflict, detail))
            }
        }
    }

    /// Status of every VM that the platform lists as live, or nothing for a VM that
    /// does not answer.
    pub async fn statuses(&self) -> Vec<(Vm, Option<Status>)> {
        let live = self.catalogue.vms().filter(|v| v.state == Lifecycle::Live);
        let queries = live.map(|vm| async {
            let url = format!("http://{}/status", vm.http);
            let reply = self.http.get(url).send().await.ok();
            let status = match reply {
                Some(reply) => reply.json().await.ok(),
                None => None,
            };
            (vm.clone(), status)
        });
        futures::future::join_all(queries).await
    }

    /// Waits until a version is in force on every VM that answers. Returns the VMs
    /// that do not answer.
    ///
    /// # Errors
    ///
    /// [`Code::Lagging`] if `timeout` has passed and a VM answers with an older
    /// version, or no VM answers.
    pub async fn wait(&self, version: Version, timeout: Duration) -> Result<Vec<VmId>> {
        let started = Instant::now();
        loop {
            let statuses = self.statuses().await;
            let answered: Vec<&Status> = statuses.iter().filter_map(|(_, s)| s.as_ref()).collect();
            let behind = answered.iter().filter(|s| s.version < version);
            let lagging: Vec<VmId> = behind.map(|s| s.member.vm).collect();
            if lagging.is_empty() && !answered.is_empty() {
                let silent = statuses.iter().filter(|(_, s)| s.is_none());
                return Ok(silent.map(|(vm, _)| vm.member.vm).collect());
            }
            if started.elapsed() >= timeout {
                return Err(lag_error(&lagging));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Whether `entries` give the service `owner` an address other than `address`.
fn releases(entries: &BTreeMap<ServiceId, Service>, owner: &ServiceId, address: Address) -> bool {
    entries.get(owner).is_some_and(|s| s.address != address)
}

fn lag_error(lagging: &[VmId]) -> Error {
    if lagging.is_empty() {
        return Error::new(Code::Lagging, "no VM answers");
    }
    let names: Vec<String> = lagging.iter().map(|vm| vm.to_string()).collect();
    Error::new(Code::Lagging, format!("VMs {}", names.join(", ")))
}
