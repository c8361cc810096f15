//! Speed of an entry VM against a plain forwarder without decisions.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use axum::extract::Request;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::Router;
use tokio::net::{TcpListener, UdpSocket};
use wire::{header, mark};

use crate::deployment::{standin, Running};
use crate::fabric::with_header;
use crate::topology::Result;

/// Datagrams of one measurement, and those on their way at once.
const DATAGRAMS: u32 = 60_000;
const WINDOW: u32 = 32;
/// Requests of one measurement.
const REQUESTS: u32 = 400;
/// Runs of each measurement; the median counts.
const RUNS: usize = 5;
const BUFFER: usize = 2048;
/// Time to wait for a datagram before it counts as lost.
const LOST: Duration = Duration::from_millis(200);

/// Forwards datagrams and HTTP requests until the process ends.
pub(crate) async fn forward(listen: SocketAddr, to: SocketAddr) -> std::io::Result<()> {
    let http = reqwest::Client::builder().no_proxy().build();
    let http = http.map_err(std::io::Error::other)?;
    let app = Router::new().fallback(move |request| carry(http.clone(), to, request));
    let listener = TcpListener::bind(listen).await?;
    tokio::spawn(async move { axum::serve(listener, app).await });
    let socket = UdpSocket::bind(listen).await?;
    let mut buffer = [0; BUFFER];
    loop {
        let (n, _) = socket.recv_from(&mut buffer).await?;
        let _ = socket.try_send_to(&buffer[..n], to);
    }
}

/// Sends a request on and its answer back.
async fn carry(
    http: reqwest::Client,
    to: SocketAddr,
    request: Request,
) -> std::result::Result<Response, StatusCode> {
    let (parts, body) = request.into_parts();
    let body = axum::body::to_bytes(body, BUFFER).await;
    let body = body.map_err(|_| StatusCode::PAYLOAD_TOO_LARGE)?;
    let url = format!("http://{to}{}", parts.uri.path());
    let sent = http.request(parts.method, url).body(body).send().await;
    let reply = sent.map_err(|_| StatusCode::BAD_GATEWAY)?;
    let bytes = reply.bytes().await.map_err(|_| StatusCode::BAD_GATEWAY)?;
    Ok(bytes.into_response())
}

/// Measures and prints ratios.
pub(crate) async fn run(deployment: &Path) -> ExitCode {
    match measure(deployment).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("measurement failed: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn measure(deployment: &Path) -> Result<()> {
    let running = Running::open(deployment).await?;
    let (service, address) = running.deployment.services[0].clone();
    let vm = &running.deployment.vms[0];
    let target = running.deployment.targets[0].2[0].address;
    let plain: SocketAddr = ([127, 0, 0, 1], address.port() + 60).into();
    let _forwarder = standin(&[
        "forward".into(),
        "--listen".into(),
        plain.to_string(),
        "--to".into(),
        target.to_string(),
    ])?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut vm_rates = Vec::new();
    let mut plain_rates = Vec::new();
    for _ in 0..RUNS {
        vm_rates.push(datagrams(vm.datagram, address, service.as_str()).await?);
        plain_rates.push(datagrams(plain, address, service.as_str()).await?);
    }
    let (vm_rate, plain_rate) = (median(&mut vm_rates), median(&mut plain_rates));
    println!("datagrams/s through an entry VM     {vm_rate:.0}");
    println!("datagrams/s through the forwarder   {plain_rate:.0}");
    println!(
        "ratio                               {:.2}",
        vm_rate / plain_rate
    );
    let direct = requests(target, service.as_str()).await?;
    let hop = requests(plain, service.as_str()).await? - direct;
    let added = requests(vm.http, service.as_str()).await? - direct;
    println!("median request direct, us           {direct:.0}");
    println!("added by one plain hop, us          {hop:.0}");
    println!("added by entry VM and steward, us   {added:.0}");
    println!("ratio                               {:.1}", added / hop);
    running.stop().await;
    Ok(())
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Datagrams a second of one flow, a window on their way at once.
async fn datagrams(to: SocketAddr, service: SocketAddr, name: &str) -> Result<f64> {
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    let caller = socket.local_addr()?;
    let build = |mark: u8| {
        let mut payload = vec![mark];
        payload.extend_from_slice(&[0; 12]);
        payload.extend_from_slice(name.as_bytes());
        with_header(caller, service, &payload).ok_or("no header")
    };
    let mut buffer = [0; BUFFER];
    socket.send_to(&build(mark::FIRST)?, to).await?;
    tokio::time::timeout(Duration::from_secs(2), socket.recv_from(&mut buffer)).await??;
    let later = build(mark::LATER)?;
    let start = Instant::now();
    let (mut sent, mut done) = (0, 0);
    while done < DATAGRAMS {
        while sent < DATAGRAMS && sent - done < WINDOW {
            socket.send_to(&later, to).await?;
            sent += 1;
        }
        match tokio::time::timeout(LOST, socket.recv_from(&mut buffer)).await {
            Ok(reply) => {
                reply?;
                done += 1;
            }
            Err(_) => return Err("datagrams were lost".into()),
        }
    }
    Ok(f64::from(DATAGRAMS) / start.elapsed().as_secs_f64())
}

/// Median time of a request in microseconds, one at a time.
async fn requests(to: SocketAddr, service: &str) -> Result<f64> {
    let http = reqwest::Client::builder().no_proxy().build()?;
    let url = format!("http://{to}/echo");
    let mut key: Option<String> = None;
    let mut times = Vec::new();
    for _ in 0..REQUESTS {
        let mut request = http.post(&url).header(header::SERVICE, service).body("x");
        if let Some(key) = &key {
            request = request.header(header::IDEMPOTENCY_KEY, key);
        }
        let start = Instant::now();
        let reply = request.send().await?;
        let next = reply
            .headers()
            .get(header::NEXT_IDEMPOTENCY_KEY)
            .and_then(|k| k.to_str().ok());
        key = next.map(Into::into);
        let answered = reply.headers().get(header::CODE).is_none();
        reply.bytes().await?;
        if answered {
            times.push(start.elapsed().as_micros() as f64);
        }
    }
    Ok(median(&mut times))
}
