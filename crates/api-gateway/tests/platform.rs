//! What the platform of the whole fleet's days asks of the deploy file and of the program: one process from `exec` on,
//! linked dynamically, without fork, io_uring, splice, sendfile and Unix sockets.

#[allow(dead_code)] // other tests use the rest of it
mod sockets;

use seccompiler::{
    apply_filter, BpfProgram, SeccompAction, SeccompCmpArgLen, SeccompCmpOp, SeccompCondition, SeccompFilter,
    SeccompRule, TargetArch,
};
use serde_json::json;
use sockets::*;
use std::collections::BTreeMap;
use std::os::unix::process::CommandExt;
use std::process::Command;

const DEPLOY: &str = include_str!("../../../deploy/balancer.toml");
/// Names the program that the helper below turns into.
const CONFINED: &str = "FENNELBEAM_TEST_CONFINED";

/// Numbers of system calls, as Linux has them on this kind of machine.
#[cfg(target_arch = "x86_64")]
mod number {
    pub const SENDFILE: i64 = 40;
    pub const SOCKET: i64 = 41;
    pub const CLONE: i64 = 56;
    pub const FORK: i64 = 57;
    pub const VFORK: i64 = 58;
    pub const SPLICE: i64 = 275;
    pub const TEE: i64 = 276;
    pub const VMSPLICE: i64 = 278;
    pub const IO_URING: [i64; 3] = [425, 426, 427];
    pub const CLONE3: i64 = 435;
}

/// Of clone, that it makes a thread; of socket, the family of Unix sockets.
const THREAD: u64 = 0x1_0000;
const UNIX: u64 = 1;

#[cfg(target_arch = "x86_64")]
fn refuse(rules: BTreeMap<i64, Vec<SeccompRule>>, action: SeccompAction) {
    let filter = SeccompFilter::new(rules, SeccompAction::Allow, action, TargetArch::x86_64).unwrap();
    let program: BpfProgram = filter.try_into().unwrap();
    apply_filter(&program).unwrap();
}

/// Not a test of its own: run by the one below, it turns into the program, which dies at the first call that the
/// platform refuses. Elsewhere it does nothing.
#[cfg(target_arch = "x86_64")]
#[test]
fn confined() {
    let Ok(program) = std::env::var(CONFINED) else { return };
    let when = |arg, op, value| {
        let condition = SeccompCondition::new(arg, SeccompCmpArgLen::Dword, op, value).unwrap();
        vec![SeccompRule::new(vec![condition]).unwrap()]
    };
    use number::*;
    let mut refused = BTreeMap::from([
        (CLONE, when(0, SeccompCmpOp::MaskedEq(THREAD), 0)),
        (SOCKET, when(0, SeccompCmpOp::Eq, UNIX)),
    ]);
    for call in [FORK, VFORK, SENDFILE, SPLICE, TEE, VMSPLICE].into_iter().chain(IO_URING) {
        refused.insert(call, Vec::new());
    }
    // What cannot be looked into is said not to exist: the C library then asks in a way that can.
    refuse(BTreeMap::from([(CLONE3, Vec::new())]), SeccompAction::Errno(38));
    refuse(refused, SeccompAction::KillProcess);
    panic!("{}", Command::new(program).arg("serve").exec());
}

#[cfg(target_arch = "x86_64")]
#[test]
fn a_start_a_request_a_reload_and_a_stop_need_no_call_that_the_platform_refuses() {
    let peers = Peers::start(1);
    let mut command = Command::new(std::env::current_exe().unwrap());
    command.args(["--exact", "confined", "--nocapture"]).env(CONFINED, env!("CARGO_BIN_EXE_api-gateway"));
    let limits = json!({"cores": 1.0, "memory_mb": 64, "sockets": 128});
    let known = [host_line("s-1", peers.addrs[0], "in_service", 0)];
    let counter = peers.addrs[0];
    let mut program = Program::spawn(command, limits, settings(), &known, counter, counter);
    let mut client = program.client();
    client.until_ready();
    client.get(1);
    peers.command().serve("one");
    assert_eq!(client.answer(), "one");
    program.reload(counter, counter);
    program.until_logged(1, "configuration reloaded");
    client.get(2);
    peers.command().serve("two");
    assert_eq!(client.answer(), "two");
    program.terminate();
    let status = program.exit();
    assert_eq!(status.code(), Some(0), "{status}: {:?}", program.log());
}

#[test]
fn the_deploy_file_starts_one_process_that_the_build_has_made() {
    let value = |key: &str| {
        let line = DEPLOY.lines().find_map(|line| line.strip_prefix(key)?.trim_start().strip_prefix('='));
        line.unwrap_or_else(|| panic!("no {key}")).trim().trim_matches('"').to_owned()
    };
    assert_eq!(value("build"), "cargo build --release");
    let run = value("run");
    let words: Vec<&str> = run.split_whitespace().collect();
    assert_eq!(words[..3], ["exec", "target/release/api-gateway", "serve"], "{run}");
    assert!(!run.contains([';', '&', '|', '$', '`', '\n']), "one command and no shell beside it: {run}");
    let sim = value("sim");
    assert_eq!(sim, "exec target/release/simulator-adapter");
}

#[cfg(target_os = "linux")]
#[test]
fn the_program_is_linked_dynamically_against_the_c_library() {
    // What its interpreter and its dynamic section name stands in the file as text.
    let bytes = std::fs::read(env!("CARGO_BIN_EXE_api-gateway")).unwrap();
    let holds = |text: &[u8]| bytes.windows(text.len()).any(|window| window == text);
    assert!(
        holds(b"libc.so.6\0") && holds(b"ld-linux"),
        "a library of the platform's cannot be loaded into it"
    );
}
