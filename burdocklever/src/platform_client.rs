//! Client of the platform's object API.
//!
//! Calls are rate limited and have timeouts; the code that makes them retries with
//! jittered backoff. A write whose reply was lost is resolved by reading the
//! object back, since it contains the change id of its last write.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use wire::{Address, Body, Object, ObjectKey, PutReply, PutRequest, Version, WatchReply};

use crate::code::Code;
use crate::raw_json;
use crate::rendezvous;

/// Result of a call to the platform or to a peer.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// A call to the platform or to a peer that failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{code} {}: {detail}", code.text())]
pub struct Error {
    /// Result code, such as [`Code::NoPlatform`] or [`Code::NoPeer`].
    pub code: Code,
    /// Cause of the failure.
    pub detail: Box<str>,
}

/// Timeout of a call, beyond the long-poll time of a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Long-poll time of a watch.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Attempts to read back an object whose write got no usable reply.
const READ_BACK_ATTEMPTS: u32 = 3;
/// Shortest and longest pause between retries.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Token bucket of calls, with a burst of one second.
#[derive(Debug)]
struct Bucket {
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// Takes a token. If there is none, returns the time until there is one.
    fn take(&mut self, now: Instant) -> Option<Duration> {
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate);
        self.refilled_at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return None;
        }
        Some(Duration::from_secs_f64((1.0 - self.tokens) / self.rate))
    }
}

/// A rate-limited client of the platform.
#[derive(Debug)]
pub struct PlatformClient {
    http: reqwest::Client,
    base: Box<str>,
    bucket: Mutex<Bucket>,
}

impl PlatformClient {
    /// Creates a client of the platform at `address` that makes at most `calls` calls
    /// per second.
    ///
    /// # Errors
    ///
    /// [`Code::NoPlatform`] if the HTTP client cannot be created.
    pub fn open(address: Address, calls: u32) -> Result<PlatformClient> {
        let http = reqwest::Client::builder()
            .connect_timeout(CALL_TIMEOUT)
            .no_proxy()
            .build()
            .map_err(transport_error)?;
        let rate = f64::from(calls);
        Ok(PlatformClient {
            http,
            base: format!("http://{address}/v1").into(),
            bucket: Mutex::new(Bucket {
                rate,
                tokens: rate,
                refilled_at: Instant::now(),
            }),
        })
    }

    async fn wait_for_token(&self) {
        loop {
            let wait = match self.bucket.lock() {
                Ok(mut bucket) => bucket.take(Instant::now()),
                Err(_) => None,
            };
            match wait {
                None => return,
                Some(wait) => tokio::time::sleep(wait).await,
            }
        }
    }

    /// Returns all objects changed after a revision.
    ///
    /// # Errors
    ///
    /// [`Code::NoPlatform`] or [`Code::BadPlatform`].
    pub async fn list(&self, from: Version) -> Result<WatchReply> {
        let url = format!("{}/objects?from={from}", self.base);
        self.read(url, CALL_TIMEOUT).await
    }

    /// Long-polls for objects changed after a revision; empty if none change meanwhile.
    ///
    /// # Errors
    ///
    /// [`Code::NoPlatform`] or [`Code::BadPlatform`].
    pub async fn watch(&self, from: Version) -> Result<WatchReply> {
        let wait = WATCH_WAIT.as_millis();
        let url = format!("{}/watch?from={from}&wait_ms={wait}", self.base);
        self.read(url, WATCH_WAIT + CALL_TIMEOUT).await
    }

    async fn read(&self, url: String, timeout: Duration) -> Result<WatchReply> {
        self.wait_for_token().await;
        let request = self.http.get(url).timeout(timeout);
        let reply = request.send().await.map_err(transport_error)?;
        let reply = reply.error_for_status().map_err(transport_error)?;
        let body = reply.bytes().await.map_err(transport_error)?;
        let (reply, skipped) = parse_objects(&body).map_err(invalid_response)?;
        if skipped > 0 {
            log::warn!(target: "platform", "{skipped} objects of the platform cannot be used.");
        }
        Ok(reply)
    }

    /// Returns the object with this key, if it exists.
    ///
    /// # Errors
    ///
    /// [`Code::NoPlatform`] or [`Code::BadPlatform`].
    pub async fn get(&self, key: &ObjectKey) -> Result<Option<Object>> {
        self.wait_for_token().await;
        let request = self.http.get(self.url(key)).timeout(CALL_TIMEOUT);
        let reply = request.send().await.map_err(transport_error)?;
        if reply.status() == reqwest::StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let reply = reply.error_for_status().map_err(transport_error)?;
        reply.json().await.map(Some).map_err(invalid_response)
    }

    /// Writes an object if its version is still `expect`.
    ///
    /// # Errors
    ///
    /// [`Code::NoPlatform`] or [`Code::BadPlatform`] if the write got no usable reply
    /// and reading the object back did not show its outcome.
    pub async fn put(&self, key: &ObjectKey, expect: Version, body: Body) -> Result<PutReply> {
        let change = change_id(key);
        let put = PutRequest {
            expect,
            change,
            body,
        };
        self.wait_for_token().await;
        let request = self
            .http
            .put(self.url(key))
            .timeout(CALL_TIMEOUT)
            .json(&put);
        match request
            .send()
            .await
            .and_then(reqwest::Response::error_for_status)
        {
            Ok(reply) => match reply.json().await {
                Ok(reply) => Ok(reply),
                Err(_) => self.read_back(key, expect, change).await,
            },
            Err(_) => self.read_back(key, expect, change).await,
        }
    }

    /// Finds out whether a write whose reply was lost took effect. While the object
    /// still has the expected version, the write may yet arrive.
    async fn read_back(&self, key: &ObjectKey, expect: Version, change: u64) -> Result<PutReply> {
        let mut last_error = transport_error("outcome of the write is unknown");
        for attempt in 0..READ_BACK_ATTEMPTS {
            tokio::time::sleep(backoff(attempt)).await;
            match self.get(key).await {
                Ok(Some(object)) if object.change == change => {
                    return Ok(PutReply::Written {
                        version: object.version,
                    });
                }
                Ok(Some(object)) if object.version > expect => {
                    return Ok(PutReply::Conflict {
                        current: Some(Box::new(object)),
                    });
                }
                Ok(_) => {}
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    fn url(&self, key: &ObjectKey) -> String {
        format!("{}/objects/{}/{}", self.base, key.kind, key.name)
    }
}

/// Reads changed objects, and counts those that cannot be used. They must not affect the
/// others. A target that was usable before is removed; what operators wrote stays in force.
fn parse_objects(body: &[u8]) -> std::result::Result<(WatchReply, usize), Box<str>> {
    let fail = |e: raw_json::Error| e.to_string();
    let members = raw_json::members(body).map_err(fail)?;
    let field = |name: &str| {
        let value = raw_json::value_of(&members, name);
        value.ok_or_else(|| format!("expected `{name}` in the response"))
    };
    let version = raw_json::read(field("version")?).ok_or("expected a version number")?;
    let (mut objects, mut skipped) = (Vec::new(), 0);
    for object in raw_json::elements(field("objects")?).map_err(fail)? {
        let usable = raw_json::read::<Object>(object).filter(Object::is_consistent);
        skipped += usize::from(usable.is_none());
        objects.extend(usable.or_else(|| removed_host(object)));
    }
    Ok((WatchReply { version, objects }, skipped))
}

/// Tombstone of a target whose object cannot be used.
fn removed_host(object: &[u8]) -> Option<Object> {
    let members = raw_json::members(object).ok()?;
    let key: ObjectKey = raw_json::read(raw_json::value_of(&members, "key")?)?;
    let version = raw_json::read(raw_json::value_of(&members, "version")?)?;
    let removed = Object {
        key,
        version,
        change: 0,
        body: Body::Removed,
    };
    (&*removed.key.kind == "host" && removed.is_consistent()).then_some(removed)
}

/// Exponential backoff before retry `attempt`, counted from 0. Half of it is random.
pub(crate) fn backoff(attempt: u32) -> Duration {
    let full = BACKOFF_MIN
        .saturating_mul(1 << attempt.min(10))
        .min(BACKOFF_MAX);
    let half = full / 2;
    half + half.mul_f64(jitter())
}

/// A random number from 0 to 1.
pub(crate) fn jitter() -> f64 {
    (nonce() >> 11) as f64 / (1u64 << 53) as f64
}

/// A random number that differs between processes and calls.
fn nonce() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.finish()
}

fn change_id(key: &ObjectKey) -> u64 {
    nonce() ^ rendezvous::hash(key.to_string().as_bytes())
}

fn transport_error(error: impl std::fmt::Display) -> Error {
    Error {
        code: Code::NoPlatform,
        detail: error.to_string().into(),
    }
}

fn invalid_response(error: impl std::fmt::Display) -> Error {
    Error {
        code: Code::BadPlatform,
        detail: error.to_string().into(),
    }
}
