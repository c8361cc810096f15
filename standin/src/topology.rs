//! A client of the platform for stand-ins: lists, and writes of their own objects.

use std::net::SocketAddr;

use wire::{
    Body, Lifecycle, Object, ObjectKey, PutReply, PutRequest, Service, ServiceId, Version, Vm,
    WatchReply,
};

/// What stand-ins read from the platform.
#[derive(Debug, Clone, Default)]
pub(crate) struct Topology {
    /// Entry VMs that take new traffic.
    pub(crate) vms: Vec<Vm>,
    /// Services.
    pub(crate) services: Vec<(ServiceId, Service)>,
}

/// Client of the platform.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    http: reqwest::Client,
    base: String,
}

/// Errors end a stand-in, so their text is enough.
pub(crate) type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

impl Client {
    /// A client of the platform at `address`.
    pub(crate) fn open(address: SocketAddr) -> Client {
        Client {
            http: reqwest::Client::builder()
                .no_proxy()
                .build()
                .unwrap_or_default(),
            base: format!("http://{address}/v1"),
        }
    }

    /// All objects.
    pub(crate) async fn objects(&self) -> Result<Vec<Object>> {
        let url = format!("{}/objects?from=0", self.base);
        let watch: WatchReply = self
            .http
            .get(url)
            .send()
            .await?
            .error_for_status()?
            .json()
            .await?;
        Ok(watch.objects)
    }

    /// Live VMs and services.
    pub(crate) async fn topology(&self) -> Result<Topology> {
        let mut topology = Topology::default();
        for object in self.objects().await? {
            match object.body {
                Body::Vm(vm) if vm.state == Lifecycle::Live => topology.vms.push(vm),
                Body::Service(service) => {
                    topology.services.push((object.key.name.parse()?, service));
                }
                _ => {}
            }
        }
        Ok(topology)
    }

    /// Writes an object, whatever is there.
    pub(crate) async fn write(&self, key: &ObjectKey, body: &Body) -> Result<Version> {
        let url = format!("{}/objects/{}/{}", self.base, key.kind, key.name);
        let mut expect = Version(0);
        loop {
            let put = PutRequest {
                expect,
                change: 0,
                body: body.clone(),
            };
            let reply = self
                .http
                .put(&url)
                .json(&put)
                .send()
                .await?
                .error_for_status()?;
            match reply.json().await? {
                PutReply::Written { version } => return Ok(version),
                PutReply::Conflict { current } => {
                    expect = current.map_or(Version(0), |o| o.version);
                }
            }
        }
    }
}
