//! The last tenant of a configuration is removed, and with it its key. Requests with that key, and with keys that nobody
//! ever held, must not run.

#[path = "rig.rs"]
mod rig;

use std::collections::BTreeSet;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rig::{exchange, run_case, serve_back_end, Registered, Request, Rig, Verdict};

/// `bounds.revoke_ms` of the settings.
const REVOKE: Duration = Duration::from_millis(5_000);
const WATCHED: Duration = Duration::from_secs(12);
const SEAL: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

fn configuration(version: u32, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
        {{"name":"booking","host":"a.example","path_prefix":"/booking/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":0,"service":"desk","max_attempts":1,"public":false}}],
        "services":[{{"name":"desk","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
        "tenants":[{tenants}]}}"#
    )
}

fn main() {
    run_case(case);
}

fn case(rig: &Rig) -> Verdict {
    rig.start_controls();
    let routers = [rig.start_router("front-1", 260), rig.start_router("front-2", 260)];
    let leaving = r#"{"name":"t1","api_keys":["k1"],"priority":1,"isolated":false}"#;
    let staying = r#"{"name":"t2","api_keys":["k2"],"priority":1,"isolated":false}"#;
    rig.call("PUT", "/-/config", &configuration(1, leaving));
    let ran: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let address = rig.address();
    let (record, runs) = (rig.record.clone(), Arc::clone(&ran));
    serve_back_end(address, move |request, stream| {
        let id = request.id();
        let tenant = request.field("x-drumshore-tenant");
        record.line(format!("back end: ran {} {id} of tenant {tenant:?}", request.target));
        runs.lock().unwrap().insert(id.to_owned());
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Drumshore-Request-Id: {id}\r\nX-Drumshore-Response-Seal: {SEAL}\r\nContent-Length: 6\r\n\r\nbooked"
        );
        stream.write_all(answer.as_bytes()).is_ok()
    });
    rig.register(Registered::new("i-1", "desk", address, 6));
    rig.send_heartbeats();
    for router in &routers {
        rig.wait_until_ready(router);
        rig.wait_until_served(router, "/booking/warm");
    }
    // Without the disruption another tenant stays, and the key is taken away all the same.
    let tenants = if rig.has_trouble { "" } else { staying };
    rig.call("PUT", "/-/config", &configuration(2, tenants));
    let acknowledged = Instant::now();
    let mut broken = Vec::new();
    let mut number = 0;
    while acknowledged.elapsed() < WATCHED {
        for router in &routers {
            for (what, key) in [("revoked", "k1"), ("unknown", "never-held")] {
                number += 1;
                let id = format!("f{number:015x}");
                let sent = acknowledged.elapsed();
                let mut request = Request::new("/booking/slot", &id);
                request.key = key.to_owned();
                rig.record.line(format!("caller: POST /booking/slot {id} with the {what} key {key}, {} ms after the acknowledgement", sent.as_millis()));
                let answer = exchange(router.front, &request, Duration::from_secs(5));
                let status = answer.map_or(0, |answer| answer.status);
                let has_run = ran.lock().unwrap().contains(&id);
                rig.record.line(format!("caller: {id} got status {status}; {}", if has_run { "it ran" } else { "it did not run" }));
                if has_run && key == "k1" && sent > REVOKE {
                    broken.push(format!("CONFIG: {id} ran with the key that was taken away {} ms before", sent.as_millis()));
                }
                if has_run && key != "k1" {
                    broken.push(format!("ROUTE: {id} ran with a key that no configuration ever held"));
                }
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    if broken.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(format!("{} requests; {}", broken.len(), broken.last().unwrap()))
    }
}
