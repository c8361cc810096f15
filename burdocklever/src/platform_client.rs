//! Client of the platform's object API.
//!
//! Calls are limited to this VM's share, time out, and are retried with
//! jittered backoff by their callers. A write whose answer was lost is resolved
//! by reading the object back: it carries the writer's change id.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use wire::{Address, Body, Object, ObjectKey, PutReply, PutRequest, Version, WatchReply};

use crate::code::Code;
use crate::rendezvous;

/// Result of a platform call.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// A platform call that gave no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{code} {}: {detail}", code.text())]
pub struct Error {
    /// [`Code::NoPlatform`], [`Code::BadPlatform`] or [`Code::NotFound`].
    pub code: Code,
    /// What happened.
    pub detail: Box<str>,
}

/// Time that a call other than a watch may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Reads that resolve a write whose answer was lost.
const READ_BACKS: u32 = 3;
/// Shortest and longest pause between retries.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Token bucket that holds one second's worth of calls.
#[derive(Debug)]
struct Bucket {
    rate: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    /// Takes a token. Returns how long to wait if there is none.
    fn take(&mut self, now: Instant) -> Option<Duration> {
        let passed = now.duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.rate);
        self.filled = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return None;
        }
        Some(Duration::from_secs_f64((1.0 - self.tokens) / self.rate))
    }
}

/// A client that keeps to its share of calls.
#[derive(Debug)]
pub struct PlatformClient {
    http: reqwest::Client,
    base: Box<str>,
    bucket: Mutex<Bucket>,
}

impl PlatformClient {
    /// A client of the platform at `address` that makes at most `calls` a second.
    ///
    /// # Errors
    ///
    /// [`Code::NoPlatform`] if the HTTP client cannot be set up.
    pub fn open(address: Address, calls: u32) -> Result<PlatformClient> {
        let http = reqwest::Client::builder()
            .connect_timeout(CALL_TIMEOUT)
            .no_proxy()
            .build()
            .map_err(no_platform)?;
        let rate = f64::from(calls);
        Ok(PlatformClient {
            http,
            base: format!("http://{address}/v1").into(),
            bucket: Mutex::new(Bucket {
                rate,
                tokens: rate,
                filled: Instant::now(),
            }),
        })
    }

    async fn wait_turn(&self) {
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

    /// All objects above a revision, at once.
    ///
    /// # Errors
    ///
    /// [`Code::NoPlatform`] or [`Code::BadPlatform`].
    pub async fn list(&self, from: Version) -> Result<WatchReply> {
        let url = format!("{}/objects?from={from}", self.base);
        self.read(url, CALL_TIMEOUT).await
    }

    /// Objects above a revision, once there are some or a while has passed.
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
        self.wait_turn().await;
        let request = self.http.get(url).timeout(timeout);
        let reply = request.send().await.map_err(no_platform)?;
        let reply = reply.error_for_status().map_err(no_platform)?;
        reply.json().await.map_err(bad_platform)
    }

    /// The object with this key.
    ///
    /// # Errors
    ///
    /// [`Code::NoPlatform`] or [`Code::BadPlatform`].
    pub async fn get(&self, key: &ObjectKey) -> Result<Option<Object>> {
        self.wait_turn().await;
        let request = self.http.get(self.url(key)).timeout(CALL_TIMEOUT);
        let reply = request.send().await.map_err(no_platform)?;
        if reply.status() == reqwest::StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let reply = reply.error_for_status().map_err(no_platform)?;
        reply.json().await.map(Some).map_err(bad_platform)
    }

    /// Writes an object if its version is still `expect`.
    ///
    /// # Errors
    ///
    /// [`Code::NoPlatform`] if the outcome could not be learned either,
    /// [`Code::BadPlatform`] if the answer makes no sense.
    pub async fn put(&self, key: &ObjectKey, expect: Version, body: Body) -> Result<PutReply> {
        let change = change_id(key);
        let put = PutRequest {
            expect,
            change,
            body,
        };
        self.wait_turn().await;
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

    /// Learns whether a write whose answer was lost took effect. While the
    /// object has the version that was expected, the write may still arrive.
    async fn read_back(&self, key: &ObjectKey, expect: Version, change: u64) -> Result<PutReply> {
        let mut last = no_platform("outcome of the write not known");
        for attempt in 0..READ_BACKS {
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
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    fn url(&self, key: &ObjectKey) -> String {
        format!("{}/objects/{}/{}", self.base, key.kind, key.name)
    }
}

/// Pause before retry `attempt`, counted from 0, with jitter.
pub(crate) fn backoff(attempt: u32) -> Duration {
    let full = BACKOFF_MIN
        .saturating_mul(1 << attempt.min(10))
        .min(BACKOFF_MAX);
    let half = full / 2;
    half + half.mul_f64(jitter())
}

/// A share of 1 that differs from call to call.
pub(crate) fn jitter() -> f64 {
    (nonce() >> 11) as f64 / (1u64 << 53) as f64
}

/// A number that differs between processes and calls.
fn nonce() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.finish()
}

fn change_id(key: &ObjectKey) -> u64 {
    nonce() ^ rendezvous::hash(key.to_string().as_bytes())
}

fn no_platform(error: impl std::fmt::Display) -> Error {
    Error {
        code: Code::NoPlatform,
        detail: error.to_string().into(),
    }
}

fn bad_platform(error: impl std::fmt::Display) -> Error {
    Error {
        code: Code::BadPlatform,
        detail: error.to_string().into(),
    }
}
