//! Remote procedure calls between entry VMs.
//!
//! Packets and short messages are sent over tarpc. Bulk messages (catalogue, claims,
//! pins) are sent as MessagePack over HTTP, see [`crate::http_server`].

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt;
use serde::{Deserialize, Serialize};
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::sync::Mutex;
use wire::{Address, HostId};

use crate::code::Code;
use crate::driver::Driver;
use crate::event::Packet;
use crate::msg::{Envelope, Msg};

/// Timeout of a remote call.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for connecting to another VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest tarpc frame in bytes.
const MAX_FRAME_BYTES: usize = 1 << 20;
/// Calls that the server runs concurrently for one connection.
const MAX_CONCURRENT_CALLS: usize = 1024;

/// Result of a remote call.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// A VM that could not be reached or did not answer in time.
#[derive(Debug, thiserror::Error)]
#[error("peer not reached: {0}")]
pub(crate) struct Error(Box<str>);

/// Result of forwarding a packet to another VM.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) enum ForwardOutcome {
    /// Sent to this target.
    Delivered(HostId),
    /// Dropped for this reason.
    Dropped(Code),
}

#[tarpc::service]
pub(crate) trait Peer {
    /// Handles a forwarded packet: delivers it to its target or drops it.
    async fn pass(packet: Packet, hint: Option<HostId>, datagram: Bytes) -> ForwardOutcome;
    /// Handles a message.
    async fn tell(envelope: Envelope);
}

#[derive(Clone)]
struct Server(Arc<Driver>);

impl Peer for Server {
    async fn pass(
        self,
        _: tarpc::context::Context,
        packet: Packet,
        hint: Option<HostId>,
        datagram: Bytes,
    ) -> ForwardOutcome {
        self.0.handle_peer_packet(packet, hint, datagram).await
    }

    async fn tell(self, _: tarpc::context::Context, envelope: Envelope) {
        self.0.handle_message(envelope);
    }
}

/// Serves remote calls at `address` in the returned task.
pub(crate) async fn serve(
    address: Address,
    driver: Arc<Driver>,
) -> std::io::Result<tokio::task::JoinHandle<()>> {
    let mut listener = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
    listener.config_mut().max_frame_length(MAX_FRAME_BYTES);
    Ok(tokio::spawn(async move {
        while let Some(transport) = listener.next().await {
            let Ok(transport) = transport else { continue };
            let server = Server(driver.clone());
            let calls = BaseChannel::with_defaults(transport)
                .max_concurrent_requests(MAX_CONCURRENT_CALLS)
                .execute(server.serve())
                .for_each(|call| async move {
                    tokio::spawn(call);
                });
            tokio::spawn(calls);
        }
    }))
}

/// Clients of other VMs, connected on demand.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    clients: Mutex<HashMap<Address, PeerClient>>,
}

impl Peers {
    async fn client(&self, address: Address) -> Result<PeerClient> {
        let mut clients = self.clients.lock().await;
        if let Some(client) = clients.get(&address) {
            return Ok(client.clone());
        }
        drop(clients);
        let mut connect = tarpc::serde_transport::tcp::connect(address, Bincode::default);
        connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let transport = tokio::time::timeout(CONNECT_TIMEOUT, connect)
            .await
            .map_err(|_| Error("connecting timed out".into()))?
            .map_err(|e| Error(e.to_string().into()))?;
        let client = PeerClient::new(tarpc::client::Config::default(), transport).spawn();
        clients = self.clients.lock().await;
        Ok(clients.entry(address).or_insert(client).clone())
    }

    /// Removes a client whose connection failed, so that the next call reconnects.
    async fn remove_client(&self, address: Address) {
        self.clients.lock().await.remove(&address);
    }

    pub(crate) async fn forward_packet(
        &self,
        address: Address,
        packet: Packet,
        hint: Option<HostId>,
        datagram: Bytes,
    ) -> Result<ForwardOutcome> {
        let client = self.client(address).await?;
        let reply = client.pass(call_context(), packet, hint, datagram).await;
        self.check_reply(address, reply).await
    }

    pub(crate) async fn send_message(&self, address: Address, envelope: Envelope) -> Result<()> {
        let client = self.client(address).await?;
        let reply = client.tell(call_context(), envelope).await;
        self.check_reply(address, reply).await
    }

    async fn check_reply<T>(
        &self,
        address: Address,
        reply: std::result::Result<T, tarpc::client::RpcError>,
    ) -> Result<T> {
        match reply {
            Ok(value) => Ok(value),
            Err(error) => {
                self.remove_client(address).await;
                Err(Error(error.to_string().into()))
            }
        }
    }
}

fn call_context() -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + CALL_TIMEOUT;
    context
}

/// Whether a message is sent as MessagePack over HTTP.
pub(crate) fn is_bulk(msg: &Msg) -> bool {
    matches!(msg, Msg::Delta(_) | Msg::Handover { .. } | Msg::Pins(_))
}
