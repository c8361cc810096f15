//! What needs an operating system, on the real binaries: VMs killed, frozen and
//! told to stop, the platform down, a failure domain out and back.
//!
//! Each run checks only what must hold at any speed of the machine.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Mutex, MutexGuard};

/// Deployments use fixed ports, so one runs at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(|e| e.into_inner())
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Runs the demonstration with a fault; it fails if anything was violated.
fn demonstrate(deployment: &str, fault: &str, more: &[&str]) {
    let _alone = alone();
    let output = Command::new(env!("CARGO_BIN_EXE_standin"))
        .current_dir(root())
        .args(["demo", "--seconds", "12", "--flows", "60", "--rate", "10"])
        .args(["--deployment", &format!("settings/{deployment}")])
        .args(["--fault", fault])
        .args(more)
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}\n{errors}");
}

#[test]
fn serves_without_faults() {
    demonstrate("mu-island", "none", &["--own-keys"]);
}

#[test]
fn one_vm_is_killed() {
    demonstrate("gh-south", "kill", &[]);
}

#[test]
fn one_vm_is_killed_while_callers_make_their_keys() {
    demonstrate("mu-island", "kill", &["--own-keys"]);
}

#[test]
fn one_vm_freezes_past_its_lease() {
    demonstrate("gh-south", "freeze", &["--own-keys"]);
}

#[test]
fn one_vm_stops_during_downloads() {
    demonstrate("gh-south", "stop", &[]);
}

#[test]
fn the_platform_is_down() {
    demonstrate("mu-island", "platform", &[]);
}

#[test]
fn a_failure_domain_leaves_and_returns() {
    demonstrate("gh-south", "domain", &[]);
}
