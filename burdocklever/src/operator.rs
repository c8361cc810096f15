//! What operators do: edit the catalogue, take failure domains out and back,
//! and see what is in force.

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

/// Time that one VM may take to tell its status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between looks at the VMs that lag.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// An operator's command that was refused or failed.
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

/// How a catalogue file differs from what is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryDiff {
    /// The file's entry is new.
    Added(ServiceId),
    /// The file's entry differs.
    Changed(ServiceId),
    /// Both are the same.
    Unchanged(ServiceId),
    /// The entry is in force but not in the file.
    NotInFile(ServiceId),
}

/// An operator's connection to the platform, with the catalogue as read.
pub struct Operator {
    platform: PlatformClient,
    http: reqwest::Client,
    catalogue: Catalogue,
}

impl Operator {
    /// Reads the catalogue from the platform.
    ///
    /// # Errors
    ///
    /// [`Code::NoPlatform`] or [`Code::BadPlatform`].
    pub async fn open(address: Address) -> Result<Operator> {
        const CALLS: u32 = 50;
        let platform = PlatformClient::open(address, CALLS)?;
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

    /// The catalogue as it was read.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Compares a file's entries with those in force.
    pub fn diff(&self, entries: &BTreeMap<ServiceId, Service>) -> Vec<EntryDiff> {
        let mut changes = Vec::new();
        for (id, service) in entries {
            changes.push(match self.catalogue.service(id) {
                None => EntryDiff::Added(id.clone()),
                Some(known) if known == service => EntryDiff::Unchanged(id.clone()),
                Some(_) => EntryDiff::Changed(id.clone()),
            });
        }
        for (id, _) in self.catalogue.services() {
            if !entries.contains_key(id) {
                changes.push(EntryDiff::NotInFile(id.clone()));
            }
        }
        changes
    }

    /// Writes the entries that differ. Returns the version of the last write;
    /// zero if nothing had to be written.
    ///
    /// # Errors
    ///
    /// [`Code::AddressTaken`] before anything is written if an address belongs
    /// to a service that is not among the entries, [`Code::Conflict`] if
    /// another operator's change came first, or the platform's error.
    pub async fn put(&self, entries: &BTreeMap<ServiceId, Service>) -> Result<Version> {
        for (id, service) in entries {
            let holder = self.catalogue.service_at(service.address);
            let holder = holder.filter(|h| *h != id);
            if let Some(other) = holder.filter(|h| !releases(entries, h, service.address)) {
                let detail = format!("{} of {id} belongs to {other}", service.address);
                return Err(Error::new(Code::AddressTaken, detail));
            }
        }
        let mut last = Version(0);
        for change in self.diff(entries) {
            if let EntryDiff::Added(id) | EntryDiff::Changed(id) = change {
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

    /// Takes a failure domain out or brings it back. Returns the version of the
    /// write; zero if it was so already.
    ///
    /// # Errors
    ///
    /// [`Code::NotFound`], [`Code::Conflict`] or the platform's error.
    pub async fn set_domain(&self, id: &DomainId, state: DomainState) -> Result<Version> {
        let key = ObjectKey::new("domain", id);
        let known = self.catalogue.get(&key).map(|o| &o.body);
        let exists = known.is_some()
            || self.catalogue.vms().any(|v| v.domain == *id)
            || self.catalogue.all_hosts().any(|h| h.domain == *id);
        if !exists {
            return Err(Error::new(Code::NotFound, format!("failure domain {id}")));
        }
        let body = Body::Domain { state };
        if known == Some(&body) {
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
                let detail = format!("{key} is at version {now}, not {expect}; look and try again");
                Err(Error::new(Code::Conflict, detail))
            }
        }
    }

    /// Status of every VM that the platform lists as live; none for those that
    /// do not answer.
    pub async fn statuses(&self) -> Vec<(Vm, Option<Status>)> {
        let live = self.catalogue.vms().filter(|v| v.state == Lifecycle::Live);
        let asked = live.map(|vm| async {
            let url = format!("http://{}/status", vm.http);
            let reply = self.http.get(url).send().await.ok();
            let status = match reply {
                Some(reply) => reply.json().await.ok(),
                None => None,
            };
            (vm.clone(), status)
        });
        futures::future::join_all(asked).await
    }

    /// Waits until a version is in force on every VM that answers.
    ///
    /// # Errors
    ///
    /// [`Code::Lagging`] with the VMs that answer but lag, once `timeout` has
    /// passed; [`Code::NoPlatform`] if no VM answers at all.
    pub async fn wait(&self, version: Version, timeout: Duration) -> Result<Vec<VmId>> {
        let started = Instant::now();
        loop {
            let statuses = self.statuses().await;
            let known: Vec<&Status> = statuses.iter().filter_map(|(_, s)| s.as_ref()).collect();
            let behind = known.iter().filter(|s| s.version < version);
            let lagging: Vec<VmId> = behind.map(|s| s.member.vm).collect();
            if lagging.is_empty() && !known.is_empty() {
                let silent = statuses.iter().filter(|(_, s)| s.is_none());
                return Ok(silent.map(|(vm, _)| vm.member.vm).collect());
            }
            if started.elapsed() >= timeout {
                return Err(lag_error(&lagging));
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }
}

/// Whether the file itself moves `holder` to another address.
fn releases(entries: &BTreeMap<ServiceId, Service>, holder: &ServiceId, address: Address) -> bool {
    entries.get(holder).is_some_and(|s| s.address != address)
}

fn lag_error(lagging: &[VmId]) -> Error {
    if lagging.is_empty() {
        return Error::new(Code::Lagging, "no VM answers");
    }
    let names: Vec<String> = lagging.iter().map(|vm| vm.to_string()).collect();
    Error::new(Code::Lagging, format!("VMs {}", names.join(", ")))
}
