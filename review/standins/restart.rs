//! Back ends that leave as planned and start again under the names that they had.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::back_end::{Handle, Options};
use crate::common::{
    call, is_trouble_off, wait_until, Deployment, Failure, Message, Record, CONTACT, HOST,
};

const SERVICES: &str = r#""services":[{"name":"desk","health_path":"/health","max_connections":100,"protocol":"h1","tls":false},{"name":"amend","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["k1"],"priority":1,"isolated":false}]}"#;

fn route(name: &str, service: &str) -> String {
    format!(
        r#"{{"name":"r-{name}","host":"a.example","path_prefix":"/{name}/","kind":"safe","timeout_ms":4000,"target_latency_ms":300,"priority":0,"service":"{service}","max_attempts":2,"public":false,"sticky":false,"resumable":false}}"#
    )
}

pub fn run(folder: &Path, record_path: &Path, record: &Record) -> Result<bool, Failure> {
    let deployment = Deployment::start(folder, record)?;
    deployment.configure(&format!(
        r#"{{"version":1,"routes":[{}],{SERVICES}"#,
        route("first", "desk")
    ))?;
    let mut back_ends = Vec::new();
    for (number, service) in ["desk", "desk", "amend", "amend"].into_iter().enumerate() {
        let options = options(&deployment, record_path, number as u8, service);
        back_ends.push(Handle::start(folder, options)?);
    }
    deployment.configure(&format!(
        r#"{{"version":2,"routes":[{},{}],{SERVICES}"#,
        route("first", "desk"),
        route("later", "amend")
    ))?;
    deployment.wait_until_ready()?;
    wait_until("both routes are served", || {
        ["/first/x", "/later/x"]
            .into_iter()
            .all(|path| (0..2).all(|front| send(&deployment, front, path, "warm") == 200))
    })?;
    if !is_trouble_off() {
        for back_end in back_ends.iter_mut().skip(2) {
            restart(folder, back_end, record)?;
        }
    }
    thread::sleep(CONTACT + Duration::from_secs(4));
    let (mut first, mut later) = (0, 0);
    const REQUESTS: u32 = 40;
    for number in 0..REQUESTS {
        first += u32::from(
            send(
                &deployment,
                number as usize,
                "/first/x",
                &format!("first-{number}"),
            ) == 200,
        );
        later += u32::from(
            send(
                &deployment,
                number as usize,
                "/later/x",
                &format!("later-{number}"),
            ) == 200,
        );
        thread::sleep(Duration::from_millis(200));
    }
    record.line(&format!("of {REQUESTS} requests each, {first} were served on the first route and {later} on the one that was added later"));
    Ok(4 * later >= first)
}

/// Ends a back end as the platform does, and starts it again under its name.
fn restart(folder: &Path, back_end: &mut Handle, record: &Record) -> Result<(), Failure> {
    record.line(&format!("platform: restarts {}", back_end.options.id));
    back_end.tell("leave")?;
    thread::sleep(Duration::from_millis(3_500));
    back_end.tell("deregister")?;
    thread::sleep(Duration::from_millis(500));
    back_end.process.kill();
    thread::sleep(Duration::from_secs(1));
    *back_end = Handle::start(folder, back_end.options.clone())?;
    thread::sleep(Duration::from_secs(2));
    Ok(())
}

fn options(deployment: &Deployment, record_path: &Path, number: u8, service: &str) -> Options {
    Options {
        id: format!("w-{number}"),
        service: service.to_owned(),
        address: deployment.back_end(number),
        controls: deployment.controls(),
        events: record_path.to_owned(),
        slots: 6,
        state: "ready".to_owned(),
        work: Duration::from_millis(30),
        crash_on: String::new(),
        pieces: 0,
        interval: Duration::ZERO,
    }
}

fn send(deployment: &Deployment, front: usize, path: &str, id: &str) -> u16 {
    let headers = [
        ("Host", HOST),
        ("X-Api-Key", "k1"),
        ("X-Drumshore-Request-Id", id),
        ("X-Drumshore-Deadline-Ms", "4000"),
    ];
    let answer = call(
        deployment.front(front),
        "GET",
        path,
        &headers,
        "",
        Duration::from_secs(6),
    );
    let status = answer.as_ref().map_or(0, Message::status);
    deployment
        .record
        .line(&format!("caller: {id} {path} answered {status}"));
    status
}
