//! A large configuration changes often, as operators of a fleet change it. The control machines must stay within their
//! memory, and the newest acknowledged configuration must be read back.

#[path = "rig.rs"]
mod rig;

use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rig::{call, exchange, read_back, resident_kb, run_case, serve_back_end, Registered, Request, Rig, Verdict};

/// The memory and the disk of a `core` machine, in MB of 1,000,000 bytes.
const MEMORY_MB: u64 = 256;
const DISK_MB: u64 = 128;
/// Tenants of the users' target, each with two keys, and routes.
const TENANTS: usize = 9_000;
const ROUTES: usize = 2_000;
const CHANGES: u32 = 160;
/// Kills after which the operator makes no further changes.
const KILLS: u32 = 12;
/// Time between two changes: the pause of `config_storm`.
const GAP: Duration = Duration::from_millis(330);
/// After the last change, the configuration is asked for as long as this, which is more than `recovery_s`.
const READ_BACK: Duration = Duration::from_secs(20);
/// A process that has ended is started again after this.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const SEAL: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

fn main() {
    run_case(case);
}

fn configuration(version: u32, is_large: bool) -> String {
    let (routes, tenants) = if is_large { (ROUTES, TENANTS) } else { (20, 20) };
    let mut all_routes = vec![
        r#"{"name":"booking","host":"a.example","path_prefix":"/booking/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":0,"service":"desk","max_attempts":1,"public":false}"#.to_owned(),
    ];
    for number in 0..routes {
        // One route's time limit changes with each version.
        let timeout = if number as u32 == version % 20 { 5_000 + version } else { 5_000 };
        all_routes.push(format!(
            r#"{{"name":"r-{number}","host":"h{}.example","path_prefix":"/p{number}/","kind":"streaming","timeout_ms":{timeout},"target_latency_ms":800,"priority":1,"service":"desk","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_target_ms":500}}"#,
            number % 50
        ));
    }
    let mut all_tenants = vec![r#"{"name":"t1","api_keys":["k1"],"priority":1,"isolated":false}"#.to_owned()];
    for number in 0..tenants {
        all_tenants.push(format!(
            r#"{{"name":"tenant{number:06}","api_keys":["a{number:019}","b{number:019}"],"priority":1,"isolated":false}}"#
        ));
    }
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"desk","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{}]}}"#,
        all_routes.join(","),
        all_tenants.join(",")
    )
}

fn case(rig: &Rig) -> Verdict {
    rig.start_controls();
    let router = rig.start_router("front-1", 260);
    rig.call("PUT", "/-/config", &configuration(1, false));
    let address = rig.address();
    serve_back_end(address, |request, stream| {
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Drumshore-Request-Id: {}\r\nX-Drumshore-Response-Seal: {SEAL}\r\nContent-Length: 2\r\n\r\nok",
            request.id()
        );
        stream.write_all(answer.as_bytes()).is_ok()
    });
    rig.register(Registered::new("i-1", "desk", address, 6));
    rig.send_heartbeats();
    rig.wait_until_ready(&router);
    rig.wait_until_served(&router, "/booking/warm");
    let platform = Platform::watch(rig);
    let mut acknowledged = 1;
    let mut bytes = 0;
    for version in 2..2 + CHANGES {
        let began = Instant::now();
        let body = configuration(version, rig.has_trouble);
        bytes = body.len();
        // The operator tries the control machines one after the other, and goes on with the next change after that.
        let address = rig.control_addresses()[version as usize % 3];
        if call(address, "PUT", "/-/config", &body) == 200 {
            acknowledged = version;
        }
        if version % 10 == 0 {
            platform.record_state(rig, &format!("version {version}, {} KB, newest acknowledged {acknowledged}", bytes / 1_000));
        }
        if platform.kills.load(Ordering::SeqCst) >= KILLS {
            rig.record.line(format!("the operator makes no further changes; newest acknowledged version {acknowledged}"));
            break;
        }
        thread::sleep(GAP.saturating_sub(began.elapsed()));
    }
    let mut served = (0, 0);
    let mut read = None;
    let end = Instant::now() + READ_BACK;
    let mut number = 0;
    while Instant::now() < end {
        for address in rig.control_addresses() {
            read = read.max(read_back(address));
        }
        number += 1;
        let answer = exchange(router.front, &Request::new("/booking/slot", &format!("a{number:015x}")), Duration::from_secs(2));
        let status = answer.map_or(0, |answer| answer.status);
        served.0 += u32::from(status == 200);
        served.1 += 1;
        rig.record.line(format!("operator: newest version read back so far {read:?}; caller: POST /booking/slot, status {status}"));
        thread::sleep(Duration::from_millis(1_000));
    }
    platform.record_state(rig, &format!("at the end, configurations of {} KB", bytes / 1_000));
    platform.stop();
    let kills = platform.kills.load(Ordering::SeqCst);
    rig.record.line(format!("control machines were killed for their memory {kills} times; {} of {} requests were served after the last change", served.0, served.1));
    if read.is_none_or(|version| version < acknowledged) {
        return Verdict::Broken(format!(
            "CONFIG: version {acknowledged} was acknowledged, and {read:?} was read back within {READ_BACK:?} after the last change; \
             control machines were killed for their memory {kills} times"
        ));
    }
    if kills >= 3 {
        return Verdict::Broken(format!("Fault: control machines were killed for their memory {kills} times"));
    }
    Verdict::Held
}

/// The platform: kills control machines that go over their memory, and starts again what has ended.
struct Platform {
    kills: Arc<AtomicU32>,
    running: Arc<AtomicBool>,
    peaks_kb: Vec<Arc<AtomicU64>>,
}

impl Platform {
    fn watch(rig: &Rig) -> Self {
        let platform = Self {
            kills: Arc::default(),
            running: Arc::new(AtomicBool::new(true)),
            peaks_kb: (0..3).map(|_| Arc::default()).collect(),
        };
        for (number, peak) in platform.peaks_kb.iter().enumerate() {
            let (kills, running, peak) = (Arc::clone(&platform.kills), Arc::clone(&platform.running), Arc::clone(peak));
            let (record, controls) = (rig.record.clone(), Arc::clone(&rig.controls));
            thread::spawn(move || {
                while running.load(Ordering::SeqCst) {
                    let pid = controls.lock().unwrap()[number].process.pid();
                    let used = resident_kb(pid);
                    peak.fetch_max(used, Ordering::SeqCst);
                    if used * 1024 > MEMORY_MB * 1_000_000 {
                        controls.lock().unwrap()[number].process.kill();
                        kills.fetch_add(1, Ordering::SeqCst);
                        record.line(format!("platform: core-{} used {used} KB and is killed", number + 1));
                        thread::sleep(RESTART_DELAY);
                        if running.load(Ordering::SeqCst) {
                            controls.lock().unwrap()[number].start_again(&record);
                        }
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
        platform
    }

    fn record_state(&self, rig: &Rig, when: &str) {
        let controls = rig.controls.lock().unwrap();
        let used: Vec<u64> = controls.iter().map(|control| resident_kb(control.process.pid())).collect();
        let data: Vec<u64> = controls.iter().map(|control| control.data_bytes() / 1_000).collect();
        let peaks: Vec<u64> = self.peaks_kb.iter().map(|peak| peak.load(Ordering::SeqCst)).collect();
        rig.record.line(format!(
            "{when}: control machines use {used:?} KB of memory, at most {peaks:?} KB of {} KB, and {data:?} KB of disk, of {} KB",
            MEMORY_MB * 1_000_000 / 1_024,
            DISK_MB * 1_000
        ));
    }

    fn stop(&self) {
        self.running.store(false, Ordering::SeqCst);
        thread::sleep(RESTART_DELAY + Duration::from_millis(100));
    }
}
